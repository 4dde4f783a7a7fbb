package org.arbutuslock.daemon.internal.callers;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Answers a request with 408 and closes the connection when its head takes too long, so that slow
 * callers do not occupy connections. Precedes the HTTP codec in the pipeline; the handler that
 * {@link #observer} returns follows it. A head that arrives in one read starts no timer.
 */
final class HeadTimeout extends ChannelInboundHandlerAdapter {
    private static final EventLogger LOGGER = EventLogger.forComponent("callers");

    private final Duration mLimit;
    private boolean mReadingBody;
    private boolean mMessageDecoded;
    private Future<?> mTimer;

    HeadTimeout(Duration limit) {
        mLimit = limit;
    }

    /** Returns the handler that detects when the codec has decoded a head or a whole request. */
    ChannelInboundHandlerAdapter observer() {
        return new Observer();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mMessageDecoded = false;
        context.fireChannelRead(message);
        boolean partOfHead = !mMessageDecoded && !mReadingBody;
        if (partOfHead && mTimer == null && context.channel().isActive()) {
            mTimer =
                    context.executor()
                            .schedule(
                                    () -> expire(context),
                                    mLimit.toMillis(),
                                    TimeUnit.MILLISECONDS);
        }
    }

    private void expire(ChannelHandlerContext context) {
        LOGGER.log(
                Event.CALLER_REQUEST_MALFORMED,
                context.channel().remoteAddress(),
                "no complete request head within " + mLimit.toMillis() + " ms");
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_TIMEOUT);
        HttpUtil.setContentLength(response, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.channel().writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void cancelTimer() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelTimer();
        context.fireChannelInactive();
    }

    private final class Observer extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mMessageDecoded = true;
            if (message instanceof HttpRequest) {
                mReadingBody = true;
                cancelTimer();
            }
            if (message instanceof LastHttpContent) {
                mReadingBody = false;
            }
            context.fireChannelRead(message);
        }
    }
}
