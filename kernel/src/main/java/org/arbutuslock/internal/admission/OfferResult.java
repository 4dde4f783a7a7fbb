package org.arbutuslock.internal.admission;

import java.util.List;

/**
 * Outcome of {@link AdmissionController#offer}.
 *
 * @param <T> type of the request
 */
public sealed interface OfferResult<T> {
    /**
     * The request must be sent to the backend server now.
     *
     * @param ticket its ticket
     * @param <T> type of the request
     */
    record Dispatch<T>(Ticket<T> ticket) implements OfferResult<T> {}

    /**
     * The request was queued.
     *
     * @param displaced queued requests that lost their place and must be refused; may be empty
     * @param <T> type of the request
     */
    record Queued<T>(List<Refusal<T>> displaced) implements OfferResult<T> {}

    /**
     * The request must be refused.
     *
     * @param refusal the reason, and the time after which a retry makes sense
     * @param <T> type of the request
     */
    record Refused<T>(Refusal<T> refusal) implements OfferResult<T> {}
}
