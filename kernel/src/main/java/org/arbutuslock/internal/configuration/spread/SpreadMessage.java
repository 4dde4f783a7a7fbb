package org.arbutuslock.internal.configuration.spread;

import java.util.List;
import java.util.UUID;

/** Messages between nodes about the configuration. */
public sealed interface SpreadMessage {
    /** Stands for the id of a change that the sender does not know. */
    UUID NO_ID = new UUID(0, 0);

    /**
     * Returns who sent the message.
     *
     * @return name and address
     */
    Sender sender();

    /**
     * Sender of a message.
     *
     * @param node name of the node
     * @param address address for responses
     */
    record Sender(String node, String address) {}

    /**
     * Place at which a change entered the region, which decides who relays it.
     *
     * @param region region that got the change from the store
     * @param zone availability zone in which this copy spreads
     */
    record Origin(String region, String zone) {}

    /**
     * State of a node, for comparison.
     *
     * @param sender the node
     * @param revision its revision
     * @param headId id of the change that produced the revision, or {@link #NO_ID}
     * @param firstHeld first revision that it can send as a change
     * @param watcherAgeMillis time since its availability zone had a watcher, as far as it knows
     * @param replyWanted true when the receiver sends its own digest back
     */
    record Digest(
            Sender sender,
            long revision,
            UUID headId,
            long firstHeld,
            long watcherAgeMillis,
            boolean replyWanted)
            implements SpreadMessage {}

    /**
     * Consecutive changes.
     *
     * @param sender the node
     * @param revision its revision
     * @param baseId id of the change before the first one, or {@link #NO_ID}
     * @param origin where the change entered; ignored for a repair
     * @param repair true for the response to a {@link ChangesRequest}
     * @param changes encoded changes
     */
    record Changes(
            Sender sender,
            long revision,
            UUID baseId,
            Origin origin,
            boolean repair,
            List<byte[]> changes)
            implements SpreadMessage {
        /** Copies the list. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Asks for the changes after a revision.
     *
     * @param sender the node
     * @param after its revision
     * @param headId id of the change that produced it, or {@link #NO_ID}
     */
    record ChangesRequest(Sender sender, long after, UUID headId) implements SpreadMessage {}

    /**
     * Asks for parts of a snapshot.
     *
     * @param sender the node
     * @param revision revision of the snapshot, or 0 for the one that the receiver chooses
     * @param part first wanted part
     * @param count number of wanted parts
     */
    record SnapshotRequest(Sender sender, long revision, int part, int count)
            implements SpreadMessage {}

    /**
     * One part of a snapshot.
     *
     * @param sender the node
     * @param revision revision of the snapshot
     * @param part number of this part
     * @param parts number of all parts
     * @param data encoded part
     */
    record SnapshotPart(Sender sender, long revision, int part, int parts, byte[] data)
            implements SpreadMessage {}
}
