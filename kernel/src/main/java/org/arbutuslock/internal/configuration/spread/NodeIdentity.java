package org.arbutuslock.internal.configuration.spread;

/**
 * Name, address and location of a node.
 *
 * @param node name of the node, unique in the fleet
 * @param address address and port at which other nodes reach the node
 * @param region region of the node
 * @param zone availability zone of the node
 */
public record NodeIdentity(String node, String address, String region, String zone) {
    SpreadMessage.Sender sender() {
        return new SpreadMessage.Sender(node, address);
    }

    SpreadMessage.Origin origin() {
        return new SpreadMessage.Origin(region, zone);
    }
}
