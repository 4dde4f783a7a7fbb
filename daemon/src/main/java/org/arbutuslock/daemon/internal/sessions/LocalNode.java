package org.arbutuslock.daemon.internal.sessions;

/**
 * Identity of this node.
 *
 * @param name unique name
 * @param incarnation number of this run, higher than that of any earlier run
 * @param region region of the host
 * @param availabilityZone availability zone of the host
 * @param peerAddress IP address and port at which other nodes reach this one
 */
public record LocalNode(
        String name,
        long incarnation,
        String region,
        String availabilityZone,
        String peerAddress) {}
