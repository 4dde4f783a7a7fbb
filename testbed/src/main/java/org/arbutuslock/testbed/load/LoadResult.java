package org.arbutuslock.testbed.load;

/** How one request ended. */
public enum LoadResult {
    /** Status 200, complete, and the response to this request. */
    SUCCESS,
    /** Complete response with another status. */
    OTHER_STATUS,
    /** Status 200 and complete, but not the response to this request. */
    WRONG_RESPONSE,
    /** The response started and ended early. */
    TRUNCATED,
    /** No complete response within the timeout. */
    TIMED_OUT,
    /** The connection failed or closed before a response started. */
    CONNECTION_FAILED
}
