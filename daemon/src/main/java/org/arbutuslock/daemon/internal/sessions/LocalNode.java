package org.arbutuslock.daemon.internal.sessions;

import org.arbutuslock.internal.selection.ZoneDistance;

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
        String name, long incarnation, String region, String availabilityZone, String peerAddress) {
    /**
     * Returns how far away another host is.
     *
     * @param otherRegion region of the other host
     * @param otherZone availability zone of the other host
     * @return distance from this node
     */
    public ZoneDistance distanceTo(String otherRegion, String otherZone) {
        if (!otherRegion.equals(region)) {
            return ZoneDistance.OTHER_REGION;
        }
        return otherZone.equals(availabilityZone)
                ? ZoneDistance.SAME_ZONE
                : ZoneDistance.SAME_REGION;
    }
}
