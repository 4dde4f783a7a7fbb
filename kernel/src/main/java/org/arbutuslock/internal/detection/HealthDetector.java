package org.arbutuslock.internal.detection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;

/**
 * Assesses the health of one endpoint at its home node. Its input is the outcomes of requests and
 * probes, reports of entry nodes, and digests of the other endpoints of the service. Not
 * thread-safe. Memory use does not depend on the request rate.
 *
 * <pre>{@code
 * detector.observe(TrafficClass.SHORT, estimator.finish(ticket), Outcome.OK);
 * HealthAssessment assessment = detector.evaluate(); // every 250 ms
 * if (detector.tryAcquireProbe()) { probe(); }
 * }</pre>
 *
 * <p>Observations are collected in buckets of 0.5 s. A bucket is evaluated 1 s after its end,
 * against the digests that arrived in the second before its end and in the second after it. A fault
 * of the whole group is therefore not counted against one endpoint.
 */
public final class HealthDetector {
    /**
     * Nanoseconds of service time without progress after which the home node reports a request as
     * stalled. It repeats the report after each further period of this length, up to {@link
     * #MAXIMUM_STALL_REPORTS} reports.
     */
    public static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Maximum number of stall reports for one request. A single report would be too little evidence
     * against a server on which all slots hang, because it produces no other observations. More
     * reports would let one hanging connection make the server unhealthy.
     */
    public static final int MAXIMUM_STALL_REPORTS = 2;

    private static final long BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long EVALUATION_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** One bucket is being filled; two wait for their evaluation. */
    private static final int BUCKETS = 3;

    private static final int BUCKETS_PER_DIGEST = 2;
    private static final int MINIMUM_DIGEST_SAMPLES = 10;
    private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long HISTORY_NANOS = TimeUnit.MINUTES.toNanos(5);

    private final Clock mClock;
    private final ObservationBucket[][] mBuckets =
            new ObservationBucket[BUCKETS][TrafficClass.values().length];
    private final RotatingBucket[] mRecent = new RotatingBucket[TrafficClass.values().length];
    private final ObservationBucket mScratch = new ObservationBucket();
    private final ObservationBucket mLongScratch = new ObservationBucket();
    private final GroupWindow mGroup = new GroupWindow();
    private final EvidenceEvaluator mEvaluator;
    private final EntryReports mEntryReports = new EntryReports();
    private final ProbeBudget mProbes;
    private long mBucketEndNanos;
    private long mClosedBuckets;
    private double mRequestsPerSecond;

    /**
     * Creates a detector without observations.
     *
     * @param clock monotonic time
     */
    public HealthDetector(Clock clock) {
        mClock = clock;
        long nowNanos = clock.nanoTime();
        for (ObservationBucket[] buckets : mBuckets) {
            for (int index = 0; index < buckets.length; index++) {
                buckets[index] = new ObservationBucket();
            }
        }
        for (int index = 0; index < mRecent.length; index++) {
            mRecent[index] = new RotatingBucket(RECENT_NANOS, nowNanos);
        }
        mEvaluator = new EvidenceEvaluator(HISTORY_NANOS, nowNanos);
        mProbes = new ProbeBudget(nowNanos);
        mBucketEndNanos = nowNanos + BUCKET_NANOS;
    }

    /**
     * Records the end of one request, or a report that it has stalled.
     *
     * @param trafficClass traffic class of the request
     * @param serviceNanos service time as estimated by {@link ServiceTimeEstimator}; used only for
     *     the outcomes OK and LATE
     * @param outcome how the request ended
     */
    public void observe(TrafficClass trafficClass, long serviceNanos, Outcome outcome) {
        closeBuckets();
        ObservationBucket bucket =
                mBuckets[(int) (mClosedBuckets % BUCKETS)][trafficClass.ordinal()];
        switch (outcome) {
            case OK -> bucket.mRequests++;
            case WRONG, TRUNCATED, TIMEOUT -> countFailure(bucket);
            case REFUSED -> {
                bucket.mRequests++;
                bucket.mRefused++;
            }
            case STALLED -> {
                bucket.mRequests++;
                bucket.mStalled++;
            }
            case LATE -> retractStall(trafficClass);
        }
        if (outcome == Outcome.OK || outcome == Outcome.LATE) {
            bucket.recordLatency(serviceNanos / 1_000);
        }
    }

    /**
     * Records the report of an entry node that a response was wrong or truncated there, although it
     * was correct at the home node. A report counts only when another entry node sent one within
     * ten seconds: a fault of the network path of a single entry node has the same effect.
     *
     * @param entryNode name of the entry node
     * @param trafficClass traffic class of the request
     */
    public void observeEntryReport(String entryNode, TrafficClass trafficClass) {
        closeBuckets();
        if (mEntryReports.add(entryNode, mClock.nanoTime())) {
            ObservationBucket bucket =
                    mBuckets[(int) (mClosedBuckets % BUCKETS)][trafficClass.ordinal()];
            bucket.mFailed++;
        }
    }

    /**
     * Records the digest of another endpoint of the service.
     *
     * @param peer the other endpoint
     * @param digest its newest digest
     */
    public void observeDigest(EndpointId peer, HealthDigest digest) {
        closeBuckets();
        mGroup.add(peer, digest, mClock.nanoTime());
    }

    /**
     * Summarizes the last second for other endpoints.
     *
     * @return digest to send to up to five random endpoints of the service
     */
    public HealthDigest digest() {
        closeBuckets();
        List<HealthDigest.TrafficClassDigest> digests = new ArrayList<>();
        for (TrafficClass trafficClass : TrafficClass.values()) {
            digests.add(digest(trafficClass));
        }
        return new HealthDigest(digests);
    }

    /**
     * Returns the current health assessment of the endpoint. Must be called every 250 ms.
     *
     * @return the assessment after the last evaluated bucket
     */
    public HealthAssessment evaluate() {
        closeBuckets();
        return mEvaluator.assessment(mRequestsPerSecond);
    }

    /**
     * Takes a probe from the probe budget if one is due. A probe is an ordinary idempotent request.
     * It does not use the health endpoint of the server, which can be misleading.
     *
     * @return true when the calling code must send a probe now
     */
    public boolean tryAcquireProbe() {
        closeBuckets();
        boolean suspect = mEvaluator.isSuspicious();
        return mProbes.tryAcquire(mRequestsPerSecond, suspect, mClock.nanoTime());
    }

    /** Clears all evidence against the endpoint. Must be called when a trial begins. */
    public void reset() {
        mEvaluator.reset();
        for (ObservationBucket[] buckets : mBuckets) {
            for (ObservationBucket bucket : buckets) {
                bucket.clear();
            }
        }
    }

    private static void countFailure(ObservationBucket bucket) {
        bucket.mRequests++;
        bucket.mFailed++;
    }

    private void retractStall(TrafficClass trafficClass) {
        for (ObservationBucket[] buckets : mBuckets) {
            ObservationBucket bucket = buckets[trafficClass.ordinal()];
            if (bucket.mStalled > 0) {
                bucket.mStalled--;
                return;
            }
        }
    }

    private HealthDigest.TrafficClassDigest digest(TrafficClass trafficClass) {
        int index = trafficClass.ordinal();
        mScratch.clear();
        for (int back = 1; back <= BUCKETS_PER_DIGEST; back++) {
            mScratch.add(mBuckets[(int) ((mClosedBuckets + BUCKETS - back) % BUCKETS)][index]);
        }
        if (mScratch.mSamples >= MINIMUM_DIGEST_SAMPLES) {
            return mScratch.toDigest(mScratch);
        }
        mRecent[index].copyTo(mLongScratch);
        return mScratch.toDigest(mLongScratch);
    }

    /** Closes the buckets whose end has passed, and clears all buckets after a long pause. */
    private void closeBuckets() {
        long nowNanos = mClock.nanoTime();
        if (nowNanos - mBucketEndNanos > BUCKETS * BUCKET_NANOS) {
            resetAfterPause(nowNanos);
        }
        while (nowNanos - mBucketEndNanos >= 0) {
            closeBucket();
        }
    }

    private void resetAfterPause(long nowNanos) {
        for (ObservationBucket[] buckets : mBuckets) {
            for (ObservationBucket bucket : buckets) {
                bucket.clear();
            }
        }
        mBucketEndNanos = nowNanos + BUCKET_NANOS;
    }

    private void closeBucket() {
        int requests = 0;
        ObservationBucket[] closed = mBuckets[(int) (mClosedBuckets % BUCKETS)];
        for (int index = 0; index < closed.length; index++) {
            mRecent[index].add(closed[index], mBucketEndNanos);
            // Probes are not counted. A suspicious endpoint is probed more often, and a higher
            // request rate would raise the score from which it is unhealthy.
            requests += index == TrafficClass.PROBE.ordinal() ? 0 : closed[index].mRequests;
        }
        double seconds = (double) BUCKET_NANOS / TimeUnit.SECONDS.toNanos(1);
        mRequestsPerSecond += 0.1 * (requests / seconds - mRequestsPerSecond);
        mClosedBuckets++;
        // The oldest bucket ended one evaluation delay ago. It is evaluated and then reused.
        ObservationBucket[] oldest = mBuckets[(int) (mClosedBuckets % BUCKETS)];
        long endNanos = mBucketEndNanos - EVALUATION_DELAY_NANOS;
        mEvaluator.evaluate(oldest, mGroup, endNanos, mRequestsPerSecond);
        for (ObservationBucket bucket : oldest) {
            bucket.clear();
        }
        mBucketEndNanos += BUCKET_NANOS;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.1f requests/s, %s", mRequestsPerSecond, mEvaluator);
    }
}
