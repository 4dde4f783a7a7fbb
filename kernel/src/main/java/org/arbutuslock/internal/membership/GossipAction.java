package org.arbutuslock.internal.membership;

import java.time.Duration;

/** What the membership protocol asks its caller to do, in order. */
public sealed interface GossipAction {
    /**
     * Send a message.
     *
     * @param address address of the receiver
     * @param payload encoded message; must not be changed
     */
    record Send(String address, byte[] payload) implements GossipAction {}

    /**
     * A node was added.
     *
     * @param record its record
     */
    record Joined(NodeRecord record) implements GossipAction {}

    /**
     * A node has a newer record.
     *
     * @param record its record
     */
    record Changed(NodeRecord record) implements GossipAction {}

    /**
     * A node does not respond. It stays in the fleet until it refutes or {@link Left} follows.
     *
     * @param record its record
     */
    record Suspected(NodeRecord record) implements GossipAction {}

    /**
     * A node is gone.
     *
     * @param record its last record
     */
    record Left(NodeRecord record) implements GossipAction {}

    /**
     * This process was paused. The actions that refute a suspicion of it are in the same list.
     *
     * @param duration time without a tick
     */
    record Resumed(Duration duration) implements GossipAction {}
}
