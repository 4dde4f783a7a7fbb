package org.arbutuslock.internal.selection;

/** Distance between this node and an endpoint, nearest first. */
public enum ZoneDistance {
    /** Same availability zone. */
    SAME_ZONE(0),
    /**
     * Another availability zone in the same region. The one-way latency is 1 ms in a wide-area
     * deployment.
     */
    SAME_REGION(2_000_000),
    /**
     * Another region. The one-way latency is 20 ms, and the link has low bandwidth and is charged
     * by volume.
     */
    OTHER_REGION(40_000_000);

    private final long mRoundTripNanos;

    ZoneDistance(long roundTripNanos) {
        mRoundTripNanos = roundTripNanos;
    }

    long roundTripNanos() {
        return mRoundTripNanos;
    }
}
