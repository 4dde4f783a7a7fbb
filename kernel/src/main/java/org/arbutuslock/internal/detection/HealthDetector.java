package org.arbutuslock.internal.detection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;

/**
 * Judges one endpoint at its home node from requests, probes, reports of entry nodes and digests of
 * other endpoints of the service. Not thread-safe; memory does not grow with traffic.
 *
 * <pre>{@code
 * detector.observe(Lane.SHORT, timer.finish(ticket), Outcome.OK);
 * Verdict verdict = detector.evaluate(); // every 250 ms
 * if (detector.wantsProbe()) { probe(); }
 * }</pre>
 *
 * <p>Observations are collected in buckets of 0.5 s. A bucket is judged 1 s after its end, against
 * the digests that arrived in the second before and in the second after its end, so that a fault
 * that strikes the whole group is never counted against one endpoint.
 */
public final class HealthDetector {
    /**
     * Time of work without progress after which the home node reports a request as stalled, and
     * again after as much more time, up to {@link #MAXIMUM_STALL_REPORTS}.
     */
    public static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Reports of one stalled request. A server whose slots all hang has no other observations; one
     * connection that hangs must not be enough.
     */
    public static final int MAXIMUM_STALL_REPORTS = 2;

    private static final long BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long LAG_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** One is filled, two are kept until the lag has passed. */
    private static final int BUCKETS = 3;

    private static final int BUCKETS_PER_DIGEST = 2;
    private static final int FEWEST_DIGEST_SAMPLES = 10;
    private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long PAST_NANOS = TimeUnit.MINUTES.toNanos(5);

    private final Clock mClock;
    private final LaneBucket[][] mBuckets = new LaneBucket[BUCKETS][TrafficClass.values().length];
    private final RotatingBucket[] mRecent = new RotatingBucket[TrafficClass.values().length];
    private final LaneBucket mScratch = new LaneBucket();
    private final LaneBucket mLongScratch = new LaneBucket();
    private final GroupWindow mGroup = new GroupWindow();
    private final EvidenceJudge mJudge;
    private final EntryReports mEntryReports = new EntryReports();
    private final ProbeBudget mProbes;
    private long mBucketEndNanos;
    private long mClosed;
    private double mRequestsPerSecond;

    /**
     * Creates a detector without observations.
     *
     * @param clock monotonic time
     */
    public HealthDetector(Clock clock) {
        mClock = clock;
        long nowNanos = clock.nanoTime();
        for (LaneBucket[] lanes : mBuckets) {
            for (int lane = 0; lane < lanes.length; lane++) {
                lanes[lane] = new LaneBucket();
            }
        }
        for (int lane = 0; lane < mRecent.length; lane++) {
            mRecent[lane] = new RotatingBucket(RECENT_NANOS, nowNanos);
        }
        mJudge = new EvidenceJudge(PAST_NANOS, nowNanos);
        mProbes = new ProbeBudget(nowNanos);
        mBucketEndNanos = nowNanos + BUCKET_NANOS;
    }

    /**
     * Takes the end of one request, or a report that it stalls.
     *
     * @param lane kind of work
     * @param serviceNanos time that the server worked on it, as {@link ServiceTimeEstimator}
     *     estimates; only used for outcome OK and LATE
     * @param outcome how it ended
     */
    public void observe(TrafficClass lane, long serviceNanos, Outcome outcome) {
        closeBuckets();
        LaneBucket bucket = mBuckets[(int) (mClosed % BUCKETS)][lane.ordinal()];
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
            case LATE -> takeBackStall(lane);
        }
        if (outcome == Outcome.OK || outcome == Outcome.LATE) {
            bucket.recordLatency(serviceNanos / 1_000);
        }
    }

    /**
     * Takes an entry node's report that a response, which looked right here, was wrong or truncated
     * there. Reports count only when two entry nodes agree, because a fault of one path would look
     * the same.
     *
     * @param entryNode name of the entry node
     * @param lane kind of work
     */
    public void observeEntryReport(String entryNode, TrafficClass lane) {
        closeBuckets();
        if (mEntryReports.add(entryNode, mClock.nanoTime())) {
            LaneBucket bucket = mBuckets[(int) (mClosed % BUCKETS)][lane.ordinal()];
            bucket.mFailed++;
        }
    }

    /**
     * Takes the digest of another endpoint of the service.
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
     * @return what to send to five random endpoints of the service
     */
    public HealthDigest digest() {
        closeBuckets();
        List<HealthDigest.TrafficClassDigest> lanes = new ArrayList<>();
        for (TrafficClass lane : TrafficClass.values()) {
            lanes.add(digest(lane));
        }
        return new HealthDigest(lanes);
    }

    /**
     * Judges the endpoint. Call it every 250 ms.
     *
     * @return newest judgement
     */
    public HealthAssessment evaluate() {
        closeBuckets();
        return mJudge.verdict(mRequestsPerSecond);
    }

    /**
     * Tells whether a probe should be sent now. A probe is an ordinary idempotent request, not a
     * question to the server's health endpoint, which can be misleading.
     *
     * @return true when the caller must send one
     */
    public boolean tryAcquireProbe() {
        closeBuckets();
        boolean suspect = mJudge.isSuspicious();
        return mProbes.takeProbe(mRequestsPerSecond, suspect, mClock.nanoTime());
    }

    /** Forgets the evidence against the endpoint. Call it when a trial begins. */
    public void reset() {
        mJudge.restart();
        for (LaneBucket[] lanes : mBuckets) {
            for (LaneBucket bucket : lanes) {
                bucket.clear();
            }
        }
    }

    private static void countFailure(LaneBucket bucket) {
        bucket.mRequests++;
        bucket.mFailed++;
    }

    private void takeBackStall(TrafficClass lane) {
        for (LaneBucket[] lanes : mBuckets) {
            LaneBucket bucket = lanes[lane.ordinal()];
            if (bucket.mStalled > 0) {
                bucket.mStalled--;
                return;
            }
        }
    }

    private HealthDigest.TrafficClassDigest digest(TrafficClass lane) {
        int index = lane.ordinal();
        mScratch.clear();
        for (int back = 1; back <= BUCKETS_PER_DIGEST; back++) {
            mScratch.add(mBuckets[(int) ((mClosed + BUCKETS - back) % BUCKETS)][index]);
        }
        if (mScratch.mSamples >= FEWEST_DIGEST_SAMPLES) {
            return mScratch.toDigest(mScratch);
        }
        mRecent[index].copyTo(mLongScratch);
        return mScratch.toDigest(mLongScratch);
    }

    /** Closes buckets whose time has passed; after a long pause all of them are empty. */
    private void closeBuckets() {
        long nowNanos = mClock.nanoTime();
        if (nowNanos - mBucketEndNanos > BUCKETS * BUCKET_NANOS) {
            restartAfterPause(nowNanos);
        }
        while (nowNanos - mBucketEndNanos >= 0) {
            closeBucket();
        }
    }

    private void restartAfterPause(long nowNanos) {
        for (LaneBucket[] lanes : mBuckets) {
            for (LaneBucket bucket : lanes) {
                bucket.clear();
            }
        }
        mBucketEndNanos = nowNanos + BUCKET_NANOS;
    }

    private void closeBucket() {
        int requests = 0;
        LaneBucket[] closed = mBuckets[(int) (mClosed % BUCKETS)];
        for (int lane = 0; lane < closed.length; lane++) {
            mRecent[lane].add(closed[lane], mBucketEndNanos);
            // Probes are sent because of a suspicion and must not raise the score that it needs.
            requests += lane == TrafficClass.PROBE.ordinal() ? 0 : closed[lane].mRequests;
        }
        double seconds = (double) BUCKET_NANOS / TimeUnit.SECONDS.toNanos(1);
        mRequestsPerSecond += 0.1 * (requests / seconds - mRequestsPerSecond);
        mClosed++;
        // The oldest bucket ended one lag ago; it is judged and then reused.
        LaneBucket[] oldest = mBuckets[(int) (mClosed % BUCKETS)];
        long endNanos = mBucketEndNanos - LAG_NANOS;
        mJudge.judge(oldest, mGroup, endNanos, mRequestsPerSecond);
        for (LaneBucket bucket : oldest) {
            bucket.clear();
        }
        mBucketEndNanos += BUCKET_NANOS;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.1f requests/s, %s", mRequestsPerSecond, mJudge);
    }
}
