package org.arbutuslock.daemon.internal.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.arbutuslock.daemon.internal.eventloops.RepeatedTask;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.membership.GossipAction;
import org.arbutuslock.internal.membership.GossipMessage;
import org.arbutuslock.internal.membership.GossipMessageCodec;
import org.arbutuslock.internal.membership.GossipProtocol;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.PeerMessage;

/** Runs the membership protocol on one event loop and executes its actions. */
final class GossipRunner implements FleetContacts {
    private static final EventLogger LOGGER = EventLogger.forComponent("fleet");
    private static final Duration STOP_LIMIT = Duration.ofMillis(500);

    private final GossipProtocol mProtocol;
    private final EventLoop mEventLoop;
    private final PeerLinks mLinks;
    private final FleetDirectory mDirectory;
    private final Supplier<List<EndpointRecord>> mEndpoints;
    private final LongSupplier mRevision;
    private Future<?> mTicks;

    GossipRunner(
            GossipProtocol protocol,
            EventLoop eventLoop,
            PeerLinks links,
            FleetDirectory directory,
            Supplier<List<EndpointRecord>> endpoints,
            LongSupplier revision) {
        mProtocol = protocol;
        mEventLoop = eventLoop;
        mLinks = links;
        mDirectory = directory;
        mEndpoints = endpoints;
        mRevision = revision;
    }

    void start() {
        long interval = GossipProtocol.TICK_INTERVAL.toMillis();
        mTicks =
                mEventLoop.scheduleWithFixedDelay(
                        new RepeatedTask("gossip", this::tick), 0, interval, TimeUnit.MILLISECONDS);
    }

    /** Announces the current endpoints of this host. May be called on any thread. */
    void update() {
        mEventLoop.execute(this::updateNow);
    }

    @Override
    public void contact(String address) {
        mEventLoop.execute(() -> executeActions(mProtocol.contact(address)));
    }

    /** Announces that this node shuts down. May be called on any thread. */
    void drain() {
        mEventLoop.execute(() -> executeActions(mProtocol.drain()));
    }

    /** Handles a message from another node. May be called on any thread. */
    void receive(byte[] payload) throws MessageFormatException {
        GossipMessage message = GossipMessageCodec.decode(payload);
        mEventLoop.execute(() -> executeActions(mProtocol.receive(message)));
    }

    /**
     * Stops the protocol. A node that was drained first announces that it leaves. May be called on
     * any thread; waits at most {@link #STOP_LIMIT} for the announcement, except on the event loop.
     */
    void stop() {
        mTicks.cancel(false);
        Future<?> leave = mEventLoop.submit(this::leaveNow);
        if (!mEventLoop.inEventLoop()) {
            awaitLeave(leave);
        }
    }

    private static void awaitLeave(Future<?> leave) {
        try {
            leave.get(STOP_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException
                | java.util.concurrent.TimeoutException failed) {
            LOGGER.log(Event.LEAVE_NOT_SENT, failed);
        }
    }

    private void leaveNow() {
        // Without a drain, the node failed to start or a test simulates a crash. Other nodes must
        // then detect the failure themselves.
        if (mProtocol.localRecord().draining()) {
            executeActions(mProtocol.leave());
        }
    }

    private void tick() {
        executeActions(mProtocol.tick());
        updateNow();
    }

    private void updateNow() {
        try {
            executeActions(mProtocol.update(mEndpoints.get(), mRevision.getAsLong()));
        } catch (IllegalArgumentException tooLarge) {
            LOGGER.log(Event.RECORD_TOO_LARGE, tooLarge.getMessage());
        }
    }

    private void executeActions(List<GossipAction> actions) {
        mDirectory.apply(actions);
        for (GossipAction action : actions) {
            switch (action) {
                case GossipAction.Send send -> send(send);
                case GossipAction.Joined(NodeRecord record) ->
                        LOGGER.log(
                                Event.NODE_JOINED,
                                record.node(),
                                record.incarnation(),
                                record.peerAddress());
                case GossipAction.Changed changed -> {}
                case GossipAction.Suspected(NodeRecord record) ->
                        LOGGER.log(Event.NODE_SUSPECTED, record.node(), record.incarnation());
                case GossipAction.Left(NodeRecord record) ->
                        LOGGER.log(
                                Event.NODE_LEFT,
                                record.node(),
                                record.incarnation(),
                                record.draining() ? "left after draining" : "does not respond");
                case GossipAction.Resumed(Duration duration) ->
                        LOGGER.log(Event.PROCESS_RESUMED, duration.toMillis());
            }
        }
    }

    private void send(GossipAction.Send send) {
        mLinks.send(send.address(), PeerMessage.Channel.MEMBERSHIP, send.payload());
    }
}
