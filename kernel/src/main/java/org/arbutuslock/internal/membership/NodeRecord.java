package org.arbutuslock.internal.membership;

import java.util.List;

/**
 * State that a node announces about itself. Only the node itself creates its records. Of two
 * records, the one with the higher incarnation is newer; if the incarnations are equal, the one
 * with the higher version.
 *
 * @param node unique name of the node
 * @param incarnation number of the node's process start; a later start has a higher number
 * @param version number of this record within the incarnation, increasing
 * @param peerAddress IP address and port for connections between nodes
 * @param region region of the node
 * @param availabilityZone availability zone of the node
 * @param configurationRevision revision of the configuration in force at the node
 * @param draining true when the node is shutting down
 * @param endpoints endpoints of the backend servers on the node's host
 */
public record NodeRecord(
        String node,
        long incarnation,
        long version,
        String peerAddress,
        String region,
        String availabilityZone,
        long configurationRevision,
        boolean draining,
        List<EndpointRecord> endpoints) {
    /** Copies the list of endpoints. */
    public NodeRecord {
        endpoints = List.copyOf(endpoints);
    }

    /**
     * Tells whether this record is newer than another one of the same node.
     *
     * @param other record of the same node
     * @return true when this record is newer
     */
    public boolean isNewerThan(NodeRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return version > other.version;
    }

    NodeRecord withVersion(long newVersion) {
        return new NodeRecord(
                node,
                incarnation,
                newVersion,
                peerAddress,
                region,
                availabilityZone,
                configurationRevision,
                draining,
                endpoints);
    }

    NodeRecord with(List<EndpointRecord> newEndpoints, long newRevision, boolean newDraining) {
        return new NodeRecord(
                node,
                incarnation,
                version,
                peerAddress,
                region,
                availabilityZone,
                newRevision,
                newDraining,
                newEndpoints);
    }
}
