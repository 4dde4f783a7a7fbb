package org.arbutuslock.testbed.backend;

import java.util.ArrayDeque;
import java.util.Queue;

/** Gives slots to work in order of arrival. Confined to the event loop of the server. */
final class WorkQueue {
    private final int mSlots;
    private final int mQueueLimit;
    private final Queue<Work> mWaiting = new ArrayDeque<>();
    private int mActive;

    WorkQueue(int slots, int queueLimit) {
        mSlots = slots;
        mQueueLimit = queueLimit;
    }

    /** Starts or queues work. Returns false when the queue is full. */
    boolean submit(Work work) {
        if (mActive < mSlots) {
            mActive++;
            work.start();
            return true;
        }
        return mWaiting.size() < mQueueLimit && mWaiting.add(work);
    }

    /** Removes work that has not started. Returns false when it has. */
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
