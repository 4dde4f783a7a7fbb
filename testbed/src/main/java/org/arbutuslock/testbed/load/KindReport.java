package org.arbutuslock.testbed.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts and latencies of one or all kinds of request, for one step or for the whole run. */
public final class KindReport {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1000;

    private final Histogram mSuccessMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mOtherStatusMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<LoadResult, Long> mResults = new EnumMap<>(LoadResult.class);
    private final Map<Integer, Long> mStatuses = new TreeMap<>();
    private final Map<String, Long> mOutcomes = new TreeMap<>();

    KindReport() {}

    void add(LoadSample sample) {
        long micros = Math.max(0, sample.latencyNanos() / NANOS_PER_MICRO);
        if (sample.result() == LoadResult.SUCCESS) {
            mSuccessMicros.recordValue(micros);
        } else if (sample.result() == LoadResult.OTHER_STATUS) {
            mOtherStatusMicros.recordValue(micros);
        }
        mResults.merge(sample.result(), 1L, Long::sum);
        if (sample.status() != 0) {
            mStatuses.merge(sample.status(), 1L, Long::sum);
        }
        if (!sample.outcome().isEmpty()) {
            mOutcomes.merge(sample.outcome(), 1L, Long::sum);
        }
    }

    void add(KindReport other) {
        mSuccessMicros.add(other.mSuccessMicros);
        mOtherStatusMicros.add(other.mOtherStatusMicros);
        other.mResults.forEach((key, count) -> mResults.merge(key, count, Long::sum));
        other.mStatuses.forEach((key, count) -> mStatuses.merge(key, count, Long::sum));
        other.mOutcomes.forEach((key, count) -> mOutcomes.merge(key, count, Long::sum));
    }

    /**
     * Returns the latencies of successful requests.
     *
     * @return microseconds from the intended send time to the end of the response
     */
    public Histogram successMicros() {
        return mSuccessMicros;
    }

    /**
     * Returns the latencies of complete responses with a status other than 200, such as refusals.
     *
     * @return microseconds from the intended send time to the end of the response
     */
    public Histogram otherStatusMicros() {
        return mOtherStatusMicros;
    }

    /**
     * Returns the number of requests with the given result.
     *
     * @param result result to count
     * @return number of requests
     */
    public long count(LoadResult result) {
        return mResults.getOrDefault(result, 0L);
    }

    /**
     * Returns the number of finished requests with any result.
     *
     * @return number of requests
     */
    public long total() {
        return mResults.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns the number of responses by HTTP status, truncated responses included.
     *
     * @return number of responses by status
     */
    public Map<Integer, Long> statuses() {
        return mStatuses;
    }

    /**
     * Returns the number of responses by the value of the header {@code arbutuslock-outcome}.
     * Responses without the header are not counted.
     *
     * @return number of responses by header value
     */
    public Map<String, Long> outcomes() {
        return mOutcomes;
    }
}
