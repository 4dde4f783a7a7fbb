package org.arbutuslock.daemon.internal.sessions;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.settings.AddressParser;

/**
 * Maintains one usable session to a peer address. Opens the session on demand, opens a replacement
 * as soon as the current session is suspect, and delays attempts after a failure by exponential
 * backoff. Thread safe.
 */
final class PeerLink {
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 64 * 1024);

    private static final EventLogger LOGGER = EventLogger.forComponent("sessions");
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long HELLO_TIMEOUT_MILLIS = 1_000;
    private static final long MINIMUM_RETRY_DELAY_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MAXIMUM_RETRY_DELAY_NANOS = Duration.ofSeconds(2).toNanos();

    private final EventLoopGroup mEventLoops;
    private final LocalNode mLocalNode;
    private final Clock mClock;
    private final SessionCounts mCounts;
    private final String mPeerAddress;
    private final ChannelMessageDispatcher mMessageDispatcher;
    private final AtomicReference<CompletableFuture<ClientSession>> mCurrent =
            new AtomicReference<>();
    private volatile long mRetryNanos;
    private volatile long mRetryDelayNanos = MINIMUM_RETRY_DELAY_NANOS;
    private volatile boolean mRetryDelayed;

    PeerLink(
            EventLoopGroup eventLoops,
            LocalNode localNode,
            Clock clock,
            SessionCounts counts,
            String peerAddress,
            ChannelMessageDispatcher messageDispatcher) {
        mEventLoops = eventLoops;
        mLocalNode = localNode;
        mClock = clock;
        mCounts = counts;
        mPeerAddress = peerAddress;
        mMessageDispatcher = messageDispatcher;
    }

    /**
     * Returns the current session, or opens one when there is none.
     *
     * @return an open session; fails when the connection or the handshake fails, or at once when
     *     the retry delay after a failed attempt has not passed
     */
    CompletableFuture<ClientSession> session() {
        CompletableFuture<ClientSession> current = mCurrent.get();
        if (current != null && isUsable(current)) {
            return current;
        }
        if (mRetryDelayed && mClock.nanoTime() - mRetryNanos < 0) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException(
                            "not connecting to "
                                    + mPeerAddress
                                    + ": the last attempt failed and its retry delay"
                                    + " has not passed"));
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
            current.thenAccept(session -> session.close("this node is shutting down"));
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
                        mMessageDispatcher,
                        () -> replace(opening));
        session.ready()
                .orTimeout(HELLO_TIMEOUT_MILLIS + CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((ready, error) -> finishOpening(opening, session, error));
        Optional<InetSocketAddress> address = AddressParser.parse(mPeerAddress);
        if (address.isEmpty()) {
            // Addresses come from the records and messages of other nodes and can be malformed.
            session.ready()
                    .completeExceptionally(
                            new IllegalArgumentException(
                                    "the address is not an IP address and port"));
            return;
        }
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
                .connect(address.get())
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
            mRetryDelayed = false;
            mRetryDelayNanos = MINIMUM_RETRY_DELAY_NANOS;
            opening.complete(session);
            return;
        }
        mRetryNanos = mClock.nanoTime() + mRetryDelayNanos;
        mRetryDelayNanos = Math.min(MAXIMUM_RETRY_DELAY_NANOS, mRetryDelayNanos * 2);
        mRetryDelayed = true;
        LOGGER.log(Event.SESSION_CONNECT_FAILED, mPeerAddress, error.getMessage());
        if (session.channel() != null) {
            session.close("the handshake did not complete");
        }
        opening.completeExceptionally(error);
    }

    /** Opens a replacement. Requests in progress stay on the suspect session until it closes. */
    private void replace(CompletableFuture<ClientSession> suspect) {
        CompletableFuture<ClientSession> opening = new CompletableFuture<>();
        if (mCurrent.compareAndSet(suspect, opening)) {
            open(opening);
        }
    }
}
