package org.arbutuslock.internal.execution;

import java.util.Optional;

/** Outcome of {@link ExecutionLedger#query}. */
public sealed interface QueryResult {
    /** The request has not run at this node and will not run. */
    record NotRun() implements QueryResult {}

    /** The request was dispatched and has not finished; ask again. */
    record InProgress() implements QueryResult {}

    /**
     * The backend server responded completely.
     *
     * @param response the response, or empty when it was too large, acknowledged or not kept
     */
    record Answered(Optional<KeptResponse> response) implements QueryResult {}

    /** The request was dispatched and its outcome is unknown. */
    record Failed() implements QueryResult {}

    /** The query names another run of this node, whose records are lost. */
    record UnknownIncarnation() implements QueryResult {}

    /** The record is no longer kept; whether the request ran is unknown. */
    record Forgotten() implements QueryResult {}
}
