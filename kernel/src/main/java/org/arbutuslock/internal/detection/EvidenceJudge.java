package org.arbutuslock.internal.detection;

import java.util.Locale;

/** Turns judged buckets into scores and scores into a verdict. */
final class EvidenceJudge {
    /** A latency counts as slow above this multiple of the usual 90th percentile. */
    private static final double SLOW_FACTOR = 1.3;

    /** Own history may excuse a server that has always been slower, up to this multiple. */
    private static final double OWN_HISTORY_LIMIT = 2;

    private static final double USUAL_SLOW_RATE = 0.12;
    private static final double FAULTY_SLOW_RATE = 0.45;

    /** Slow requests come in groups more often than a random sequence has them. */
    private static final double SLOW_WEIGHT = 0.75;

    /** For 30 s the mean of the group is not known well enough. */
    private static final int FIRST_BUCKETS = 60;

    private static final double FIRST_USUAL_FAILURE_RATE = 0.03;
    private static final double LOWEST_USUAL_FAILURE_RATE = 0.005;

    /** Lets three wrong responses among nine requests be enough at 1 request/s. */
    private static final double FAILURE_WEIGHT = 1.2;

    private static final double FAULTY_FAILURE_RATE = 0.3;
    private static final double LOWEST_USUAL_STALL_RATE = 0.003;
    private static final double FAULTY_STALL_RATE = 0.2;
    private static final double LOWEST_USUAL_REFUSAL_RATE = 0.15;
    private static final double FAULTY_REFUSAL_RATE = 0.6;
    private static final double GROUP_MARGIN = 1.5;

    /** Share of a new bucket in the mean of the group, which covers about two minutes. */
    private static final double GROUP_RATE_SHARE = 0.004;

    /** A history of fewer requests would excuse slowness by chance. */
    private static final int FEWEST_PAST_SAMPLES = 200;

    private static final double HIGHEST_USUAL_RATE = 0.85;

    /** Sick above this score at 1 request/s. */
    private static final double SICK_SCORE = 11.3;

    /** Growth of the sick score with the logarithm of the rate. */
    private static final double SICK_SCORE_GROWTH = 1.25;

    /** Halves the evidence of stalls in 10 s, so that rare single ones do not add up. */
    private static final double STALL_DECAY_PER_BUCKET = 0.966;

    private static final double PROBE_SHARE = 0.5;
    private static final double SUSPECT_SHARE = 0.25;
    private static final double LIMIT_SHARE = 1.5;

    private final EvidenceScore mSlow = new EvidenceScore();
    private final EvidenceScore mSlowProbes = new EvidenceScore();
    private final EvidenceScore mFailures = new EvidenceScore();
    private final EvidenceScore mStalls = new EvidenceScore();
    private final EvidenceScore mRefusals = new EvidenceScore();
    private final RotatingBucket[] mPast = new RotatingBucket[TrafficClass.values().length];
    private final double[] mPastUpperMicros = new double[TrafficClass.values().length];
    private final LaneBucket mScratch = new LaneBucket();
    private double mPastFailureRate;
    private double mGroupFailureRate;
    private long mGroupBuckets;
    private boolean mSick;
    private boolean mSuspicious;
    private TrafficClass mSlowLane = TrafficClass.SHORT;
    private int mSlowCount;
    private int mSlowSamples;
    private double mSlowLimitMicros;
    private int mFailureCount;
    private int mFailureRequests;
    private int mJudged;

    EvidenceJudge(long pastNanos, long nowNanos) {
        for (int lane = 0; lane < mPast.length; lane++) {
            mPast[lane] = new RotatingBucket(pastNanos, nowNanos);
        }
    }

    void judge(LaneBucket[] lanes, GroupWindow group, long endNanos, double requestsPerSecond) {
        long second = 1_000_000_000L;
        GroupWindow.Usual before = group.usual(endNanos - second, endNanos);
        GroupWindow.Usual after = group.usual(endNanos, endNanos + second);
        double sickScore = sickScore(requestsPerSecond);
        if (before == null) {
            before = group.usual(endNanos - 2 * second, endNanos);
        }
        if (before == null || after == null) {
            // Without a group, a fault of the whole service cannot be told from one server's.
            return;
        }
        mGroupFailureRate +=
                Math.max(GROUP_RATE_SHARE, 1.0 / ++mGroupBuckets)
                        * (after.failed() - mGroupFailureRate);
        judgeOutcomes(lanes, before, after);
        for (TrafficClass lane : TrafficClass.values()) {
            double usual =
                    Math.max(
                            group.upperMicros(lane, endNanos - second, endNanos),
                            group.upperMicros(lane, endNanos, endNanos + second));
            judgeLatency(lanes[lane.ordinal()], lane, usual);
        }
        mSlow.limit(LIMIT_SHARE * sickScore);
        mSlowProbes.limit(LIMIT_SHARE * sickScore);
        mFailures.limit(LIMIT_SHARE * sickScore);
        mStalls.limit(LIMIT_SHARE * sickScore);
        mRefusals.limit(LIMIT_SHARE * sickScore);
        decide(sickScore);
        if (!mSuspicious) {
            remember(lanes, endNanos);
        }
    }

    private void judgeOutcomes(
            LaneBucket[] lanes, GroupWindow.Usual before, GroupWindow.Usual after) {
        int good = 0;
        int failed = 0;
        int stalled = 0;
        int refused = 0;
        for (TrafficClass lane : TrafficClass.values()) {
            LaneBucket bucket = lanes[lane.ordinal()];
            failed += lane == TrafficClass.PROBE ? 0 : bucket.mFailed;
            stalled += bucket.mStalled;
            refused += bucket.mRefused;
            if (lane != TrafficClass.PROBE) {
                // A server may treat probes well: a good one takes no evidence back, and for
                // that a bad one counts half.
                good += bucket.mRequests - bucket.mFailed - bucket.mStalled - bucket.mRefused;
            }
        }
        int failedProbes = lanes[TrafficClass.PROBE.ordinal()].mFailed;
        if (failed + failedProbes + stalled > 0) {
            mFailureCount = failed + failedProbes + stalled;
            mFailureRequests = good + mFailureCount;
        }
        boolean started = mGroupBuckets > FIRST_BUCKETS;
        double lowest = started ? LOWEST_USUAL_FAILURE_RATE : FIRST_USUAL_FAILURE_RATE;
        double groupFailed = Math.max(before.failed(), after.failed());
        double usualFailed = Math.max(groupFailed, Math.max(mGroupFailureRate, mPastFailureRate));
        addRate(
                mFailures,
                failed,
                good,
                Math.max(lowest, GROUP_MARGIN * usualFailed),
                FAULTY_FAILURE_RATE,
                FAILURE_WEIGHT);
        addRate(
                mFailures,
                failedProbes,
                0,
                Math.max(lowest, GROUP_MARGIN * usualFailed),
                FAULTY_FAILURE_RATE,
                PROBE_SHARE);
        mStalls.decay(STALL_DECAY_PER_BUCKET);
        double groupStalled = Math.max(before.stalled(), after.stalled());
        addRate(
                mStalls,
                stalled,
                good + failed,
                Math.max(LOWEST_USUAL_STALL_RATE, GROUP_MARGIN * groupStalled),
                FAULTY_STALL_RATE,
                1);
        double groupRefused = Math.max(before.refused(), after.refused());
        addRate(
                mRefusals,
                refused,
                good + failed + stalled,
                Math.max(LOWEST_USUAL_REFUSAL_RATE, 2 * groupRefused),
                FAULTY_REFUSAL_RATE,
                1);
    }

    private static void addRate(
            EvidenceScore score, int bad, int good, double usual, double faulty, double weight) {
        if (usual > HIGHEST_USUAL_RATE || bad + good == 0) {
            return; // where nearly everything fails, no endpoint stands out
        }
        double faultyRate = Math.max(faulty, usual + 0.1);
        score.add(bad, Math.max(0, good), usual, faultyRate, weight);
    }

    private void judgeLatency(LaneBucket bucket, TrafficClass lane, double groupUpperMicros) {
        if (bucket.mSamples == 0 || groupUpperMicros == 0) {
            return;
        }
        double own =
                Math.min(mPastUpperMicros[lane.ordinal()], OWN_HISTORY_LIMIT * groupUpperMicros);
        double limit = SLOW_FACTOR * Math.max(groupUpperMicros, own);
        int slow = bucket.countAbove(limit);
        EvidenceScore score = lane == TrafficClass.PROBE ? mSlowProbes : mSlow;
        score.add(slow, bucket.mSamples - slow, USUAL_SLOW_RATE, FAULTY_SLOW_RATE, SLOW_WEIGHT);
        if (slow > 0) {
            mSlowLane = lane;
            mSlowCount = slow;
            mSlowSamples = bucket.mSamples;
            mSlowLimitMicros = limit;
        }
    }

    private void decide(double sickScore) {
        double score = score();
        mSuspicious = score >= SUSPECT_SHARE * sickScore;
        if (score >= sickScore) {
            mSick = true;
        } else if (!mSuspicious) {
            mSick = false;
        }
    }

    /** Learns what is usual here while nothing is suspicious. */
    private void remember(LaneBucket[] lanes, long nowNanos) {
        int requests = 0;
        int failed = 0;
        for (int lane = 0; lane < lanes.length; lane++) {
            mPast[lane].add(lanes[lane], nowNanos);
            requests += lanes[lane].mRequests;
            failed += lanes[lane].mFailed;
        }
        mPastFailureRate +=
                Math.min(0.01, 0.001 * requests)
                        * (requests == 0 ? 0 : (double) failed / requests - mPastFailureRate);
        mJudged++;
        if (mJudged % 20 == 0) {
            for (int lane = 0; lane < lanes.length; lane++) {
                mPast[lane].copyTo(mScratch);
                boolean enough = mScratch.mSamples >= FEWEST_PAST_SAMPLES;
                mPastUpperMicros[lane] = enough ? LaneBucket.quantile(mScratch, 90) : 0;
            }
        }
    }

    HealthAssessment verdict(double requestsPerSecond) {
        double severity = Math.min(1, score() / sickScore(requestsPerSecond));
        if (mSick) {
            return new HealthAssessment.Unhealthy(severity, toString());
        }
        return mSuspicious
                ? new HealthAssessment.Suspect(severity, toString())
                : new HealthAssessment.Healthy(severity, "nothing unusual");
    }

    boolean isSuspicious() {
        return mSuspicious;
    }

    void restart() {
        mSlow.reset();
        mSlowProbes.reset();
        mFailures.reset();
        mStalls.reset();
        mRefusals.reset();
        mSick = false;
        mSuspicious = false;
    }

    /** More requests give more chances for a false alarm in the same time. */
    private static double sickScore(double requestsPerSecond) {
        return SICK_SCORE + SICK_SCORE_GROWTH * Math.log(Math.max(1, requestsPerSecond));
    }

    /**
     * Probes add at most half of the evidence of ordinary requests: a suspicious endpoint sends
     * many of them before the rare probes of the others show a slowness that they share.
     */
    private double slowScore() {
        return mSlow.value() + Math.min(PROBE_SHARE * mSlow.value(), mSlowProbes.value());
    }

    private double score() {
        // One hanging request and one wrong response by chance must not add up.
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
                mSlowLane,
                mSlowLimitMicros / 1_000,
                mFailureCount,
                mFailureRequests);
    }
}
