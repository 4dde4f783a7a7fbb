package org.arbutuslock.internal.selection;

/** Distance between this node and an endpoint, nearest first. */
public enum ZoneDistance {
    /** Same availability zone. */
    SAME_ZONE(0),
    /** Another availability zone of the same region; 1 ms one way in the wider deployment. */
    SAME_REGION(2_000_000),
    /** Another region; 20 ms one way over a narrow link that is charged by volume. */
    OTHER_REGION(40_000_000);

    private final long mRoundTripNanos;

    ZoneDistance(long roundTripNanos) {
        mRoundTripNanos = roundTripNanos;
    }

    long roundTripNanos() {
        return mRoundTripNanos;
    }
}
