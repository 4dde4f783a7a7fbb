package org.arbutuslock.testbed.load;

/** Result of one request. */
public enum LoadResult {
    /** Complete response with status 200 and the expected body. */
    SUCCESS,
    /** Complete response with a status other than 200. */
    OTHER_STATUS,
    /**
     * Complete response with status 200, but with the body of another request or a corrupt body.
     */
    WRONG_RESPONSE,
    /** The connection closed before the response was complete, or the response had no length. */
    TRUNCATED,
    /** No complete response within the timeout. */
    TIMED_OUT,
    /** The connection could not be opened, or closed before a response started. */
    CONNECTION_FAILED
}
