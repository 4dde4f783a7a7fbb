package org.arbutuslock.daemon.internal.callers;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Fires {@link Expired} when the head of a request takes too long, so that slow callers do not
 * occupy connections. Precedes the HTTP codec in the pipeline; the handler that {@link #observer}
 * returns follows it. A head that arrives in one read starts no timer.
 */
final class HeadTimeout extends ChannelInboundHandlerAdapter {
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
        context.fireUserEventTriggered(new Expired(mLimit));
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

    /**
     * The head of a request was not complete in time. The connection cannot be used any more.
     *
     * @param limit maximum time from the first byte of the request to the end of its head
     */
    record Expired(Duration limit) {}

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
