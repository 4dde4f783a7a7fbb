package org.arbutuslock.daemon.internal.sessions;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Keeps one usable session to a peer address. Opens it on demand, opens a replacement as soon as
 * the current one is suspect, and waits between failed attempts.
 */
final class PeerLink {
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 64 * 1024);

    private static final EventLogger LOGGER = EventLogger.forComponent("sessions");
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long HELLO_TIMEOUT_MILLIS = 1_000;
    private static final long SHORTEST_PAUSE_NANOS = Duration.ofMillis(100).toNanos();
    private static final long LONGEST_PAUSE_NANOS = Duration.ofSeconds(2).toNanos();

    private final EventLoopGroup mEventLoops;
    private final LocalNode mLocalNode;
    private final Clock mClock;
    private final SessionCounts mCounts;
    private final String mPeerAddress;
    private final ChannelMessageDispatcher mChannelMessages;
    private final AtomicReference<CompletableFuture<ClientSession>> mCurrent =
            new AtomicReference<>();
    private volatile long mRetryNanos;
    private volatile long mPauseNanos = SHORTEST_PAUSE_NANOS;
    private volatile boolean mPaused;

    PeerLink(
            EventLoopGroup eventLoops,
            LocalNode localNode,
            Clock clock,
            SessionCounts counts,
            String peerAddress,
            ChannelMessageDispatcher channelMessages) {
        mEventLoops = eventLoops;
        mLocalNode = localNode;
        mClock = clock;
        mCounts = counts;
        mPeerAddress = peerAddress;
        mChannelMessages = channelMessages;
    }

    /** Returns an open session, opening one when there is none. */
    CompletableFuture<ClientSession> session() {
        CompletableFuture<ClientSession> current = mCurrent.get();
        if (current != null && isUsable(current)) {
            return current;
        }
        if (mPaused && mClock.nanoTime() - mRetryNanos < 0) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException(
                            "the last attempt to connect to " + mPeerAddress + " failed"));
        }
        CompletableFuture<ClientSession> opening = new CompletableFuture<>();
        if (!mCurrent.compareAndSet(current, opening)) {
            return mCurrent.get();
        }
        open(opening);
        return opening;
    }

    void close() {
        CompletableFuture<ClientSession> current = mCurrent.get();
        if (current != null) {
            current.thenAccept(session -> session.close("this node stops"));
        }
    }

    private static boolean isUsable(CompletableFuture<ClientSession> future) {
        if (!future.isDone()) {
            return true;
        }
        return !future.isCompletedExceptionally() && future.join().isOpen();
    }

    private void open(CompletableFuture<ClientSession> opening) {
        ClientSession session =
                new ClientSession(
                        mLocalNode,
                        mClock,
                        mCounts,
                        mPeerAddress,
                        mChannelMessages,
                        () -> replace(opening));
        session.ready()
                .orTimeout(HELLO_TIMEOUT_MILLIS + CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((ready, error) -> finishOpening(opening, session, error));
        new Bootstrap()
                .group(mEventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                session.install(channel);
                            }
                        })
                .connect(Addresses.parse(mPeerAddress))
                .addListener(
                        connected -> {
                            if (!connected.isSuccess()) {
                                session.ready().completeExceptionally(connected.cause());
                            }
                        });
    }

    private void finishOpening(
            CompletableFuture<ClientSession> opening, ClientSession session, Throwable error) {
        if (error == null) {
            mPaused = false;
            mPauseNanos = SHORTEST_PAUSE_NANOS;
            opening.complete(session);
            return;
        }
        mRetryNanos = mClock.nanoTime() + mPauseNanos;
        mPauseNanos = Math.min(LONGEST_PAUSE_NANOS, mPauseNanos * 2);
        mPaused = true;
        LOGGER.log(Event.SESSION_CONNECT_FAILED, mPeerAddress, error.getMessage());
        if (session.channel() != null) {
            session.close("no hello");
        }
        opening.completeExceptionally(error);
    }

    /** Opens a replacement; requests in progress stay on the suspect session until it is closed. */
    private void replace(CompletableFuture<ClientSession> suspect) {
        CompletableFuture<ClientSession> opening = new CompletableFuture<>();
        if (mCurrent.compareAndSet(suspect, opening)) {
            open(opening);
        }
    }
}
