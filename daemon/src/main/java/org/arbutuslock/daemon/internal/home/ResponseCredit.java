package org.arbutuslock.daemon.internal.home;

import java.util.concurrent.atomic.AtomicLong;
import org.arbutuslock.daemon.internal.exchange.Exchange;

/**
 * Flow control credit of one response. Counts the bytes that were passed on and for which no credit
 * was granted yet, and adds them to the sum over all responses of the node. While that sum is high,
 * every response gets a small window, so that many slow callers cannot use up the memory. Confined
 * to one event loop; the sum is shared by all.
 */
final class ResponseCredit {
    /** Sum from which each response may have only {@link #SMALL_WINDOW_BYTES} without credit. */
    static final long HIGH_SUM_BYTES = 32L * 1024 * 1024;

    /** Bytes without credit of one response while the sum is high. */
    static final int SMALL_WINDOW_BYTES = 32 * 1024;

    private final AtomicLong mSum;
    private long mBytes;

    /**
     * Creates the credit of a response of which nothing was read.
     *
     * @param sum bytes without credit of all responses of the node
     */
    ResponseCredit(AtomicLong sum) {
        mSum = sum;
    }

    /** Counts bytes that were passed on. */
    void use(int bytes) {
        mBytes += bytes;
        mSum.addAndGet(bytes);
    }

    /** Uncounts bytes that the caller has taken. */
    void grant(int bytes) {
        use(-bytes);
    }

    /** Uncounts all bytes, because the response has ended or lost its reader. */
    void release() {
        mSum.addAndGet(-mBytes);
        mBytes = 0;
    }

    /** Returns whether more of the response may be read now. */
    boolean mayRead() {
        boolean high = mSum.get() > HIGH_SUM_BYTES;
        return mBytes < (high ? SMALL_WINDOW_BYTES : Exchange.INITIAL_CREDIT_BYTES);
    }
}
