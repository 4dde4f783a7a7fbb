package org.arbutuslock.daemon.internal.metrics;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.PackedHistogram;
import org.HdrHistogram.Recorder;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.WorkClass;

/**
 * Rates and latencies of the last 10 s by service, work class and tenant. The 10 s are divided into
 * intervals of 2 s, each of which {@link #rotate} closes. Requests are recorded without locks.
 *
 * <pre>{@code
 * windows.record("order-hub", WorkClass.SHORT, "team-7", latency, false);
 * RequestWindows.Summary summary = windows.read("", 20);
 * }</pre>
 */
public final class RequestWindows {
    /** Length of an interval, and time between two calls of {@link #rotate}. */
    public static final Duration INTERVAL = Duration.ofSeconds(2);

    private static final int INTERVALS = 5;

    /** Bounds the memory: 512 rows with latencies of up to 1 s take about 14 MB. */
    private static final int MAXIMUM_ROWS = 512;

    private static final int SIGNIFICANT_DIGITS = 2;
    private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(2);
    private static final Key OVERFLOW = new Key("(other)", WorkClass.SHORT, "");
    private static final double MEDIAN = 50;
    private static final double P95 = 95;
    private static final double P99 = 99;

    private final Clock mClock;
    private final ConcurrentHashMap<Key, Window> mWindows = new ConcurrentHashMap<>();
    private final Deque<Long> mLengthsNanos = new ArrayDeque<>();
    private long mIntervalStartNanos;

    private record Key(String service, WorkClass workClass, String tenant) {}

    /**
     * Requests and latencies of one service, work class and tenant.
     *
     * @param service name of the service
     * @param workClass work class of the route, short or long
     * @param tenant name of the tenant, or empty for all tenants without a row of their own
     * @param requests finished requests
     * @param failures requests without a complete response, except those that the caller cancelled
     * @param p50Micros median latency
     * @param p95Micros 95th percentile of the latency
     * @param p99Micros 99th percentile of the latency
     * @param maximumMicros largest latency
     */
    public record Row(
            String service,
            WorkClass workClass,
            String tenant,
            long requests,
            long failures,
            long p50Micros,
            long p95Micros,
            long p99Micros,
            long maximumMicros) {}

    /**
     * Summary of the closed intervals.
     *
     * @param period total length of the intervals, about 10 s once the node has run that long
     * @param rows rows, sorted by requests in descending order
     */
    public record Summary(Duration period, List<Row> rows) {}

    /**
     * Creates windows without requests; the first interval starts now.
     *
     * @param clock clock that measures the intervals
     */
    public RequestWindows(Clock clock) {
        mClock = clock;
        mIntervalStartNanos = clock.nanoTime();
    }

    /**
     * Records a finished request. Thread-safe.
     *
     * @param service name of the service
     * @param workClass work class of the route, short or long
     * @param tenant name of the tenant, or empty for all tenants without a row of their own
     * @param latency time from the request to the end of the response
     * @param failed whether the request counts as a failure
     */
    public void record(
            String service, WorkClass workClass, String tenant, Duration latency, boolean failed) {
        Window window = findWindow(new Key(service, workClass, tenant));
        window.mRecorder.recordValue(
                Math.clamp(TimeUnit.NANOSECONDS.toMicros(latency.toNanos()), 0, LONGEST_MICROS));
        if (failed) {
            window.mFailures.increment();
        }
    }

    private Window findWindow(Key key) {
        Window known = mWindows.get(key);
        if (known != null) {
            return known;
        }
        // Threads that add rows concurrently can exceed the bound, at most by one row each.
        Key bounded = mWindows.size() < MAXIMUM_ROWS ? key : OVERFLOW;
        return mWindows.computeIfAbsent(bounded, unused -> new Window());
    }

    /** Closes the current interval. Must be called once per {@link #INTERVAL}. */
    public synchronized void rotate() {
        long now = mClock.nanoTime();
        mLengthsNanos.addLast(now - mIntervalStartNanos);
        mIntervalStartNanos = now;
        if (mLengthsNanos.size() > INTERVALS) {
            mLengthsNanos.removeFirst();
        }
        mWindows.values().removeIf(Window::rotate);
    }

    /**
     * Summarizes the closed intervals of the last 10 s. Thread-safe.
     *
     * @param service service whose rows are returned, or empty for all services
     * @param limit largest number of rows
     * @return summary with the rows of the most requests
     */
    public synchronized Summary read(String service, int limit) {
        List<Row> rows = new ArrayList<>();
        mWindows.forEach(
                (key, window) -> {
                    if (service.isEmpty() || key.service().equals(service)) {
                        window.summarize(key, rows);
                    }
                });
        rows.sort(Comparator.comparingLong(Row::requests).reversed());
        long nanos = mLengthsNanos.stream().mapToLong(Long::longValue).sum();
        return new Summary(
                Duration.ofNanos(nanos),
                List.copyOf(rows.subList(0, Math.min(limit, rows.size()))));
    }

    private record Interval(PackedHistogram latencies, long failures) {}

    private static final class Window {
        private final Recorder mRecorder = new Recorder(SIGNIFICANT_DIGITS);
        private final LongAdder mFailures = new LongAdder();
        private final Deque<Interval> mIntervals = new ArrayDeque<>();
        private Histogram mRecycled;

        /** Closes the current interval; returns true when no kept interval has a request. */
        private boolean rotate() {
            mRecycled = mRecorder.getIntervalHistogram(mRecycled);
            PackedHistogram packed = new PackedHistogram(SIGNIFICANT_DIGITS);
            packed.add(mRecycled);
            mIntervals.addLast(new Interval(packed, mFailures.sumThenReset()));
            if (mIntervals.size() > INTERVALS) {
                mIntervals.removeFirst();
            }
            return mIntervals.stream()
                    .allMatch(interval -> interval.latencies().getTotalCount() == 0);
        }

        private void summarize(Key key, List<Row> rows) {
            Histogram all = new Histogram(SIGNIFICANT_DIGITS);
            mIntervals.forEach(interval -> all.add(interval.latencies()));
            if (all.getTotalCount() == 0) {
                return;
            }
            rows.add(
                    new Row(
                            key.service(),
                            key.workClass(),
                            key.tenant(),
                            all.getTotalCount(),
                            mIntervals.stream().mapToLong(Interval::failures).sum(),
                            all.getValueAtPercentile(MEDIAN),
                            all.getValueAtPercentile(P95),
                            all.getValueAtPercentile(P99),
                            all.getMaxValue()));
        }
    }
}
