package org.arbutuslock.testbed.fault;

import org.arbutuslock.testbed.fault.HistoryRequest.Kind;

/**
 * A completed request of a fault history.
 *
 * @param token unique id by which the backend servers count the executions of the request
 * @param kind kind of request
 * @param entryNode name of the node to which the caller sent the request
 * @param invokedNanos {@link System#nanoTime()} before the request was sent
 * @param completedNanos {@link System#nanoTime()} after the caller got the result
 * @param result result that the caller got
 */
record HistoryOperation(
        String token,
        Kind kind,
        String entryNode,
        long invokedNanos,
        long completedNanos,
        Result result) {
    /** Result that a caller got. */
    sealed interface Result {
        /** A complete HTTP response with status 200. */
        record Complete(boolean ownResponse) implements Result {}

        /** A refusal that states that the request was not executed. */
        record NotRun(String detail) implements Result {}

        /** An unknown outcome. The request id is empty if the response has none to query with. */
        record Unknown(String requestId, String detail) implements Result {}

        /** A complete HTTP response with a status other than 200. */
        record OtherStatus(int status) implements Result {}

        /** No complete response: the connection failed, closed early or timed out. */
        record Broken(String reason) implements Result {}
    }

    /** Outcome that a node reports when it is queried about a request with an unknown outcome. */
    enum QueriedOutcome {
        /** The request was not executed. */
        NOT_RUN,
        /** The request was executed. Its response was returned by the query or is lost. */
        EXECUTED,
        /** The outcome is not known, or stayed in progress until the last query. */
        UNKNOWN,
        /** The query returned the response of another request. */
        WRONG_RESPONSE
    }
}
