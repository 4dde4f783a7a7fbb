package org.arbutuslock.daemon.internal.callers;

import org.arbutuslock.internal.execution.RefusalReason;

/** What the entry node does with a request that a home node refused. */
enum RefusalStep {
    /** Try another endpoint while the deadline has not passed. */
    ASK_ANOTHER,
    /** Try a few other endpoints, which may have some of their part of the retry budget left. */
    ASK_FOR_BUDGET,
    /** Retry against the retry budget, because the request reached a backend server. */
    REPEAT,
    /**
     * Retry against the retry budget if little time has passed since the request arrived. After a
     * later retry, another refusal would reach the caller too late.
     */
    REPEAT_EARLY;

    static RefusalStep after(RefusalReason reason) {
        return switch (reason) {
            case RETRY_BUDGET -> ASK_FOR_BUDGET;
            case NOT_EXECUTED -> REPEAT;
            case QUEUE_FULL, DEADLINE, DISPLACED, LEDGER_FULL -> REPEAT_EARLY;
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
                    ASK_ANOTHER;
        };
    }
}
