package org.arbutuslock.internal.membership;

import java.time.Duration;

/** An action that {@link GossipProtocol} returns to the code that drives it. */
public sealed interface GossipAction {
    /**
     * Send a message to another node.
     *
     * @param address address of the receiver
     * @param payload encoded message; must not be changed
     */
    record Send(String address, byte[] payload) implements GossipAction {}

    /**
     * A node joined the fleet.
     *
     * @param record record of the node
     */
    record Joined(NodeRecord record) implements GossipAction {}

    /**
     * A known node has a newer record.
     *
     * @param record the newer record
     */
    record Changed(NodeRecord record) implements GossipAction {}

    /**
     * A node is suspected, because it does not respond. It stays in the fleet until {@link Left}
     * follows; a {@link Changed} that refutes the suspicion may follow instead.
     *
     * @param record record of the node
     */
    record Suspected(NodeRecord record) implements GossipAction {}

    /**
     * A node left the fleet or was declared dead.
     *
     * @param record last record of the node
     */
    record Left(NodeRecord record) implements GossipAction {}

    /**
     * This process was paused. The same list of actions announces the node again, which refutes any
     * suspicion of it.
     *
     * @param duration time since the last call of {@link GossipProtocol#tick()}
     */
    record Resumed(Duration duration) implements GossipAction {}
}
