package org.arbutuslock.internal.membership;

/**
 * Tombstone of a node that left or was declared dead. It replaces the record with the same
 * incarnation and version and every older record.
 *
 * @param node name of the node
 * @param incarnation incarnation of the node's last record
 * @param version version of the node's last record
 * @param peerAddress last known address for connections between nodes
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
