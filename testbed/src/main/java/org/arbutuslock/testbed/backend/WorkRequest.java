package org.arbutuslock.testbed.backend;

/**
 * One request as the backend server works on it.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param body whole body
 * @param requestId value of {@link #REQUEST_ID_HEADER}, or empty
 */
record WorkRequest(String method, String uri, byte[] body, String requestId) {
    static final String REQUEST_ID_HEADER = "arbutuslock-request-id";
    static final int MAXIMUM_REQUEST_ID_LENGTH = 256;

    boolean isLong() {
        return uri.startsWith(BackendSettings.LONG_PATH_PREFIX);
    }
}
