package org.arbutuslock.internal.admission;

import org.arbutuslock.internal.execution.RefusalReason;

/**
 * A request that is refused and has not run.
 *
 * @param ticket its ticket
 * @param reason why
 * @param retryAfterNanos estimate of the time after which this endpoint would accept it
 * @param <T> type of the request
 */
public record Refusal<T>(Ticket<T> ticket, RefusalReason reason, long retryAfterNanos) {}
