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
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Serves small requests with small text responses.
 *
 * <pre>{@code
 * new SmallHttpServer(eventLoops, address, "metrics", request -> SmallHttpServer.text(200, "ok"));
 * }</pre>
 */
public final class SmallHttpServer {
    private static final EventLogger LOGGER = EventLogger.forComponent("http");
    private static final int MAXIMUM_BODY_BYTES = 64 * 1024;

    private final Channel mListener;
    private final String mPurpose;
    private final Function<FullHttpRequest, FullHttpResponse> mHandler;

    /**
     * Starts to listen.
     *
     * @param eventLoops event loops of the connections
     * @param address IP address and port
     * @param purpose what the server is for, in logs
     * @param handler answers a request; runs on an event loop and must not block
     */
    public SmallHttpServer(
            EventLoopGroup eventLoops,
            InetSocketAddress address,
            String purpose,
            Function<FullHttpRequest, FullHttpResponse> handler) {
        mPurpose = purpose;
        mHandler = handler;
        mListener =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(
                                                                MAXIMUM_BODY_BYTES),
                                                        new Handler());
                                    }
                                })
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
    }

    /**
     * Returns the address at which this server listens.
     *
     * @return address with the actual port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /** Accepts no further connections. */
    public void close() {
        mListener.close().syncUninterruptibly();
    }

    /**
     * Creates a text response.
     *
     * @param status HTTP status code
     * @param text body
     * @return the response
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
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean malformed = request.decoderResult().isFailure();
            boolean keepAlive = !malformed && HttpUtil.isKeepAlive(request);
            FullHttpResponse response =
                    malformed
                            ? text(400, "malformed: " + request.decoderResult().cause() + "\n")
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
