package org.arbutuslock.internal.membership;

import java.util.List;

/** Message of the membership protocol. */
public sealed interface GossipMessage {
    /** Number of hash buckets in a digest. */
    int BUCKETS = 64;

    /** Number of parts of a bucket. */
    int PARTS_PER_BUCKET = 16;

    /** Number of parts of all buckets. */
    int PARTS = BUCKETS * PARTS_PER_BUCKET;

    /**
     * Returns the sender of this message.
     *
     * @return name and address of the sender
     */
    Sender sender();

    /**
     * Sender of a message.
     *
     * @param node name of the sending node
     * @param address address for replies
     */
    record Sender(String node, String address) {}

    /**
     * Asks the receiver to reply, to check that it is alive.
     *
     * @param sender sender of the heartbeat
     * @param number number of the heartbeat, unique at the sender
     */
    record Heartbeat(Sender sender, long number) implements GossipMessage {}

    /**
     * Replies to a {@link Heartbeat} or an {@link IndirectHeartbeat}. In the second case the sender
     * forwards the reply of the third node.
     *
     * @param sender sender of the reply
     * @param number number of the heartbeat that is replied to
     */
    record HeartbeatReply(Sender sender, long number) implements GossipMessage {}

    /**
     * Asks the receiver to send a heartbeat to a third node and to forward the reply.
     *
     * @param sender sender of the request
     * @param number number of the heartbeat, unique at the sender
     * @param address address of the third node
     */
    record IndirectHeartbeat(Sender sender, long number, String address) implements GossipMessage {}

    /**
     * Updates about nodes.
     *
     * @param sender sender of the message
     * @param repair true for updates sent by anti-entropy, false for pushed ones
     * @param updates the updates
     */
    record Delta(Sender sender, boolean repair, List<MembershipUpdate> updates)
            implements GossipMessage {
        /** Copies the list. */
        public Delta {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Digest of all live records; starts an anti-entropy exchange.
     *
     * @param sender sender of the message
     * @param hashes one hash for each bucket; must not be changed
     */
    record Digest(Sender sender, long[] hashes) implements GossipMessage {}

    /**
     * Hashes of the parts of differing buckets; answers a {@link Digest}.
     *
     * @param sender sender of the message
     * @param buckets numbers of the buckets
     * @param hashes {@link #PARTS_PER_BUCKET} hashes for each bucket, in the order of the buckets;
     *     must not be changed
     */
    record BucketDigest(Sender sender, List<Integer> buckets, long[] hashes)
            implements GossipMessage {
        /** Copies the list. */
        public BucketDigest {
            buckets = List.copyOf(buckets);
        }
    }

    /**
     * All stamps of differing parts; answers a {@link BucketDigest}.
     *
     * @param sender sender of the message
     * @param parts the differing parts
     */
    record PartStamps(Sender sender, List<Part> parts) implements GossipMessage {
        /** Copies the list. */
        public PartStamps {
            parts = List.copyOf(parts);
        }
    }

    /**
     * Stamps of the nodes in one part.
     *
     * @param number number of the part, 0 to {@link #PARTS} - 1
     * @param stamps one stamp for each node that the sender knows, tombstones included
     */
    record Part(int number, List<Stamp> stamps) {
        /** Copies the list. */
        public Part {
            stamps = List.copyOf(stamps);
        }
    }

    /**
     * Identifies the state of a node without the content of its record.
     *
     * @param key hash of the node's name
     * @param incarnation incarnation of the record or tombstone
     * @param version version of the record or tombstone
     * @param departed true for a tombstone
     */
    record Stamp(long key, long incarnation, long version, boolean departed) {}

    /**
     * Asks for updates about nodes; answers {@link PartStamps}.
     *
     * @param sender sender of the request
     * @param keys hashes of the nodes' names
     */
    record UpdateRequest(Sender sender, List<Long> keys) implements GossipMessage {
        /** Copies the list. */
        public UpdateRequest {
            keys = List.copyOf(keys);
        }
    }
}
