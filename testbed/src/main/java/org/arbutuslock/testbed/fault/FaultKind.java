package org.arbutuslock.testbed.fault;

import java.util.EnumSet;
import java.util.Set;

/** Kinds of fault, with the range of their duration in milliseconds. */
public enum FaultKind {
    /** All open connections to a node are reset once. */
    RESET(0, 0),
    /** All open connections to a node stay open but never deliver another frame. */
    SILENCE(0, 0),
    /** Frames to and from a node are delayed. */
    DELAY(300, 1_000),
    /** Some frames to and from a node are delivered twice. */
    DUPLICATE(300, 1_500),
    /** Some connections to a node are reset in the middle of a frame. */
    CUT(200, 800),
    /** One-way partition: frames to a node are held back, frames from it are delivered. */
    PARTITION_TO_NODE(200, 2_500),
    /** One-way partition: frames from a node are held back, frames to it are delivered. */
    PARTITION_FROM_NODE(200, 2_500),
    /** A node is stopped without a drain and started again with a new incarnation. */
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
     * Returns the faults that affect only connections between nodes and stop no process.
     *
     * @return all kinds except {@link #NODE_RESTART} and {@link #BACKEND_RESTART}
     */
    public static Set<FaultKind> ofConnections() {
        return EnumSet.complementOf(EnumSet.of(NODE_RESTART, BACKEND_RESTART));
    }
}
