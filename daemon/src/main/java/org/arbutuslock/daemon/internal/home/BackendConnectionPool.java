package org.arbutuslock.daemon.internal.home;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Result;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.logging.LogRateLimiter;

/** Reuses idle connections to one backend server. Confined to one event loop. */
final class BackendConnectionPool {
    private static final EventLogger LOGGER = EventLogger.forComponent("home");
    private static final int REPETITION_LINES_PER_SECOND = 10;
    private static final LogRateLimiter REPETITION_LINE_LIMIT =
            new LogRateLimiter(REPETITION_LINES_PER_SECOND);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAXIMUM_IDLE_CONNECTIONS = 64;
    private static final long IDLE_LIMIT_NANOS = Duration.ofSeconds(30).toNanos();
    // A backend server may close an idle connection while a request is being written. The outcome
    // of a non-idempotent request is then unknown, whereas a new connection costs about 1 ms.
    private static final long NON_IDEMPOTENT_IDLE_LIMIT_NANOS = Duration.ofSeconds(1).toNanos();

    private final RequestDialect mDialect;
    private final EventLoop mEventLoop;
    private final Clock mClock;
    private final InetSocketAddress mAddress;
    private final DroppedResponseLog mDroppedResponses;
    private final Deque<BackendConnection> mIdle = new ArrayDeque<>();
    private long mConnections;

    BackendConnectionPool(
            EventLoop eventLoop, Clock clock, InetSocketAddress address, RequestDialect dialect) {
        mDialect = dialect;
        mEventLoop = eventLoop;
        mClock = clock;
        mAddress = address;
        mDroppedResponses = new DroppedResponseLog(clock, dialect);
    }

    /**
     * Acquires an idle connection or opens a new one.
     *
     * @param request request that is sent next; if it is not idempotent, only a connection that was
     *     idle for less than 1 s is reused
     * @param receiver gets the connection or the connect error on the event loop
     */
    void acquire(ExecutionRequest request, Consumer<Result<BackendConnection>> receiver) {
        BackendConnection idle = takeIdle(request);
        if (idle != null) {
            receiver.accept(Result.success(idle));
            return;
        }
        BackendConnection connection =
                new BackendConnection(mDialect, ++mConnections, mDroppedResponses);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mEventLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(connection.handlers());
                                    }
                                })
                        .connect(mAddress);
        connecting.addListener(
                connected -> {
                    if (connected.isSuccess()) {
                        receiver.accept(Result.success(connection));
                    } else {
                        receiver.accept(
                                Result.failed(
                                        "connect to backend server",
                                        mAddress.toString(),
                                        String.valueOf(connected.cause().getMessage())));
                    }
                });
    }

    /**
     * Returns a connection to the pool, or closes it when it is not reusable or the pool is full.
     */
    void release(BackendConnection connection) {
        if (!connection.isReusable() || mIdle.size() >= MAXIMUM_IDLE_CONNECTIONS) {
            connection.abort();
            return;
        }
        connection.markIdle(mClock.nanoTime());
        mIdle.push(connection);
    }

    /** Closes all idle connections. */
    void close() {
        mIdle.forEach(BackendConnection::abort);
        mIdle.clear();
    }

    private BackendConnection takeIdle(ExecutionRequest request) {
        long limit = request.idempotent() ? IDLE_LIMIT_NANOS : NON_IDEMPOTENT_IDLE_LIMIT_NANOS;
        int ambiguous = 0;
        BackendConnection found = null;
        for (Iterator<BackendConnection> idle = mIdle.iterator();
                idle.hasNext() && found == null; ) {
            BackendConnection connection = idle.next();
            boolean fresh = mClock.nanoTime() - connection.idleSinceNanos() < limit;
            if (!fresh || !connection.isOpen()) {
                idle.remove();
                connection.abort();
            } else if (connection.isUnambiguousFor(request)) {
                idle.remove();
                found = connection;
            } else {
                ambiguous++;
            }
        }
        if (ambiguous > 0) {
            logRepetition(request, ambiguous);
        }
        return found;
    }

    private void logRepetition(ExecutionRequest request, int connections) {
        long leftOut = REPETITION_LINE_LIMIT.tryAcquire(mClock.nanoTime());
        if (leftOut != LogRateLimiter.SUPPRESSED) {
            LOGGER.log(
                    Event.BACKEND_REQUEST_REPEATED,
                    mDialect.requestName(request.headers()),
                    request.endpoint(),
                    connections,
                    leftOut);
        }
    }
}
