package org.arbutuslock.internal.admission;

import org.arbutuslock.internal.execution.RefusalReason;

/**
 * A refused request, which has not run.
 *
 * @param ticket ticket of the request
 * @param reason reason for the refusal
 * @param retryAfterNanos estimated nanoseconds until this endpoint would accept the request
 * @param estimate what was expected of the request
 * @param <T> type of the request
 */
public record Refusal<T>(
        Ticket<T> ticket, RefusalReason reason, long retryAfterNanos, AdmissionEstimate estimate) {}
