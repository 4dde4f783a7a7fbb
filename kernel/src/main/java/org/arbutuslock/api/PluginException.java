package org.arbutuslock.api;

/** Reports that a plug-in cannot start. */
public final class PluginException extends Exception {
    private final transient Failure mFailure;

    /**
     * Creates an exception.
     *
     * @param failure what went wrong and where
     */
    public PluginException(Failure failure) {
        super(failure.toString());
        mFailure = failure;
    }

    /**
     * Returns the details.
     *
     * @return what went wrong and where
     */
    public Failure failure() {
        return mFailure;
    }
}
