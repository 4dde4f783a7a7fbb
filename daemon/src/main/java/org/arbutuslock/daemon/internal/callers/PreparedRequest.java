package org.arbutuslock.daemon.internal.callers;

import org.arbutuslock.internal.messages.BufferedResponse;

/** What this node does with a request of a caller. */
sealed interface PreparedRequest {
    /** Returns whether the request may be executed more than once. */
    boolean isRepeatable();

    /**
     * The entry node answers the request itself.
     *
     * @param response complete response
     */
    record Answered(BufferedResponse response) implements PreparedRequest {
        @Override
        public boolean isRepeatable() {
            return true;
        }
    }

    /**
     * The caller asks for the outcome of an earlier request.
     *
     * @param reference text that names the earlier request; not checked yet
     */
    record OutcomeQuery(String reference) implements PreparedRequest {
        @Override
        public boolean isRepeatable() {
            return true;
        }
    }

    /**
     * The request matched a route and is sent to a backend server.
     *
     * @param request request with its route
     */
    record Routed(RoutedRequest request) implements PreparedRequest {
        @Override
        public boolean isRepeatable() {
            return request.idempotent();
        }
    }
}
