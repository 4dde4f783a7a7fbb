package org.arbutuslock.internal.membership;

import org.arbutuslock.api.EndpointId;

/** What one node tells others about a node. */
public sealed interface MembershipUpdate {
    /**
     * Returns the node that the statement is about.
     *
     * @return name of the node
     */
    String node();

    /**
     * Returns the incarnation that the statement is about.
     *
     * @return incarnation of the node
     */
    long incarnation();

    /**
     * Returns the version that the statement is about.
     *
     * @return version within the incarnation
     */
    long version();

    /**
     * Estimates the encoded size for the pacing of messages.
     *
     * @return bytes
     */
    int estimatedBytes();

    /**
     * The node announced this record.
     *
     * @param record the record
     */
    record Present(NodeRecord record) implements MembershipUpdate {
        private static final int RECORD_BYTES = 32;
        private static final int ENDPOINT_BYTES = 7;

        @Override
        public String node() {
            return record.node();
        }

        @Override
        public long incarnation() {
            return record.incarnation();
        }

        @Override
        public long version() {
            return record.version();
        }

        @Override
        public int estimatedBytes() {
            int size =
                    RECORD_BYTES
                            + record.node().length()
                            + record.peerAddress().length()
                            + record.region().length()
                            + record.availabilityZone().length();
            for (EndpointRecord endpoint : record.endpoints()) {
                EndpointId id = endpoint.id();
                size += ENDPOINT_BYTES + id.service().length() + id.backendServer().length();
            }
            return size;
        }
    }

    /**
     * The node is gone.
     *
     * @param tombstone its tombstone
     */
    record Departed(Tombstone tombstone) implements MembershipUpdate {
        private static final int FIELD_BYTES = 20;

        @Override
        public String node() {
            return tombstone.node();
        }

        @Override
        public long incarnation() {
            return tombstone.incarnation();
        }

        @Override
        public long version() {
            return tombstone.version();
        }

        @Override
        public int estimatedBytes() {
            return FIELD_BYTES
                    + tombstone.node().length()
                    + tombstone.peerAddress().length()
                    + tombstone.region().length()
                    + tombstone.availabilityZone().length();
        }
    }

    /**
     * The node does not respond, neither directly nor through others.
     *
     * @param node name of the node
     * @param incarnation incarnation of its last record
     * @param version version of its last record
     */
    record Suspected(String node, long incarnation, long version) implements MembershipUpdate {
        private static final int FIELD_BYTES = 16;

        @Override
        public int estimatedBytes() {
            return FIELD_BYTES + node.length();
        }
    }
}
