package org.arbutuslock.testbed.load;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Sends its share of the arrivals on one event loop and collects their results. */
final class LoadWorker {
    private static final long NANOS_PER_MICRO = 1000;

    private final LoadPlan mPlan;
    private final EventLoop mLoop;
    private final LoadReport mReport;
    private final List<TargetPool> mPools;
    private final Consumer<LoadSample> mListener;
    private long mStartNanos;
    private long mPending;
    private boolean mArrivalsEnded;
    private final CountDownLatch mDone = new CountDownLatch(1);

    LoadWorker(LoadPlan plan, EventLoop loop, Consumer<LoadSample> listener) {
        mPlan = plan;
        mLoop = loop;
        mListener = listener;
        mReport = new LoadReport(plan);
        int limit = plan.connectionsPerTarget() / plan.threads();
        mPools =
                plan.targets().stream()
                        .map(target -> new TargetPool(loop, target, limit, this::finish))
                        .toList();
    }

    /** Opens all connections. Blocks until each of them is open or has failed. */
    void openConnections() throws InterruptedException {
        CountDownLatch opened = new CountDownLatch(mPools.size());
        mLoop.execute(() -> mPools.forEach(pool -> pool.openAll(opened::countDown)));
        opened.await();
    }

    /**
     * Sets the start of the run as a {@link System#nanoTime()} value. Must be called before {@link
     * #enqueue}.
     */
    void start(long startNanos) {
        mStartNanos = startNanos;
    }

    /**
     * Sends an arrival that is due, on the event loop. Called from the thread that paces the load.
     */
    void enqueue(Arrival arrival) {
        mLoop.execute(() -> submit(arrival));
    }

    /** Signals that no further arrival will be enqueued. */
    void endArrivals() {
        mLoop.execute(
                () -> {
                    mArrivalsEnded = true;
                    completeWhenDone();
                });
    }

    boolean await(long timeout, TimeUnit unit) throws InterruptedException {
        return mDone.await(timeout, unit);
    }

    /** Returns the report of this worker. Must be called after {@link #await} has returned true. */
    LoadReport report() {
        return mReport;
    }

    void close() {
        mLoop.execute(() -> mPools.forEach(TargetPool::close));
    }

    private void submit(Arrival arrival) {
        long intendedAt = mStartNanos + arrival.intendedNanos();
        long now = System.nanoTime();
        mReport.addSendDelay(arrival, (now - intendedAt) / NANOS_PER_MICRO);
        Exchange exchange = new Exchange(arrival, mPlan.kinds().get(arrival.kind()), intendedAt);
        TargetPool pool = mPools.get((int) (arrival.sequence() % mPools.size()));
        long remaining = intendedAt + mPlan.timeout().toNanos() - now;
        exchange.setTimer(
                mLoop.schedule(() -> pool.timeOut(exchange), remaining, TimeUnit.NANOSECONDS));
        mPending++;
        pool.submit(exchange);
    }

    private void finish(Exchange exchange, LoadSample sample) {
        mReport.add(exchange.arrival(), sample);
        mListener.accept(sample);
        mPending--;
        completeWhenDone();
    }

    private void completeWhenDone() {
        if (mArrivalsEnded && mPending == 0) {
            mDone.countDown();
        }
    }
}
