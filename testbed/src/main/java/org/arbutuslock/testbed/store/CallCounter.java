package org.arbutuslock.testbed.store;

import java.util.concurrent.atomic.AtomicLong;
import org.arbutuslock.platform.v1.CallCounts;

/** Counts the calls to the in-memory store by kind. Thread-safe. */
final class CallCounter {
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mLists = new AtomicLong();
    private final AtomicLong mWrites = new AtomicLong();
    private final AtomicLong mLeaseCalls = new AtomicLong();
    private final AtomicLong mWatches = new AtomicLong();
    private final AtomicLong mOpenWatches = new AtomicLong();

    void countRead() {
        mReads.incrementAndGet();
    }

    void countList() {
        mLists.incrementAndGet();
    }

    void countWrite() {
        mWrites.incrementAndGet();
    }

    void countLeaseCall() {
        mLeaseCalls.incrementAndGet();
    }

    void countWatch() {
        mWatches.incrementAndGet();
        mOpenWatches.incrementAndGet();
    }

    void countWatchEnd() {
        mOpenWatches.decrementAndGet();
    }

    CallCounts read() {
        return CallCounts.newBuilder()
                .setReads(mReads.get())
                .setLists(mLists.get())
                .setWrites(mWrites.get())
                .setLeaseCalls(mLeaseCalls.get())
                .setWatches(mWatches.get())
                .setOpenWatches(mOpenWatches.get())
                .build();
    }
}
