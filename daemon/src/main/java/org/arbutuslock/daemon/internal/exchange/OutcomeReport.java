package org.arbutuslock.daemon.internal.exchange;

import java.util.Optional;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.OutcomeState;

/**
 * Reply of a home node to an outcome query.
 *
 * @param state what the home node knows
 * @param response the response when the state is {@link OutcomeState#ANSWERED}
 */
public record OutcomeReport(OutcomeState state, Optional<BufferedResponse> response) {}
