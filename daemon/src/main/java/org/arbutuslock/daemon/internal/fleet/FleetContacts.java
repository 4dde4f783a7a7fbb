package org.arbutuslock.daemon.internal.fleet;

/** Takes addresses of nodes that were found outside of the membership protocol. */
@FunctionalInterface
public interface FleetContacts {
    /**
     * Exchanges records with a node. Any thread.
     *
     * @param address address of the node for sessions
     */
    void contact(String address);
}
