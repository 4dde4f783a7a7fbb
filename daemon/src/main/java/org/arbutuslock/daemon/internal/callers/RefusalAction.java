package org.arbutuslock.daemon.internal.callers;

import org.arbutuslock.internal.execution.RefusalReason;

/** What the entry node does with a request that a home node refused. */
enum RefusalAction {
    /** Try another endpoint while the deadline has not passed. */
    TRY_ANOTHER,
    /** Try a few other endpoints, which may have some of their part of the retry budget left. */
    TRY_ANOTHER_BUDGET,
    /** Retry if the retry budget allows it, because the request reached a backend server. */
    RETRY,
    /**
     * Retry if the retry budget allows it and little time has passed since the request arrived.
     * After a later retry, another refusal would reach the caller too late.
     */
    RETRY_IF_EARLY,
    /** Refuse the request, since another home node would refuse it for the same reason. */
    REFUSE;

    static RefusalAction forReason(RefusalReason reason) {
        return switch (reason) {
            case RETRY_BUDGET -> TRY_ANOTHER_BUDGET;
            case NOT_EXECUTED -> RETRY;
            case QUEUE_FULL, DEADLINE, DISPLACED, LEDGER_FULL -> RETRY_IF_EARLY;
            case SUSPECT,
                    UNPROVEN,
                    DRAINING,
                    NOT_IN_SERVICE,
                    CANCELLED,
                    QUERIED,
                    SESSION_FENCED,
                    FORGOTTEN,
                    UNKNOWN_ENDPOINT,
                    CONNECT_FAILED ->
                    TRY_ANOTHER;
            case NOT_TRANSMITTED -> REFUSE;
        };
    }
}
