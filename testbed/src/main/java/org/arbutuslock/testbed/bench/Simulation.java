package org.arbutuslock.testbed.bench;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.ManualClock;

/** Runs events in the order of simulated time, on one thread. */
final class Simulation {
    private record Event(long nanos, long sequence, Runnable action) {}

    private final ManualClock mClock = new ManualClock();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::nanos).thenComparingLong(Event::sequence));
    private long mSequence;

    Clock clock() {
        return mClock;
    }

    long now() {
        return mClock.nanoTime();
    }

    void schedule(long delayNanos, Runnable action) {
        mEvents.add(new Event(now() + delayNanos, mSequence++, action));
    }

    void runUntil(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= endNanos) {
            Event event = mEvents.poll();
            mClock.advance(Duration.ofNanos(event.nanos() - now()));
            event.action().run();
        }
    }
}
