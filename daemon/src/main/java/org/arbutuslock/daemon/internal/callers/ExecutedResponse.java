package org.arbutuslock.daemon.internal.callers;

import java.util.Set;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * Decides which response a caller gets for a request that a backend server has executed. Some
 * status codes promise the caller that its request has not run and never will, so that it may send
 * it again. A backend server that fails behind the work may answer with one of them; its response
 * is replaced when the request must not run twice.
 */
final class ExecutedResponse {
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private ExecutedResponse() {}

    /**
     * Returns whether a response must not reach the caller.
     *
     * @param status HTTP status code of the backend server
     * @param repeatable whether the request may be executed more than once
     */
    static boolean isReplaced(int status, boolean repeatable) {
        return !repeatable && NOT_RUN_STATUSES.contains(status);
    }

    /**
     * Returns the response that the caller gets.
     *
     * @param response complete response of the backend server
     * @param repeatable whether the request may be executed more than once
     * @return the same response, or one that promises nothing
     */
    static BufferedResponse forCaller(BufferedResponse response, boolean repeatable) {
        if (!isReplaced(response.status(), repeatable)) {
            return response;
        }
        return TextResponses.create(
                TextResponses.BAD_GATEWAY,
                "executed: the backend server answered with status " + response.status() + "\n",
                new HeaderField("arbutuslock-outcome", "executed"));
    }
}
