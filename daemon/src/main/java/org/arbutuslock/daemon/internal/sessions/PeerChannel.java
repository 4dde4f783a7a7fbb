package org.arbutuslock.daemon.internal.sessions;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.logging.LogRateLimiter;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageSubject;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.messages.PeerMessageCodec;
import org.arbutuslock.internal.selection.ZoneDistance;

/**
 * Base class of both ends of a session: framing, heartbeats, errors and interleaved sending.
 * Confined to the event loop of its channel, except the methods that say "Any thread".
 */
abstract class PeerChannel extends SimpleChannelInboundHandler<PeerMessage> {
    static final int LOWEST_VERSION = 1;
    static final int HIGHEST_VERSION = PeerMessage.ROUTE_VERSION;

    // Gossip contacts random nodes. Without this limit a node would keep a session to every node of
    // the fleet, and the heartbeats would exceed the control bandwidth of a node.
    private static final long IDLE_LIMIT_NANOS = Duration.ofSeconds(30).toNanos();

    private static final EventLogger LOGGER = EventLogger.forComponent("sessions");
    private static final LogRateLimiter DROPPED_LINE_LIMIT = new LogRateLimiter(20);

    private final Clock mClock;
    private final SessionCounts mCounts;
    private volatile Channel mChannel;
    private BodyScheduler mBodyScheduler;
    private Heartbeats mHeartbeats;
    private Future<?> mNextTick;
    private long mHeartbeatNumber;
    private long mLastUsedNanos;
    private boolean mScheduledAsBusy;
    // The farthest distance until the handshake tells where the other node is.
    private ZoneDistance mDistance = ZoneDistance.OTHER_REGION;
    private String mCloseReason = "closed by the other node";

    PeerChannel(Clock clock, SessionCounts counts) {
        mClock = clock;
        mCounts = counts;
    }

    /** Adds framing and this handler to a new channel. */
    final void install(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        PeerMessageCodec.MAXIMUM_MESSAGE_BYTES,
                        0,
                        Integer.BYTES,
                        0,
                        Integer.BYTES));
        pipeline.addLast(new PeerMessageDecoder());
        pipeline.addLast(new PeerMessageEncoder(this::countSent, this::rejected));
        pipeline.addLast(this);
    }

    private void countSent(PeerMessage message, int bytes) {
        mCounts.sentBytes().add(message, mDistance, bytes);
    }

    /** Records where the other node is, as the handshake tells. Called on the event loop. */
    final void setPeerLocation(LocalNode localNode, String region, String availabilityZone) {
        mDistance = localNode.distanceTo(region, availabilityZone);
    }

    /** Handles one message other than heartbeats and their replies, on the event loop. */
    abstract void handle(PeerMessage message);

    /**
     * Ends the exchange that a message was about which could not be read. The message has had no
     * effect. Called on the event loop.
     */
    abstract void handleUnreadable(MessageSubject subject, String problem);

    /**
     * Ends the exchange of a message whose handling failed. The message may have had an effect.
     * Called on the event loop.
     */
    abstract void handleFailure(MessageSubject subject, String problem);

    /** Ends the exchange of a message that was not sent. Called on the event loop. */
    abstract void handleUnsent(PeerMessage message, String problem);

    /** Handles the end of the session. Called once, on the event loop. */
    abstract void closed(String reason);

    /**
     * Tells whether requests, queries or the handshake are in progress. Called on the event loop.
     */
    abstract boolean isBusy();

    /** Tells whether this end closes the session when it was idle for 30 s. */
    abstract boolean closesWhenIdle();

    /** Called on the event loop when the reply to a heartbeat is late. */
    abstract void handleSuspicion();

    /** Describes a gap between body parts, which TCP never causes since it preserves the order. */
    static String describeGap(long stream, long position, long expected) {
        return "stream "
                + stream
                + ": body part starts at byte "
                + position
                + ", allowed "
                + expected;
    }

    /** Returns the name of the other node for logs, or its address before the handshake. */
    abstract String peerName();

    final Channel channel() {
        return mChannel;
    }

    /** Sends a message; response body parts are interleaved with other streams. Any thread. */
    final void send(PeerMessage message) {
        Channel channel = mChannel;
        if (channel.eventLoop().inEventLoop()) {
            sendNow(message);
        } else {
            channel.eventLoop().execute(() -> sendNow(message));
        }
    }

    private void sendNow(PeerMessage message) {
        if (!(message instanceof PeerMessage.Heartbeat)
                && !(message instanceof PeerMessage.HeartbeatReply)) {
            mLastUsedNanos = mClock.nanoTime();
        }
        switch (message) {
            case PeerMessage.ResponseBody part -> mBodyScheduler.add(part);
            case PeerMessage.OutcomeUnknown unknown -> {
                mBodyScheduler.drop(unknown.stream());
                mChannel.writeAndFlush(message, mChannel.voidPromise());
            }
            default -> mChannel.writeAndFlush(message, mChannel.voidPromise());
        }
    }

    /** Tells whether messages are not yet written to the connection. Any thread. */
    final boolean hasPendingWrites() {
        Channel channel = mChannel;
        if (channel == null) {
            return false;
        }
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return mBodyScheduler.hasPending() || buffer != null && buffer.totalPendingWriteBytes() > 0;
    }

    final void dropBody(long stream) {
        mBodyScheduler.drop(stream);
    }

    /** Closes the session; the reason is logged. Any thread. */
    final void close(String reason) {
        Channel channel = mChannel;
        if (!channel.eventLoop().inEventLoop()) {
            channel.eventLoop().execute(() -> close(reason));
            return;
        }
        mCloseReason = reason;
        channel.close();
    }

    /** Sends a last message, then closes the session; the reason is logged. */
    final void closeAfter(PeerMessage message, String reason) {
        mCloseReason = reason;
        mChannel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mBodyScheduler = new BodyScheduler(context.channel());
        mChannel = context.channel();
        mCounts.addOpen();
        mHeartbeats = new Heartbeats(mClock.nanoTime());
        mLastUsedNanos = mClock.nanoTime();
        scheduleTick();
        opened();
    }

    /** Called when the connection is open, on the event loop. */
    void opened() {}

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mNextTick != null) {
            mNextTick.cancel(false);
            mCounts.removeOpen();
        }
        LOGGER.log(Event.SESSION_CLOSED, peerName(), mCloseReason);
        closed(mCloseReason);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mBodyScheduler != null) {
            mBodyScheduler.writeWhilePossible();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
        mHeartbeats.received(mClock.nanoTime());
        switch (message) {
            case PeerMessage.Heartbeat(long number) -> send(new PeerMessage.HeartbeatReply(number));
            case PeerMessage.HeartbeatReply reply -> {}
            default -> {
                mLastUsedNanos = mClock.nanoTime();
                handleSafely(message);
            }
        }
    }

    private void handleSafely(PeerMessage message) {
        try {
            handle(message);
        } catch (RuntimeException failure) {
            MessageSubject subject = MessageSubject.of(message);
            logDropped(subject, "handling it failed: " + failure);
            handleFailure(subject, "the node failed to handle a message of the request");
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event
                instanceof PeerMessageDecoder.Unreadable(MessageSubject subject, String problem)) {
            mHeartbeats.received(mClock.nanoTime());
            logDropped(subject, problem);
            handleUnreadable(subject, problem);
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    private void logDropped(MessageSubject subject, String problem) {
        long leftOut = DROPPED_LINE_LIMIT.tryAcquire(mClock.nanoTime());
        if (leftOut != LogRateLimiter.SUPPRESSED) {
            LOGGER.log(Event.PEER_MESSAGE_DROPPED, peerName(), subject, problem, leftOut);
        }
    }

    private void rejected(PeerMessage message, String problem) {
        long leftOut = DROPPED_LINE_LIMIT.tryAcquire(mClock.nanoTime());
        if (leftOut != LogRateLimiter.SUPPRESSED) {
            LOGGER.log(
                    Event.PEER_MESSAGE_NOT_SENT,
                    peerName(),
                    MessageSubject.of(message),
                    problem,
                    leftOut);
        }
        handleUnsent(message, problem);
    }

    /** Passes a message to its plug-in; a message that the plug-in cannot read is dropped. */
    final void dispatch(ChannelMessageDispatcher dispatcher, PeerMessage.ChannelMessage message) {
        try {
            dispatcher.dispatch(peerName(), message, this::send);
        } catch (MessageFormatException malformed) {
            logDropped(
                    MessageSubject.of(message), message.channel() + ": " + malformed.getMessage());
        }
    }

    /** Closes the session: the connection broke, or the position of the next frame is unknown. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Throwable root = cause.getCause() == null ? cause : cause.getCause();
        LOGGER.log(Event.SESSION_ERROR, peerName(), root.getMessage());
        mCloseReason = String.valueOf(root.getMessage());
        context.close();
    }

    private void scheduleTick() {
        mScheduledAsBusy = isBusy();
        long delay = mHeartbeats.nextTick(mScheduledAsBusy).toMillis();
        mNextTick = mChannel.eventLoop().schedule(this::tick, delay, TimeUnit.MILLISECONDS);
    }

    /** Switches to the short heartbeat interval. Called on the event loop when a request starts. */
    final void becameBusy() {
        if (!mScheduledAsBusy) {
            mNextTick.cancel(false);
            scheduleTick();
        }
    }

    private void tick() {
        tickHeartbeats();
        if (mChannel.isActive()) {
            scheduleTick();
        }
    }

    private void tickHeartbeats() {
        boolean idle = !isBusy() && mClock.nanoTime() - mLastUsedNanos > IDLE_LIMIT_NANOS;
        if (idle && closesWhenIdle()) {
            close("idle for 30 s");
            return;
        }
        switch (mHeartbeats.tick(mClock.nanoTime(), isBusy())) {
            case NOTHING -> {}
            case SEND_HEARTBEAT -> send(new PeerMessage.Heartbeat(mHeartbeatNumber++));
            case OPEN_REPLACEMENT -> handleSuspicion();
            case CLOSE_SESSION -> {
                mCounts.addSilent();
                close("no reply to a heartbeat");
            }
        }
    }
}
