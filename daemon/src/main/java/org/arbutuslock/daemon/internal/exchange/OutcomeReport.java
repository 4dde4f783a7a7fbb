package org.arbutuslock.daemon.internal.exchange;

import java.util.Optional;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.OutcomeState;

/**
 * Reply of a home node to an outcome query.
 *
 * @param state state of the request at the home node
 * @param response the response, only when the state is {@link OutcomeState#ANSWERED}
 */
public record OutcomeReport(OutcomeState state, Optional<BufferedResponse> response) {}
