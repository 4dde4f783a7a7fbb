package org.arbutuslock.daemon.internal.callers;

/**
 * Counts the bytes of responses that wait for their turn on one connection. Confined to one thread.
 */
final class HeldBytes {
    private final long mLimit;
    private long mBytes;

    /**
     * Creates a count of zero bytes.
     *
     * @param limit number of bytes from which {@link #isFull} returns true
     */
    HeldBytes(long limit) {
        mLimit = limit;
    }

    void add(long bytes) {
        mBytes += bytes;
    }

    void remove(long bytes) {
        mBytes -= bytes;
    }

    long bytes() {
        return mBytes;
    }

    boolean isFull() {
        return mBytes >= mLimit;
    }
}
