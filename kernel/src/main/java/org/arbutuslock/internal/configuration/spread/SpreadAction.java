package org.arbutuslock.internal.configuration.spread;

import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationChange;

/** What the spread of the configuration asks its caller to do, in order. */
public sealed interface SpreadAction {
    /**
     * Send a message.
     *
     * @param address address of the receiver
     * @param payload encoded message; must not be changed
     */
    record Send(String address, byte[] payload) implements SpreadAction {}

    /**
     * Apply a change to the configuration in force.
     *
     * @param peer node that sent it
     * @param change the change
     */
    record ApplyChange(String peer, ConfigurationChange change) implements SpreadAction {}

    /**
     * Replace the configuration in force.
     *
     * @param peer node that sent it
     * @param configuration checked configuration
     */
    record ApplySnapshot(String peer, Configuration configuration) implements SpreadAction {}

    /**
     * Report what a peer sent and this node refused.
     *
     * @param peer the node
     * @param reason why it was refused
     */
    record Refused(String peer, String reason) implements SpreadAction {}

    /** List the slots of watchers of this availability zone in the store. */
    record ListSlots() implements SpreadAction {}

    /**
     * Create a lease and claim a slot with it.
     *
     * @param slot number of the slot
     * @param expectedVersion version of its key to replace, or that of an absent key
     */
    record ClaimSlot(int slot, long expectedVersion) implements SpreadAction {}

    /**
     * Renew the lease of the slot.
     *
     * @param lease number of the lease
     */
    record RenewLease(long lease) implements SpreadAction {}

    /**
     * Follow the change log in the store.
     *
     * @param slot slot that this node holds
     */
    record StartWatching(int slot) implements SpreadAction {}

    /**
     * Stop following the change log.
     *
     * @param reason why this node is not a watcher any more
     */
    record StopWatching(String reason) implements SpreadAction {}

    /** Write a snapshot to the store if the newest one is old. */
    record Compact() implements SpreadAction {}
}
