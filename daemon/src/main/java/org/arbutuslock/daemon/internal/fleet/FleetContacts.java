package org.arbutuslock.daemon.internal.fleet;

/** Contacts nodes that were discovered by other means than the membership protocol. */
@FunctionalInterface
public interface FleetContacts {
    /**
     * Starts an exchange of node records with a node. May be called on any thread.
     *
     * @param address session address of the node
     */
    void contact(String address);
}
