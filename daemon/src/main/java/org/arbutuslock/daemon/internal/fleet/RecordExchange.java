package org.arbutuslock.daemon.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.PeerMessage;

/**
 * Sends this node's record to all known nodes at a fixed interval and at each change, and removes
 * nodes that are no longer heard of. Suits fleets of up to about a hundred nodes.
 */
public final class RecordExchange {
    /** Time between two calls of {@link #tick()}. */
    public static final Duration INTERVAL = Duration.ofMillis(500);

    private static final EventLogger LOGGER = EventLogger.forComponent("fleet");
    private static final long LIFETIME_NANOS = Duration.ofSeconds(5).toNanos();

    private final LocalNode mLocalNode;
    private final Clock mClock;
    private final List<String> mSeeds;
    private final PeerLinks mLinks;
    private final FleetDirectory mDirectory;
    private final Supplier<List<EndpointRecord>> mEndpoints;
    private final LongSupplier mRevision;
    private final Map<String, Long> mHeardNanos = new HashMap<>();
    private boolean mDraining;
    private long mVersion;

    /**
     * Creates an exchange that has sent nothing.
     *
     * @param localNode identity of this node
     * @param clock time of the last sign of life of each node
     * @param seeds addresses of nodes to contact first
     * @param links sessions to other nodes
     * @param directory gets the records
     * @param endpoints describes the endpoints of this host
     * @param revision returns the revision of the configuration in force
     */
    public RecordExchange(
            LocalNode localNode,
            Clock clock,
            List<String> seeds,
            PeerLinks links,
            FleetDirectory directory,
            Supplier<List<EndpointRecord>> endpoints,
            LongSupplier revision) {
        mLocalNode = localNode;
        mClock = clock;
        mSeeds = List.copyOf(seeds);
        mLinks = links;
        mDirectory = directory;
        mEndpoints = endpoints;
        mRevision = revision;
    }

    /** Announces that this node shuts down. */
    public synchronized void drain() {
        mDraining = true;
        tick();
    }

    /** Sends the records that this node knows and removes nodes that are silent. */
    public synchronized void tick() {
        NodeRecord own = createOwnRecord();
        mDirectory.merge(List.of(own));
        removeSilentNodes();
        byte[] payload = RecordMessageCodec.encode(mDirectory.current().nodes());
        for (String address : targets()) {
            mLinks.send(address, PeerMessage.Channel.MEMBERSHIP, payload);
        }
    }

    /**
     * Adds the records of a message.
     *
     * @param payload encoded records
     * @throws MessageFormatException when the payload is malformed
     */
    public void receive(byte[] payload) throws MessageFormatException {
        List<NodeRecord> records =
                RecordMessageCodec.decode(payload).stream()
                        .filter(record -> !record.node().equals(mLocalNode.name()))
                        .toList();
        synchronized (this) {
            for (NodeRecord record : mDirectory.merge(records)) {
                if (mHeardNanos.put(record.node(), mClock.nanoTime()) == null) {
                    LOGGER.log(
                            Event.NODE_JOINED,
                            record.node(),
                            record.incarnation(),
                            record.peerAddress());
                }
            }
        }
    }

    private NodeRecord createOwnRecord() {
        return new NodeRecord(
                mLocalNode.name(),
                mLocalNode.incarnation(),
                ++mVersion,
                mLocalNode.peerAddress(),
                mLocalNode.region(),
                mLocalNode.availabilityZone(),
                mRevision.getAsLong(),
                mDraining,
                mEndpoints.get());
    }

    private void removeSilentNodes() {
        long now = mClock.nanoTime();
        for (NodeRecord record : mDirectory.current().nodes()) {
            Long heard = mHeardNanos.get(record.node());
            if (heard != null && now - heard > LIFETIME_NANOS) {
                mHeardNanos.remove(record.node());
                mDirectory.remove(record);
                LOGGER.log(Event.NODE_LEFT, record.node(), record.incarnation(), "is not heard of");
            }
        }
    }

    private Set<String> targets() {
        Set<String> targets = new HashSet<>(mSeeds);
        mDirectory.current().nodes().forEach(record -> targets.add(record.peerAddress()));
        targets.remove(mLocalNode.peerAddress());
        return targets;
    }
}
