package org.arbutuslock.internal.configuration.spread;

import java.util.List;
import java.util.UUID;

/** Message with which nodes compare and exchange their configuration. */
public sealed interface SpreadMessage {
    /** Placeholder for the id of a change that the sender does not know. */
    UUID NO_ID = new UUID(0, 0);

    /**
     * Returns the sender of the message.
     *
     * @return name and address of the node that sent the message
     */
    Sender sender();

    /**
     * Name and address of the sender.
     *
     * @param node name of the node
     * @param address address and port for responses
     */
    record Sender(String node, String address) {}

    /**
     * Location where a change came from the store. Relays use it to decide whether to forward the
     * change. Both names are empty for changes that must not be relayed.
     *
     * @param region region in which a watcher read the change from the store
     * @param zone availability zone in which the change entered the region; empty while the change
     *     is on its way to another region
     */
    record Origin(String region, String zone) {}

    /**
     * Summary of the sender's state. The receiver compares it with its own state.
     *
     * @param sender node that sent the message
     * @param revision newest revision of the sender
     * @param headId id of the change that produced this revision, or {@link #NO_ID}
     * @param firstHeld first revision whose change the sender still has
     * @param watcherAgeMillis time in ms since the sender last knew of a watcher in its
     *     availability zone
     * @param replyWanted true when the receiver must respond with changes or with its own digest
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
     * Consecutive changes, either pushed or sent on request.
     *
     * @param sender node that sent the message
     * @param revision newest revision of the sender; for a push, the revision of the change
     * @param baseId id of the change before the first one, or {@link #NO_ID}
     * @param origin where the change came from the store; ignored when {@code repair} is true
     * @param repair true when the changes repair a peer that is behind, in response to a {@link
     *     ChangesRequest} or a {@link Digest}; false for a push
     * @param changes encoded changes in the order of their revisions
     */
    record Changes(
            Sender sender,
            long revision,
            UUID baseId,
            Origin origin,
            boolean repair,
            List<byte[]> changes)
            implements SpreadMessage {
        /** Copies the list of changes; the arrays are shared and must not be modified. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Requests the changes after a revision.
     *
     * @param sender node that sent the message
     * @param after newest revision of the sender
     * @param headId id of the change that produced this revision, or {@link #NO_ID}
     */
    record ChangesRequest(Sender sender, long after, UUID headId) implements SpreadMessage {}

    /**
     * Requests consecutive parts of a snapshot.
     *
     * @param sender node that sent the message
     * @param revision revision of the snapshot, or 0 when the receiver may choose it
     * @param part index of the first requested part, from 0
     * @param count number of requested parts
     */
    record SnapshotRequest(Sender sender, long revision, int part, int count)
            implements SpreadMessage {}

    /**
     * One part of a snapshot.
     *
     * @param sender node that sent the message
     * @param revision revision of the snapshot
     * @param part index of this part, from 0
     * @param parts total number of parts of the snapshot
     * @param data encoded part
     */
    record SnapshotPart(Sender sender, long revision, int part, int parts, byte[] data)
            implements SpreadMessage {}
}
