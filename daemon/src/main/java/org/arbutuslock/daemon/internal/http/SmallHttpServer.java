package org.arbutuslock.daemon.internal.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.arbutuslock.daemon.internal.eventloops.Listeners;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * HTTP server for short requests and responses that are held in memory as a whole.
 *
 * <pre>{@code
 * new SmallHttpServer(eventLoops, address, "metrics", request -> SmallHttpServer.text(200, "ok"));
 * }</pre>
 */
public final class SmallHttpServer {
    private static final EventLogger LOGGER = EventLogger.forComponent("http");
    private static final int MAXIMUM_BODY_BYTES = 64 * 1024;
    // Leaves room for the head and for a body in small chunks.
    private static final int MAXIMUM_REQUEST_BYTES = 4 * MAXIMUM_BODY_BYTES;

    private final Channel mListener;
    private final String mPurpose;
    private final Function<FullHttpRequest, FullHttpResponse> mHandler;

    /**
     * Creates a server and starts to listen. Throws {@link java.io.UncheckedIOException} when the
     * address cannot be bound.
     *
     * @param eventLoops event loops that serve the connections
     * @param address address to listen on; port 0 chooses a free port
     * @param purpose purpose of the server, for log messages
     * @param handler creates the response of a request; runs on an event loop and must not block
     */
    public SmallHttpServer(
            EventLoopGroup eventLoops,
            InetSocketAddress address,
            String purpose,
            Function<FullHttpRequest, FullHttpResponse> handler) {
        mPurpose = purpose;
        mHandler = handler;
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        ReceivedBytesLimit limit =
                                                new ReceivedBytesLimit(MAXIMUM_REQUEST_BYTES);
                                        channel.pipeline()
                                                .addLast(
                                                        limit,
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(
                                                                MAXIMUM_BODY_BYTES),
                                                        new Handler(limit));
                                    }
                                });
        mListener = Listeners.bind(bootstrap, address);
    }

    /**
     * Returns the address on which this server listens.
     *
     * @return address with the port that was bound
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /** Stops accepting connections; open connections stay open. */
    public void close() {
        mListener.close().syncUninterruptibly();
    }

    /**
     * Creates a plain-text response.
     *
     * @param status HTTP status code
     * @param text body, sent as UTF-8
     * @return response with content type and length
     */
    public static FullHttpResponse text(int status, String text) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setContentLength(response, response.content().readableBytes());
        return response;
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final ReceivedBytesLimit mReceivedBytesLimit;

        private Handler(ReceivedBytesLimit receivedBytesLimit) {
            mReceivedBytesLimit = receivedBytesLimit;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            mReceivedBytesLimit.reset();
            boolean malformed = request.decoderResult().isFailure();
            boolean keepAlive = !malformed && HttpUtil.isKeepAlive(request);
            FullHttpResponse response =
                    malformed
                            ? text(
                                    400,
                                    "malformed request: " + request.decoderResult().cause() + "\n")
                            : mHandler.apply(request);
            HttpUtil.setKeepAlive(response, keepAlive);
            ChannelFuture written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.log(
                    Event.SMALL_HTTP_FAILED,
                    mPurpose,
                    context.channel().remoteAddress(),
                    cause.getMessage());
            context.close();
        }
    }
}
