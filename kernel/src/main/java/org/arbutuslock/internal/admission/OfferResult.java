package org.arbutuslock.internal.admission;

import java.util.List;

/**
 * Outcome of {@link AdmissionController#offer}.
 *
 * @param <T> type of the request
 */
public sealed interface OfferResult<T> {
    /**
     * Send the request to the backend server now.
     *
     * @param ticket its ticket
     * @param <T> type of the request
     */
    record Dispatch<T>(Ticket<T> ticket) implements OfferResult<T> {}

    /**
     * The request waits.
     *
     * @param displaced waiting requests that lost their place and must be refused
     * @param <T> type of the request
     */
    record Queued<T>(List<Refusal<T>> displaced) implements OfferResult<T> {}

    /**
     * Refuse the request.
     *
     * @param refusal why, and when to try again
     * @param <T> type of the request
     */
    record Refused<T>(Refusal<T> refusal) implements OfferResult<T> {}
}
