package org.arbutuslock.internal.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Queued requests that must be dispatched or refused now.
 *
 * @param dispatch tickets of requests to send to the backend server, in this order
 * @param refuse requests to refuse
 * @param <T> type of the requests
 */
public record Decisions<T>(List<Ticket<T>> dispatch, List<Refusal<T>> refuse) {
    /** Creates decisions with empty, modifiable lists. */
    Decisions() {
        this(new ArrayList<>(), new ArrayList<>());
    }
}
