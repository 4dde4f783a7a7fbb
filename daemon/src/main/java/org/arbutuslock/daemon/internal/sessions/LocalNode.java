package org.arbutuslock.daemon.internal.sessions;

/**
 * Identity of this node.
 *
 * @param name name that is unique in the fleet
 * @param incarnation number of this run of the node, higher than in any earlier run
 * @param region region of the host
 * @param availabilityZone availability zone of the host
 * @param peerAddress IP address and port at which other nodes reach this node
 */
public record LocalNode(
        String name,
        long incarnation,
        String region,
        String availabilityZone,
        String peerAddress) {}
