package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutuslock.internal.membership.NodeRecord;

/**
 * Makes sure that the two neighbors of this node in the ring of its availability zone have the
 * newest revision. Pushes to 3 random nodes miss about 5% of a zone (e^-3), and more when messages
 * are lost. The ring contains every node of the zone, so the check also reaches the missed nodes. A
 * neighbor gets digests until it confirms the revision or all rounds are used.
 */
final class NeighborCheck {
    private static final long ROUND_NANOS = Duration.ofMillis(100).toNanos();

    /** At 20% message loss, each round repairs 3 of 4 nodes that the pushes missed. */
    private static final int ROUNDS = 8;

    private final Map<String, Long> mConfirmed = new HashMap<>();
    private long mRevision;
    private long mNextNanos;
    private int mRounds;

    /** Starts the rounds again for a newer revision; an older one is ignored. */
    void check(long revision, long now) {
        if (revision <= mRevision) {
            return;
        }
        mRevision = revision;
        if (mRounds == 0) {
            mNextNanos = now + ROUND_NANOS;
        }
        mRounds = ROUNDS;
    }

    /** Records a revision that a node is known to have. Nodes other than neighbors are ignored. */
    void confirm(String node, long revision) {
        mConfirmed.computeIfPresent(node, (name, known) -> Math.max(known, revision));
    }

    /** Returns the addresses of the neighbors that must get a digest now. */
    List<String> due(List<NodeRecord> neighbors, long now) {
        if (mRounds == 0 || now - mNextNanos < 0) {
            return List.of();
        }
        mRounds--;
        mNextNanos = now + ROUND_NANOS;
        List<String> addresses = new ArrayList<>();
        mConfirmed.keySet().retainAll(neighbors.stream().map(NodeRecord::node).toList());
        for (NodeRecord neighbor : neighbors) {
            if (mConfirmed.computeIfAbsent(neighbor.node(), name -> 0L) < mRevision) {
                addresses.add(neighbor.peerAddress());
            }
        }
        if (addresses.isEmpty()) {
            mRounds = 0;
        }
        return addresses;
    }
}
