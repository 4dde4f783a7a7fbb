package org.arbutuslock.internal.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.configuration.TaskTimer;

/**
 * Timer with simulated time. Runs tasks in the order of their due times, and tasks of the same time
 * in the order in which they were added. Single-threaded.
 */
public final class SimulatedTimer implements TaskTimer {
    private final ManualClock mClock = new ManualClock();
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::timeNanos).thenComparingLong(Task::sequence));
    private long mSequence;

    private record Task(long timeNanos, long sequence, Runnable action) {}

    public ManualClock clock() {
        return mClock;
    }

    @Override
    public void runAfter(Duration delay, Runnable task) {
        mTasks.add(new Task(mClock.nanoTime() + delay.toNanos(), mSequence++, task));
    }

    /** Runs all tasks that are due within a duration and advances the clock to the end of it. */
    public void runFor(Duration duration) {
        long end = mClock.nanoTime() + duration.toNanos();
        while (!mTasks.isEmpty() && mTasks.peek().timeNanos() <= end) {
            Task task = mTasks.poll();
            mClock.advance(Duration.ofNanos(task.timeNanos() - mClock.nanoTime()));
            task.action().run();
        }
        mClock.advance(Duration.ofNanos(end - mClock.nanoTime()));
    }
}
