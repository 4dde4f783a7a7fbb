package org.arbutuslock.internal.membership;

import java.util.List;

/** One message of the membership protocol. */
public sealed interface GossipMessage {
    /** Number of hash buckets in a digest. */
    int BUCKETS = 64;

    /** Number of parts that a differing bucket is split into. */
    int PARTS_PER_BUCKET = 16;

    /** Number of parts of all buckets. */
    int PARTS = BUCKETS * PARTS_PER_BUCKET;

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
     * @param address address for replies
     */
    record Sender(String node, String address) {}

    /**
     * Asks for a sign of life.
     *
     * @param sender who asks
     * @param number number of the heartbeat at the sender
     */
    record Heartbeat(Sender sender, long number) implements GossipMessage {}

    /**
     * Gives a sign of life, the responder's own or, after an {@link IndirectHeartbeat}, that of the
     * node asked about.
     *
     * @param sender who responds
     * @param number number of the heartbeat
     */
    record HeartbeatReply(Sender sender, long number) implements GossipMessage {}

    /**
     * Asks the receiver to send a heartbeat to a third node and to pass on its reply.
     *
     * @param sender who asks
     * @param number number of the heartbeat at the sender
     * @param address address of the third node
     */
    record IndirectHeartbeat(Sender sender, long number, String address) implements GossipMessage {}

    /**
     * Statements about nodes.
     *
     * @param sender who sends them
     * @param repair true when they answer a digest, false when they are news
     * @param updates the statements
     */
    record Delta(Sender sender, boolean repair, List<MembershipUpdate> updates)
            implements GossipMessage {
        /** Copies the list. */
        public Delta {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Digest of all live records.
     *
     * @param sender who sends it
     * @param hashes one hash for each bucket; must not be changed
     */
    record Digest(Sender sender, long[] hashes) implements GossipMessage {}

    /**
     * Hashes of the parts of buckets that differ.
     *
     * @param sender who sends it
     * @param buckets numbers of the buckets
     * @param hashes hashes of the parts of each bucket in order; must not be changed
     */
    record BucketDigest(Sender sender, List<Integer> buckets, long[] hashes)
            implements GossipMessage {
        /** Copies the list. */
        public BucketDigest {
            buckets = List.copyOf(buckets);
        }
    }

    /**
     * All stamps of parts that differ.
     *
     * @param sender who sends it
     * @param parts the parts
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
     * @param number number of the part
     * @param stamps one for each node that the sender knows
     */
    record Part(int number, List<Stamp> stamps) {
        /** Copies the list. */
        public Part {
            stamps = List.copyOf(stamps);
        }
    }

    /**
     * State of a node's record without its content.
     *
     * @param key hash of the node's name
     * @param incarnation incarnation
     * @param version version
     * @param departed true for a tombstone
     */
    record Stamp(long key, long incarnation, long version, boolean departed) {}

    /**
     * Asks for the statements about nodes.
     *
     * @param sender who asks
     * @param keys hashes of the nodes' names
     */
    record UpdateRequest(Sender sender, List<Long> keys) implements GossipMessage {
        /** Copies the list. */
        public UpdateRequest {
            keys = List.copyOf(keys);
        }
    }
}
