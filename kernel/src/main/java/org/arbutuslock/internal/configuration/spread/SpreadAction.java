package org.arbutuslock.internal.configuration.spread;

import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationChange;

/**
 * Action that {@link ConfigurationSpread} returns for {@link SpreadRunner} to carry out. Actions
 * must be carried out in the order in which they are returned.
 */
public sealed interface SpreadAction {
    /**
     * Send a message to a peer.
     *
     * @param address address and port of the receiver
     * @param payload encoded message; must not be changed
     */
    record Send(String address, byte[] payload) implements SpreadAction {}

    /**
     * Apply a change to the configuration in force.
     *
     * @param peer name of the node that sent the change
     * @param change change to apply
     */
    record ApplyChange(String peer, ConfigurationChange change) implements SpreadAction {}

    /**
     * Replace the configuration in force.
     *
     * @param peer name of the node that sent the snapshot
     * @param configuration complete configuration, already validated
     */
    record ApplySnapshot(String peer, Configuration configuration) implements SpreadAction {}

    /**
     * Log that this node refused a message of a peer.
     *
     * @param peer name of the node that sent the message
     * @param reason why the message was refused
     */
    record Refused(String peer, String reason) implements SpreadAction {}

    /**
     * List the taken watcher slots of this availability zone in the store. The result goes to
     * {@link ConfigurationSpread#slotsListed}.
     */
    record ListSlots() implements SpreadAction {}

    /**
     * Create a lease and claim a watcher slot with it. The result goes to {@link
     * ConfigurationSpread#slotClaimed}.
     *
     * @param slot number of the slot
     * @param expectedVersion version that the key of the slot must have; {@link
     *     org.arbutuslock.api.store.StoreEntry#ABSENT_VERSION} for a free slot
     */
    record ClaimSlot(int slot, long expectedVersion) implements SpreadAction {}

    /**
     * Renew the lease of the held slot. The result goes to {@link
     * ConfigurationSpread#leaseRenewed}.
     *
     * @param lease id of the lease
     */
    record RenewLease(long lease) implements SpreadAction {}

    /**
     * Start to follow the change log in the store.
     *
     * @param slot number of the slot that this node holds
     */
    record StartWatching(int slot) implements SpreadAction {}

    /**
     * Stop following the change log.
     *
     * @param reason why this node is no longer a watcher
     */
    record StopWatching(String reason) implements SpreadAction {}

    /**
     * Write a snapshot to the store, unless the newest one there is less than {@link
     * ConfigurationSpread#CHANGES_PER_SNAPSHOT} changes old.
     */
    record Compact() implements SpreadAction {}
}
