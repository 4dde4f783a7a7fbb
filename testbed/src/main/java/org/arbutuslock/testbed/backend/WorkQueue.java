package org.arbutuslock.testbed.backend;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Starts work in the order of arrival while slots are free, and queues further work up to a limit.
 * Confined to the event loop of the server.
 */
final class WorkQueue {
    private final int mSlots;
    private final int mQueueLimit;
    private final Queue<Work> mWaiting = new ArrayDeque<>();
    private int mActive;

    WorkQueue(int slots, int queueLimit) {
        mSlots = slots;
        mQueueLimit = queueLimit;
    }

    /** Starts work if a slot is free, otherwise queues it. Returns false when the queue is full. */
    boolean submit(Work work) {
        if (mActive < mSlots) {
            mActive++;
            work.start();
            return true;
        }
        return mWaiting.size() < mQueueLimit && mWaiting.add(work);
    }

    /** Removes work from the queue. Returns false when the work is not queued. */
    boolean remove(Work work) {
        return mWaiting.remove(work);
    }

    void releaseSlot() {
        Work next = mWaiting.poll();
        if (next == null) {
            mActive--;
        } else {
            next.start();
        }
    }

    boolean isIdle() {
        return mActive == 0 && mWaiting.isEmpty();
    }

    int active() {
        return mActive;
    }

    int waiting() {
        return mWaiting.size();
    }
}
