package org.arbutuslock.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Limits the bytes of a connection that bring nothing to their reader. Added in front of an HTTP
 * codec, which by itself skips empty lines, chunk extensions and the rest of a message that was
 * rejected without any limit. Passes a {@link TooLongFrameException} on when the limit is exceeded;
 * the last handler of the connection then closes it. Confined to the event loop of its connection.
 *
 * <pre>{@code
 * channel.pipeline().addFirst(limit);
 * limit.reset(); // when a message is complete
 * limit.allow(16 * bytes); // when a part of a body was used
 * }</pre>
 */
public final class ReceivedBytesLimit extends ChannelInboundHandlerAdapter {
    private final long mMaximumBytes;
    private long mBytesLeft;

    /**
     * Creates a limit of which nothing is used.
     *
     * @param maximumBytes bytes that may be received without {@link #reset} or {@link #allow}
     */
    public ReceivedBytesLimit(long maximumBytes) {
        mMaximumBytes = maximumBytes;
        mBytesLeft = maximumBytes;
    }

    /** Allows the maximum number of bytes again. */
    public void reset() {
        mBytesLeft = mMaximumBytes;
    }

    /**
     * Allows more bytes, up to the maximum.
     *
     * @param bytes bytes that may be received in addition
     */
    public void allow(long bytes) {
        mBytesLeft = Math.min(mMaximumBytes, mBytesLeft + bytes);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mBytesLeft -= ((ByteBuf) message).readableBytes();
        context.fireChannelRead(message);
        // Checked afterwards: the bytes may have completed a message, or ended the connection.
        if (mBytesLeft < 0 && context.channel().isActive()) {
            context.fireExceptionCaught(
                    new TooLongFrameException(
                            "more than " + mMaximumBytes + " bytes that complete no message"));
        }
    }
}
