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
 * Runs load plans. Arrival times are fixed in advance and never wait for a response; latency counts
 * from the intended send time. All connections are opened before the first arrival. The first
 * second of a process still includes the loading of classes, so that a measurement uses its first
 * step as warm-up and reads the later ones.
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
     * Runs a plan to its end.
     *
     * @param plan what to send
     * @param listener gets every finished request, concurrently from {@link LoadPlan#threads()}
     *     threads; it must return quickly
     * @return figures of the run
     * @throws InterruptedException when the calling thread is interrupted
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
                        "the load did not end within " + seconds + " s after its last arrival");
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
                throw new InterruptedException("the load was interrupted");
            }
            remaining = nanos - System.nanoTime();
        }
    }
}
