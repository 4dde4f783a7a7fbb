package org.arbutuslock.testbed.fault;

import java.util.EnumSet;
import java.util.Set;

/** Faults of a history, with the bounds of their length in milliseconds. */
public enum FaultKind {
    /** All connections to a node are reset. */
    RESET(0, 0),
    /** All connections to a node become silent for good. */
    SILENCE(0, 0),
    /** Frames to and from a node are late. */
    DELAY(300, 1_000),
    /** Frames to and from a node arrive twice. */
    DUPLICATE(300, 1_500),
    /** Connections are reset in the middle of frames. */
    CUT(200, 800),
    /** Nothing reaches a node, while its own frames arrive. */
    PARTITION_TO_NODE(200, 2_500),
    /** Nothing from a node arrives, while it gets all frames. */
    PARTITION_FROM_NODE(200, 2_500),
    /** A node is stopped without drain and started with a new incarnation. */
    NODE_RESTART(200, 1_500),
    /** A backend server is stopped in the middle of responses and started again. */
    BACKEND_RESTART(100, 1_000);

    private final int mShortestMillis;
    private final int mLongestMillis;

    FaultKind(int shortestMillis, int longestMillis) {
        mShortestMillis = shortestMillis;
        mLongestMillis = longestMillis;
    }

    int shortestMillis() {
        return mShortestMillis;
    }

    int longestMillis() {
        return mLongestMillis;
    }

    /**
     * Returns the faults in which no process ends.
     *
     * @return faults of connections between nodes
     */
    public static Set<FaultKind> ofConnections() {
        return EnumSet.complementOf(EnumSet.of(NODE_RESTART, BACKEND_RESTART));
    }
}
