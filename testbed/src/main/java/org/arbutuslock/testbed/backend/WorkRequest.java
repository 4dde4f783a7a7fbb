package org.arbutuslock.testbed.backend;

/**
 * Parts of an HTTP request that determine the work and its response.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param body complete request body
 * @param requestId value of {@link #REQUEST_ID_HEADER}, or empty
 * @param token value of {@link #TOKEN_HEADER}, or empty
 */
record WorkRequest(String method, String uri, byte[] body, String requestId, String token) {
    static final String REQUEST_ID_HEADER = "arbutuslock-request-id";

    /** Identifies a caller's request in all its attempts, whatever request id an attempt has. */
    static final String TOKEN_HEADER = ExecutionRecord.TOKEN_HEADER;

    static final int MAXIMUM_REQUEST_ID_LENGTH = 256;

    boolean isLong() {
        return uri.startsWith(BackendSettings.LONG_PATH_PREFIX);
    }
}
