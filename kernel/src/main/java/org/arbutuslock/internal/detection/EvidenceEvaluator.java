package org.arbutuslock.internal.detection;

import java.util.Locale;

/**
 * Converts the observations of closed buckets into evidence scores, and the scores into a health
 * assessment of one endpoint. Confined to the thread of its {@link HealthDetector}.
 */
final class EvidenceEvaluator {
    /** A service time counts as slow above this multiple of the baseline 90th percentile. */
    private static final double SLOW_FACTOR = 1.3;

    /**
     * Multiple of the 90th percentile of the group up to which the endpoint's own history raises
     * its baseline. This covers a server that has always been slower than its group.
     */
    private static final double OWN_HISTORY_LIMIT = 2;

    /** Share of slow requests that is assumed of a healthy endpoint. */
    private static final double BASELINE_SLOW_RATE = 0.12;

    /** Share of slow requests that is assumed of a faulty endpoint. */
    private static final double FAULTY_SLOW_RATE = 0.45;

    /**
     * Weight below 1, because slow requests are correlated: they occur in clusters more often than
     * independent events do.
     */
    private static final double SLOW_WEIGHT = 0.75;

    /**
     * Number of buckets (30 s) until the mean failure rate of the group is reliable. Until then the
     * baseline has a higher minimum.
     */
    private static final int WARM_UP_BUCKETS = 60;

    private static final double WARM_UP_MINIMUM_BASELINE_FAILURE_RATE = 0.03;
    private static final double MINIMUM_BASELINE_FAILURE_RATE = 0.005;

    /** At this weight, three wrong responses in nine requests suffice at 1 request/s. */
    private static final double FAILURE_WEIGHT = 1.2;

    private static final double FAULTY_FAILURE_RATE = 0.3;
    private static final double MINIMUM_BASELINE_STALL_RATE = 0.003;
    private static final double FAULTY_STALL_RATE = 0.2;
    private static final double MINIMUM_BASELINE_REFUSAL_RATE = 0.15;
    private static final double FAULTY_REFUSAL_RATE = 0.6;

    /** Multiple of the group's rate of failures or stalls that is the baseline of an endpoint. */
    private static final double GROUP_MARGIN = 1.5;

    /**
     * Weight of a new bucket in the moving average of the group's failure rate, which covers about
     * two minutes.
     */
    private static final double GROUP_RATE_SMOOTHING = 0.004;

    /**
     * Latency samples that the history needs before it raises the baseline. With fewer samples a
     * high percentile may be chance and would hide real slowness.
     */
    private static final int MINIMUM_HISTORY_SAMPLES = 200;

    private static final double MAXIMUM_BASELINE_RATE = 0.85;

    /** Score from which an endpoint is unhealthy at a rate of 1 request/s or less. */
    private static final double UNHEALTHY_SCORE = 11.3;

    /** Increase of the unhealthy score per unit of the natural logarithm of the request rate. */
    private static final double UNHEALTHY_SCORE_GROWTH = 1.25;

    /** Halves the stall score every 10 s, so that rare single stalls do not accumulate. */
    private static final double STALL_DECAY_PER_BUCKET = 0.966;

    /**
     * Weight of a failed probe, and maximum slow score of probes as a share of the slow score of
     * ordinary requests.
     */
    private static final double PROBE_SHARE = 0.5;

    /** Share of the unhealthy score from which an endpoint is suspicious. */
    private static final double SUSPECT_SHARE = 0.25;

    /** Upper limit of each score, as a multiple of the unhealthy score. */
    private static final double SCORE_LIMIT_FACTOR = 1.5;

    private final EvidenceScore mSlow = new EvidenceScore();
    private final EvidenceScore mSlowProbes = new EvidenceScore();
    private final EvidenceScore mFailures = new EvidenceScore();
    private final EvidenceScore mStalls = new EvidenceScore();
    private final EvidenceScore mRefusals = new EvidenceScore();
    private final RotatingBucket[] mHistory = new RotatingBucket[TrafficClass.values().length];
    private final double[] mHistoryUpperMicros = new double[TrafficClass.values().length];
    private final ObservationBucket mScratch = new ObservationBucket();
    private double mHistoryFailureRate;
    private double mGroupFailureRate;
    private long mGroupBuckets;
    private boolean mUnhealthy;
    private boolean mSuspicious;
    private TrafficClass mSlowTrafficClass = TrafficClass.SHORT;
    private int mSlowCount;
    private int mSlowSamples;
    private double mSlowLimitMicros;
    private int mFailureCount;
    private int mFailureRequests;
    private int mLearnedBuckets;

    EvidenceEvaluator(long historyNanos, long nowNanos) {
        for (int index = 0; index < mHistory.length; index++) {
            mHistory[index] = new RotatingBucket(historyNanos, nowNanos);
        }
    }

    /**
     * Evaluates one bucket of each traffic class.
     *
     * @param buckets buckets by the ordinal of their traffic class
     * @param group digests of the other endpoints
     * @param endNanos end of the buckets; digests from 1 s (2 s if those are too few) before it to
     *     1 s after it are the baseline
     * @param requestsPerSecond current request rate of the endpoint, without probes
     */
    void evaluate(
            ObservationBucket[] buckets,
            GroupWindow group,
            long endNanos,
            double requestsPerSecond) {
        long second = 1_000_000_000L;
        GroupWindow.Baseline before = group.baseline(endNanos - second, endNanos);
        GroupWindow.Baseline after = group.baseline(endNanos, endNanos + second);
        double unhealthyScore = unhealthyScore(requestsPerSecond);
        if (before == null) {
            before = group.baseline(endNanos - 2 * second, endNanos);
        }
        if (before == null || after == null) {
            // Without a baseline of the group, a fault of the whole service cannot be distinguished
            // from a fault of this server.
            return;
        }
        mGroupFailureRate +=
                Math.max(GROUP_RATE_SMOOTHING, 1.0 / ++mGroupBuckets)
                        * (after.failed() - mGroupFailureRate);
        evaluateOutcomes(buckets, before, after);
        for (TrafficClass trafficClass : TrafficClass.values()) {
            double groupUpperMicros =
                    Math.max(
                            group.upperMicros(trafficClass, endNanos - second, endNanos),
                            group.upperMicros(trafficClass, endNanos, endNanos + second));
            evaluateLatency(buckets[trafficClass.ordinal()], trafficClass, groupUpperMicros);
        }
        mSlow.limit(SCORE_LIMIT_FACTOR * unhealthyScore);
        mSlowProbes.limit(SCORE_LIMIT_FACTOR * unhealthyScore);
        mFailures.limit(SCORE_LIMIT_FACTOR * unhealthyScore);
        mStalls.limit(SCORE_LIMIT_FACTOR * unhealthyScore);
        mRefusals.limit(SCORE_LIMIT_FACTOR * unhealthyScore);
        updateAssessment(unhealthyScore);
        if (!mSuspicious) {
            learnHistory(buckets, endNanos);
        }
    }

    private void evaluateOutcomes(
            ObservationBucket[] buckets, GroupWindow.Baseline before, GroupWindow.Baseline after) {
        int good = 0;
        int failed = 0;
        int stalled = 0;
        int refused = 0;
        for (TrafficClass trafficClass : TrafficClass.values()) {
            ObservationBucket bucket = buckets[trafficClass.ordinal()];
            failed += trafficClass == TrafficClass.PROBE ? 0 : bucket.mFailed;
            stalled += bucket.mStalled;
            refused += bucket.mRefused;
            if (trafficClass != TrafficClass.PROBE) {
                // A server may serve probes better than other requests. A successful probe
                // therefore reduces no score, and a failed one counts half.
                good += bucket.mRequests - bucket.mFailed - bucket.mStalled - bucket.mRefused;
            }
        }
        int failedProbes = buckets[TrafficClass.PROBE.ordinal()].mFailed;
        if (failed + failedProbes + stalled > 0) {
            mFailureCount = failed + failedProbes + stalled;
            mFailureRequests = good + mFailureCount;
        }
        boolean started = mGroupBuckets > WARM_UP_BUCKETS;
        double minimum =
                started ? MINIMUM_BASELINE_FAILURE_RATE : WARM_UP_MINIMUM_BASELINE_FAILURE_RATE;
        double groupFailed = Math.max(before.failed(), after.failed());
        double baselineFailed =
                Math.max(groupFailed, Math.max(mGroupFailureRate, mHistoryFailureRate));
        addRate(
                mFailures,
                failed,
                good,
                Math.max(minimum, GROUP_MARGIN * baselineFailed),
                FAULTY_FAILURE_RATE,
                FAILURE_WEIGHT);
        addRate(
                mFailures,
                failedProbes,
                0,
                Math.max(minimum, GROUP_MARGIN * baselineFailed),
                FAULTY_FAILURE_RATE,
                PROBE_SHARE);
        mStalls.decay(STALL_DECAY_PER_BUCKET);
        double groupStalled = Math.max(before.stalled(), after.stalled());
        addRate(
                mStalls,
                stalled,
                good + failed,
                Math.max(MINIMUM_BASELINE_STALL_RATE, GROUP_MARGIN * groupStalled),
                FAULTY_STALL_RATE,
                1);
        double groupRefused = Math.max(before.refused(), after.refused());
        addRate(
                mRefusals,
                refused,
                good + failed + stalled,
                Math.max(MINIMUM_BASELINE_REFUSAL_RATE, 2 * groupRefused),
                FAULTY_REFUSAL_RATE,
                1);
    }

    private static void addRate(
            EvidenceScore score, int bad, int good, double baseline, double faulty, double weight) {
        if (baseline > MAXIMUM_BASELINE_RATE || bad + good == 0) {
            // When nearly all requests of the group fail, no endpoint is an outlier.
            return;
        }
        double faultyRate = Math.max(faulty, baseline + 0.1);
        score.add(bad, Math.max(0, good), baseline, faultyRate, weight);
    }

    private void evaluateLatency(
            ObservationBucket bucket, TrafficClass trafficClass, double groupUpperMicros) {
        if (bucket.mSamples == 0 || groupUpperMicros == 0) {
            return;
        }
        double ownUpperMicros =
                Math.min(
                        mHistoryUpperMicros[trafficClass.ordinal()],
                        OWN_HISTORY_LIMIT * groupUpperMicros);
        double limit = SLOW_FACTOR * Math.max(groupUpperMicros, ownUpperMicros);
        int slow = bucket.countAbove(limit);
        EvidenceScore score = trafficClass == TrafficClass.PROBE ? mSlowProbes : mSlow;
        score.add(slow, bucket.mSamples - slow, BASELINE_SLOW_RATE, FAULTY_SLOW_RATE, SLOW_WEIGHT);
        if (slow > 0) {
            mSlowTrafficClass = trafficClass;
            mSlowCount = slow;
            mSlowSamples = bucket.mSamples;
            mSlowLimitMicros = limit;
        }
    }

    private void updateAssessment(double unhealthyScore) {
        double score = score();
        mSuspicious = score >= SUSPECT_SHARE * unhealthyScore;
        if (score >= unhealthyScore) {
            mUnhealthy = true;
        } else if (!mSuspicious) {
            mUnhealthy = false;
        }
    }

    /** Adds the buckets to the endpoint's own history. Called only while it is not suspicious. */
    private void learnHistory(ObservationBucket[] buckets, long nowNanos) {
        int requests = 0;
        int failed = 0;
        for (int index = 0; index < buckets.length; index++) {
            mHistory[index].add(buckets[index], nowNanos);
            requests += buckets[index].mRequests;
            failed += buckets[index].mFailed;
        }
        mHistoryFailureRate +=
                Math.min(0.01, 0.001 * requests)
                        * (requests == 0 ? 0 : (double) failed / requests - mHistoryFailureRate);
        mLearnedBuckets++;
        if (mLearnedBuckets % 20 == 0) {
            for (int index = 0; index < buckets.length; index++) {
                mHistory[index].copyTo(mScratch);
                boolean enough = mScratch.mSamples >= MINIMUM_HISTORY_SAMPLES;
                mHistoryUpperMicros[index] = enough ? ObservationBucket.quantile(mScratch, 90) : 0;
            }
        }
    }

    HealthAssessment assessment(double requestsPerSecond) {
        double severity = Math.min(1, score() / unhealthyScore(requestsPerSecond));
        if (mUnhealthy) {
            return new HealthAssessment.Unhealthy(severity, toString());
        }
        return mSuspicious
                ? new HealthAssessment.Suspect(severity, toString())
                : new HealthAssessment.Healthy(severity, "nothing unusual");
    }

    boolean isSuspicious() {
        return mSuspicious;
    }

    void reset() {
        mSlow.reset();
        mSlowProbes.reset();
        mFailures.reset();
        mStalls.reset();
        mRefusals.reset();
        mUnhealthy = false;
        mSuspicious = false;
    }

    /**
     * Returns the score from which an endpoint is unhealthy. It grows with the request rate,
     * because more requests in the same time give more chances for a false alarm.
     */
    private static double unhealthyScore(double requestsPerSecond) {
        return UNHEALTHY_SCORE + UNHEALTHY_SCORE_GROWTH * Math.log(Math.max(1, requestsPerSecond));
    }

    /**
     * Returns the slow score, to which probes add at most half of the score of ordinary requests. A
     * suspicious endpoint is probed often and the other endpoints rarely. When the whole group is
     * slow, the probes of the others show this later than the probes of this endpoint.
     */
    private double slowScore() {
        return mSlow.value() + Math.min(PROBE_SHARE * mSlow.value(), mSlowProbes.value());
    }

    private double score() {
        // The maximum, not the sum: one stalled request and one wrong response may coincide by
        // chance.
        double failures = Math.max(mFailures.value(), mStalls.value());
        return Math.max(slowScore(), Math.max(failures, mRefusals.value()));
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "scores: slow %.1f, failures %.1f, stalls %.1f, refusals %.1f;"
                        + " last slow bucket: %d of %d %s requests above %.1f ms;"
                        + " last bucket with failures: %d of %d requests",
                slowScore(),
                mFailures.value(),
                mStalls.value(),
                mRefusals.value(),
                mSlowCount,
                mSlowSamples,
                mSlowTrafficClass,
                mSlowLimitMicros / 1_000,
                mFailureCount,
                mFailureRequests);
    }
}
