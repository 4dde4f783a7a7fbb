package org.arbutuslock.testbed.fault;

import org.arbutuslock.testbed.fault.HistoryRequest.Kind;

/**
 * One request of a history with its invocation and its completion.
 *
 * @param token names the request at the backend servers
 * @param kind what was asked for
 * @param entryNode name of the node to which it was sent
 * @param invokedNanos reading of the clock before it was sent
 * @param completedNanos reading of the clock after its result
 * @param result what the caller saw
 */
record HistoryOperation(
        String token,
        Kind kind,
        String entryNode,
        long invokedNanos,
        long completedNanos,
        Result result) {
    /** What a caller saw. */
    sealed interface Result {
        /** A whole response with status 200. */
        record Complete(boolean ownResponse) implements Result {}

        /** A refusal that claims that the request has not run. */
        record NotRun(String detail) implements Result {}

        /** An unknown outcome; the id is empty when there is none to ask with. */
        record Unknown(String requestId, String detail) implements Result {}

        /** A whole response with another status. */
        record OtherStatus(int status) implements Result {}

        /** The response ended early or never came; the caller knows that it has nothing. */
        record Broken(String reason) implements Result {}
    }

    /** What a node said later about an unknown outcome. */
    enum QueriedOutcome {
        /** Has not run. */
        NOT_RUN,
        /** Was executed; the response is delivered or lost. */
        EXECUTED,
        /** Nobody knows. */
        UNKNOWN,
        /** The response of another request was delivered. */
        WRONG_RESPONSE
    }
}
