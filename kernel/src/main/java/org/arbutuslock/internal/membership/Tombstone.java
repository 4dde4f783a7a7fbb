package org.arbutuslock.internal.membership;

/**
 * Says that a node is gone. Kept as a tombstone: it outranks the record with the same incarnation
 * and version and every older one.
 *
 * @param node name of the node
 * @param incarnation incarnation of its last record
 * @param version version of its last record
 * @param peerAddress last address for sessions
 * @param region region of the node
 * @param availabilityZone availability zone of the node
 */
public record Tombstone(
        String node,
        long incarnation,
        long version,
        String peerAddress,
        String region,
        String availabilityZone) {
    static Tombstone of(NodeRecord record) {
        return new Tombstone(
                record.node(),
                record.incarnation(),
                record.version(),
                record.peerAddress(),
                record.region(),
                record.availabilityZone());
    }
}
