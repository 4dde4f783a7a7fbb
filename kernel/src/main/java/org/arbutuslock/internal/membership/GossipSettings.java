package org.arbutuslock.internal.membership;

import java.time.Duration;

/**
 * Parameters of the membership protocol.
 *
 * @param fanOut number of nodes of the same availability zone that each update is pushed to
 * @param indirectHeartbeats number of nodes that send a heartbeat on behalf of this one to a node
 *     that does not respond, before that node is suspected; 0 switches indirect heartbeats off
 * @param suspicionTimeout time after which a suspected node that does not refute is declared dead
 * @param tombstoneLifetime time for which the tombstone of a dead node is kept
 */
public record GossipSettings(
        int fanOut, int indirectHeartbeats, Duration suspicionTimeout, Duration tombstoneLifetime) {
    /**
     * Default values. Tombstones outlive network partitions between regions, which last minutes. A
     * stale record of a dead node that returns after its tombstone was removed is suspected again.
     */
    public static final GossipSettings DEFAULT =
            new GossipSettings(3, 3, Duration.ofSeconds(10), Duration.ofHours(1));

    /**
     * Returns a copy with another number of indirect heartbeats.
     *
     * @param count number of nodes; 0 switches indirect heartbeats off
     * @return the copy
     */
    public GossipSettings withIndirectHeartbeats(int count) {
        return new GossipSettings(fanOut, count, suspicionTimeout, tombstoneLifetime);
    }
}
