package org.arbutuslock.internal.configuration.spread;

/**
 * Name and place of a node.
 *
 * @param node unique name of the node
 * @param address address at which other nodes reach it
 * @param region its region
 * @param zone its availability zone
 */
public record NodeIdentity(String node, String address, String region, String zone) {
    SpreadMessage.Sender sender() {
        return new SpreadMessage.Sender(node, address);
    }

    SpreadMessage.Origin origin() {
        return new SpreadMessage.Origin(region, zone);
    }
}
