package org.arbutuslock.internal.detection;

import java.util.Arrays;
import org.arbutuslock.api.EndpointId;

/** Recent digests of other endpoints, and what is usual in the group at a time. */
final class GroupWindow {
    /** Five digests arrive in a second on average, and two seconds are needed. */
    private static final int CAPACITY = 24;

    private static final int FEWEST_PEERS = 2;
    private static final int FEWEST_SAMPLES = 4;

    /** What the group showed during a second. */
    record Usual(double failed, double stalled, double refused) {}

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

    /** Returns the rates in a period, or null when too few peers reported. */
    Usual usual(long afterNanos, long untilNanos) {
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
            for (HealthDigest.TrafficClassDigest lane : mDigests[index].trafficClasses()) {
                requests += lane.requests();
                own[0] += lane.failed();
                own[1] += lane.stalled();
                own[2] += lane.refused();
            }
            for (int kind = 0; kind < bad.length; kind++) {
                bad[kind] += own[kind];
                worst[kind] = Math.max(worst[kind], own[kind]);
            }
        }
        if (peers < FEWEST_PEERS) {
            return null;
        }
        return new Usual(
                rate(bad[0], worst[0], requests, peers),
                rate(bad[1], worst[1], requests, peers),
                rate(bad[2], worst[2], requests, peers));
    }

    /** Another sick endpoint must not hide this one, so a peer that stands out is left out. */
    private static double rate(long bad, long worst, long requests, int peers) {
        long rest = bad - worst;
        boolean standsOut = worst > 3 + 3.0 * rest / (peers - 1);
        double base = standsOut ? requests * (peers - 1.0) / peers : requests;
        return (standsOut ? rest : bad) / Math.max(1, base);
    }

    /** Returns the median of the peers' 90th percentiles, or 0 when too few peers have one. */
    double upperMicros(TrafficClass lane, long afterNanos, long untilNanos) {
        double[] values = new double[CAPACITY];
        int count = 0;
        for (int index = 0; index < mSize; index++) {
            HealthDigest.TrafficClassDigest digest =
                    mDigests[index].trafficClasses().get(lane.ordinal());
            if (within(index, afterNanos, untilNanos)
                    && digest.latencySamples() >= FEWEST_SAMPLES) {
                values[count] = digest.upperMicros();
                count++;
            }
        }
        if (count < FEWEST_PEERS) {
            return 0;
        }
        Arrays.sort(values, 0, count);
        return values[count / 2];
    }

    private boolean within(int index, long afterNanos, long untilNanos) {
        return mArrivedNanos[index] - afterNanos > 0 && mArrivedNanos[index] - untilNanos <= 0;
    }
}
