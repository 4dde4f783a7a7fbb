package org.arbutuslock.internal.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * What to do with waiting requests now.
 *
 * @param dispatch tickets to send to the backend server, in order
 * @param refuse tickets to refuse
 * @param <T> type of the requests
 */
public record Decisions<T>(List<Ticket<T>> dispatch, List<Refusal<T>> refuse) {
    /** Creates decisions that are filled in place. */
    Decisions() {
        this(new ArrayList<>(), new ArrayList<>());
    }
}
