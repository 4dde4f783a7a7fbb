package org.arbutuslock.api;

/** Thrown when a plug-in cannot be started. */
public final class PluginException extends Exception {
    private final transient Failure mFailure;

    /**
     * Creates an exception.
     *
     * @param failure description of the failure; its text becomes the message
     */
    public PluginException(Failure failure) {
        super(failure.toString());
        mFailure = failure;
    }

    /**
     * Returns the description of the failure.
     *
     * @return the failure; null after deserialization
     */
    public Failure failure() {
        return mFailure;
    }
}
