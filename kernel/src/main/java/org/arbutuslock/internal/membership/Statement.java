package org.arbutuslock.internal.membership;

import org.arbutuslock.api.EndpointId;

/** What one node tells others about a node. */
public sealed interface Statement {
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
    record Present(NodeRecord record) implements Statement {
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
     * @param departure its tombstone
     */
    record Departed(Departure departure) implements Statement {
        private static final int FIELD_BYTES = 20;

        @Override
        public String node() {
            return departure.node();
        }

        @Override
        public long incarnation() {
            return departure.incarnation();
        }

        @Override
        public long version() {
            return departure.version();
        }

        @Override
        public int estimatedBytes() {
            return FIELD_BYTES
                    + departure.node().length()
                    + departure.peerAddress().length()
                    + departure.region().length()
                    + departure.availabilityZone().length();
        }
    }

    /**
     * The node does not respond, neither directly nor through others.
     *
     * @param node name of the node
     * @param incarnation incarnation of its last record
     * @param version version of its last record
     */
    record Suspected(String node, long incarnation, long version) implements Statement {
        private static final int FIELD_BYTES = 16;

        @Override
        public int estimatedBytes() {
            return FIELD_BYTES + node.length();
        }
    }
}
