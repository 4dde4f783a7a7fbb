package org.arbutuslock.internal.membership;

import java.time.Duration;

/**
 * Parameters of the membership protocol.
 *
 * @param fanOut nodes of the same availability zone that each piece of news is pushed to
 * @param indirectChecks nodes asked to check a node that does not respond, before suspicion
 * @param suspicion time from suspicion to death
 * @param tombstoneLifetime time for which the tombstone of a dead node is kept
 */
public record GossipSettings(
        int fanOut, int indirectChecks, Duration suspicion, Duration tombstoneLifetime) {
    /**
     * Values of the design. The lifetime of tombstones exceeds the minutes for which regions are
     * partitioned from each other; a record revived after that is suspected again.
     */
    public static final GossipSettings DEFAULT =
            new GossipSettings(3, 3, Duration.ofSeconds(10), Duration.ofHours(1));

    /**
     * Returns a copy with another number of indirect checks.
     *
     * @param count number of nodes; 0 switches indirect checks off
     * @return the copy
     */
    public GossipSettings withIndirectChecks(int count) {
        return new GossipSettings(fanOut, count, suspicion, tombstoneLifetime);
    }
}
