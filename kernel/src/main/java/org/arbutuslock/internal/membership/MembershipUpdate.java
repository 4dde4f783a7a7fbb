package org.arbutuslock.internal.membership;

import org.arbutuslock.api.EndpointId;

/** An update that nodes send each other about the state of a node. */
public sealed interface MembershipUpdate {
    /**
     * Returns the node that the update is about.
     *
     * @return name of the node
     */
    String node();

    /**
     * Returns the incarnation that the update is about.
     *
     * @return incarnation of the node
     */
    long incarnation();

    /**
     * Returns the version of the record that the update is about.
     *
     * @return version within the incarnation
     */
    long version();

    /**
     * Estimates the encoded size, for the byte budgets of messages.
     *
     * @return estimated size in bytes
     */
    int estimatedBytes();

    /**
     * The node is live and announced a record.
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
     * The node left or was declared dead.
     *
     * @param tombstone tombstone of the node
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
     * The node responds neither to direct nor to indirect heartbeats.
     *
     * @param node name of the node
     * @param incarnation incarnation of the node's last known record
     * @param version version of the node's last known record
     */
    record Suspected(String node, long incarnation, long version) implements MembershipUpdate {
        private static final int FIELD_BYTES = 16;

        @Override
        public int estimatedBytes() {
            return FIELD_BYTES + node.length();
        }
    }
}
