package org.arbutuslock.testbed.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Pool of connections to one target, confined to one event loop. Requests wait in FIFO order while
 * all connections are busy.
 */
final class TargetPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 5000;

    private final EventLoop mLoop;
    private final InetSocketAddress mTarget;
    private final int mLimit;
    private final BiConsumer<Exchange, LoadSample> mOnFinish;
    private final Deque<LoadConnection> mIdle = new ArrayDeque<>();
    private final Set<LoadConnection> mOpen = new HashSet<>();
    private final Queue<Exchange> mWaiting = new ArrayDeque<>();

    TargetPool(
            EventLoop loop,
            InetSocketAddress target,
            int limit,
            BiConsumer<Exchange, LoadSample> onFinish) {
        mLoop = loop;
        mTarget = target;
        mLimit = limit;
        mOnFinish = onFinish;
    }

    /**
     * Opens all connections, so that the latency of the first requests does not include the connect
     * time.
     *
     * @param onDone runs once each connection is open or has failed
     */
    void openAll(Runnable onDone) {
        int[] remaining = {mLimit};
        for (int index = 0; index < mLimit; index++) {
            open(new LoadConnection(this, mTarget))
                    .addListener(
                            opened -> {
                                remaining[0]--;
                                if (remaining[0] == 0) {
                                    onDone.run();
                                }
                            });
        }
    }

    void submit(Exchange exchange) {
        LoadConnection idle = mIdle.pollLast();
        if (idle != null) {
            idle.send(exchange);
        } else if (mOpen.size() < mLimit) {
            LoadConnection connection = new LoadConnection(this, mTarget);
            connection.assign(exchange);
            open(connection);
        } else {
            mWaiting.add(exchange);
        }
    }

    void release(LoadConnection connection) {
        Exchange next = nextWaiting();
        if (next == null) {
            mIdle.addLast(connection);
        } else {
            connection.send(next);
        }
    }

    void closed(LoadConnection connection) {
        mOpen.remove(connection);
        mIdle.remove(connection);
        Exchange next = nextWaiting();
        if (next != null) {
            // Submits in a separate task, so that no connection is opened within the close
            // callback.
            mLoop.execute(() -> submit(next));
        }
    }

    void finished(
            Exchange exchange, LoadResult result, int status, String outcome, String requestId) {
        if (!exchange.isFinished()) {
            mOnFinish.accept(exchange, exchange.finish(result, status, outcome, requestId));
        }
    }

    void timeOut(Exchange exchange) {
        if (exchange.isFinished()) {
            return;
        }
        finished(exchange, LoadResult.TIMED_OUT, 0, "", "");
        if (exchange.connection() != null) {
            exchange.connection().close();
        }
    }

    void close() {
        Set.copyOf(mOpen).forEach(LoadConnection::close);
    }

    private Exchange nextWaiting() {
        Exchange next = mWaiting.poll();
        while (next != null && next.isFinished()) {
            next = mWaiting.poll();
        }
        return next;
    }

    private ChannelFuture open(LoadConnection connection) {
        mOpen.add(connection);
        return new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline().addLast(new HttpClientCodec(), connection);
                            }
                        })
                .connect(mTarget)
                .addListener(
                        opened -> {
                            if (!opened.isSuccess()) {
                                connection.failToOpen();
                            }
                        });
    }
}
