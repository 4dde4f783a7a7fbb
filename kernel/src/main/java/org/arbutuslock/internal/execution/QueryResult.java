package org.arbutuslock.internal.execution;

import java.util.Optional;

/** Outcome of {@link ExecutionLedger#query}. */
public sealed interface QueryResult {
    /** The request has not run at this node and will not run. */
    record NotRun() implements QueryResult {}

    /** The request was dispatched and has not finished. Query again later. */
    record InProgress() implements QueryResult {}

    /**
     * The backend server responded completely.
     *
     * @param response the response, or empty when it was too large to keep, was already
     *     acknowledged, or was recorded without being kept
     */
    record Answered(Optional<KeptResponse> response) implements QueryResult {}

    /** The request was dispatched and its outcome is unknown. */
    record Failed() implements QueryResult {}

    /** The query names an earlier incarnation of this node, whose records are lost. */
    record UnknownIncarnation() implements QueryResult {}

    /** The record may have been removed. It is unknown whether the request ran. */
    record Forgotten() implements QueryResult {}
}
