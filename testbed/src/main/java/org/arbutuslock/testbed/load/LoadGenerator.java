package org.arbutuslock.testbed.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Runs load plans in an open loop. Arrival times are fixed in advance and do not depend on
 * responses. Latency is measured from the intended send time. All connections are opened before the
 * first arrival. Class loading still slows down about the first second of a process, so a
 * measurement should treat its first step as warm-up and evaluate only the later steps.
 *
 * <pre>{@code
 * LoadReport report = LoadGenerator.run(plan, sample -> {});
 * System.out.print(report.toTable());
 * }</pre>
 */
public final class LoadGenerator {
    private static final long START_DELAY_NANOS = 50_000_000;
    private static final long END_MARGIN_SECONDS = 10;

    private LoadGenerator() {}

    /**
     * Runs a plan and blocks until all its requests have finished.
     *
     * @param plan plan to run
     * @param listener receives every finished request, concurrently on {@link LoadPlan#threads()}
     *     event loops; must not block
     * @return counts and latencies of the run
     * @throws InterruptedException if the calling thread is interrupted
     * @throws IllegalStateException if requests are unfinished 10 s after the timeout of the last
     *     arrival
     */
    public static LoadReport run(LoadPlan plan, Consumer<LoadSample> listener)
            throws InterruptedException {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(plan.threads(), NioIoHandler.newFactory());
        try {
            return run(plan, listener, group);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static LoadReport run(
            LoadPlan plan, Consumer<LoadSample> listener, EventLoopGroup group)
            throws InterruptedException {
        List<LoadWorker> workers = new ArrayList<>();
        for (int index = 0; index < plan.threads(); index++) {
            workers.add(new LoadWorker(plan, group.next(), listener));
        }
        for (LoadWorker worker : workers) {
            worker.openConnections();
        }
        pace(plan, workers);
        LoadReport report = new LoadReport(plan);
        for (LoadWorker worker : workers) {
            long seconds = plan.timeout().toSeconds() + END_MARGIN_SECONDS;
            if (!worker.await(seconds, TimeUnit.SECONDS)) {
                throw new IllegalStateException(
                        "requests were still unfinished " + seconds + " s after the last arrival");
            }
            report.add(worker.report());
            worker.close();
        }
        return report;
    }

    private static void pace(LoadPlan plan, List<LoadWorker> workers) throws InterruptedException {
        ArrivalSchedule schedule = new ArrivalSchedule(plan);
        long start = System.nanoTime() + START_DELAY_NANOS;
        workers.forEach(worker -> worker.start(start));
        while (schedule.hasNext()) {
            Arrival arrival = schedule.next();
            waitUntil(start + arrival.intendedNanos());
            workers.get((int) (arrival.sequence() % workers.size())).enqueue(arrival);
        }
        workers.forEach(LoadWorker::endArrivals);
    }

    private static void waitUntil(long nanos) throws InterruptedException {
        long remaining = nanos - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            if (Thread.interrupted()) {
                throw new InterruptedException(
                        "interrupted while waiting for the next arrival of the load plan");
            }
            remaining = nanos - System.nanoTime();
        }
    }
}
