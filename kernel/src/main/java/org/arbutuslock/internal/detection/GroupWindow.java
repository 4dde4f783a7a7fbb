package org.arbutuslock.internal.detection;

import java.util.Arrays;
import org.arbutuslock.api.EndpointId;

/**
 * Keeps the recent digests of the other endpoints of the service and derives the baseline of the
 * group from them.
 */
final class GroupWindow {
    /**
     * Number of digests that are kept. Five arrive per second on average, and those of up to three
     * seconds are needed. The rest is a margin.
     */
    private static final int CAPACITY = 24;

    private static final int MINIMUM_PEERS = 2;
    private static final int MINIMUM_SAMPLES = 4;

    /** Shares of failed, stalled and refused requests of the group in a period, 0 to 1. */
    record Baseline(double failed, double stalled, double refused) {}

    private final EndpointId[] mPeers = new EndpointId[CAPACITY];
    private final HealthDigest[] mDigests = new HealthDigest[CAPACITY];
    private final long[] mArrivedNanos = new long[CAPACITY];
    private int mNext;
    private int mSize;

    void add(EndpointId peer, HealthDigest digest, long nowNanos) {
        mPeers[mNext] = peer;
        mDigests[mNext] = digest;
        mArrivedNanos[mNext] = nowNanos;
        mNext = (mNext + 1) % CAPACITY;
        mSize = Math.min(mSize + 1, CAPACITY);
    }

    /**
     * Returns the baseline of the group from the digests that arrived in a period.
     *
     * @param afterNanos start of the period, exclusive
     * @param untilNanos end of the period, inclusive
     * @return the baseline, or null when fewer than two digests arrived in the period
     */
    Baseline baseline(long afterNanos, long untilNanos) {
        long requests = 0;
        long[] bad = new long[3];
        long[] worst = new long[3];
        int peers = 0;
        for (int index = 0; index < mSize; index++) {
            if (!within(index, afterNanos, untilNanos)) {
                continue;
            }
            peers++;
            long[] own = new long[3];
            for (HealthDigest.TrafficClassDigest digest : mDigests[index].trafficClasses()) {
                requests += digest.requests();
                own[0] += digest.failed();
                own[1] += digest.stalled();
                own[2] += digest.refused();
            }
            for (int kind = 0; kind < bad.length; kind++) {
                bad[kind] += own[kind];
                worst[kind] = Math.max(worst[kind], own[kind]);
            }
        }
        if (peers < MINIMUM_PEERS) {
            return null;
        }
        return new Baseline(
                rate(bad[0], worst[0], requests, peers),
                rate(bad[1], worst[1], requests, peers),
                rate(bad[2], worst[2], requests, peers));
    }

    /**
     * Returns the share of bad requests in the group. The worst digest is left out if it is an
     * outlier, because another unhealthy endpoint must not raise the baseline and hide a fault of
     * this one.
     */
    private static double rate(long bad, long worst, long requests, int peers) {
        long rest = bad - worst;
        boolean outlier = worst > 3 + 3.0 * rest / (peers - 1);
        double base = outlier ? requests * (peers - 1.0) / peers : requests;
        return (outlier ? rest : bad) / Math.max(1, base);
    }

    /**
     * Returns the median of the peers' 90th percentiles of the service time, or 0 when fewer than
     * two digests in the period have at least four samples.
     */
    double upperMicros(TrafficClass trafficClass, long afterNanos, long untilNanos) {
        double[] values = new double[CAPACITY];
        int count = 0;
        for (int index = 0; index < mSize; index++) {
            HealthDigest.TrafficClassDigest digest =
                    mDigests[index].trafficClasses().get(trafficClass.ordinal());
            if (within(index, afterNanos, untilNanos)
                    && digest.latencySamples() >= MINIMUM_SAMPLES) {
                values[count] = digest.upperMicros();
                count++;
            }
        }
        if (count < MINIMUM_PEERS) {
            return 0;
        }
        Arrays.sort(values, 0, count);
        return values[count / 2];
    }

    private boolean within(int index, long afterNanos, long untilNanos) {
        return mArrivedNanos[index] - afterNanos > 0 && mArrivedNanos[index] - untilNanos <= 0;
    }
}
