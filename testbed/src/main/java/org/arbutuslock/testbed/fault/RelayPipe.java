package org.arbutuslock.testbed.fault;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Forwards the frames of one connection in one direction. Confined to the event loop that both
 * channels share.
 */
final class RelayPipe extends ChannelInboundHandlerAdapter {
    // While this many bytes wait, the source is not read, so that its sender is blocked as by a
    // full
    // socket buffer.
    private static final long MAXIMUM_HELD_BYTES = 4L << 20;

    private record Item(ByteBuf frame, long dueNanos) {}

    private final FaultRelay mRelay;
    private final RelayConnection mConnection;
    private final RelayDirection mDirection;
    private final ArrayDeque<Item> mItems = new ArrayDeque<>();
    private Channel mSource;
    private Channel mTarget;
    private long mHeldBytes;
    private boolean mEnded;
    private boolean mSilent;

    RelayPipe(FaultRelay relay, RelayConnection connection, RelayDirection direction) {
        mRelay = relay;
        mConnection = connection;
        mDirection = direction;
    }

    void connect(Channel source, Channel target) {
        mSource = source;
        mTarget = target;
    }

    /** Discards all waiting and all further frames. Does not close a channel. */
    void silence() {
        mSilent = true;
        discard();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf frame = (ByteBuf) message;
        if (mSilent) {
            frame.release();
            return;
        }
        long delay = mRelay.faults().delay().toNanos();
        mHeldBytes += frame.readableBytes();
        mItems.add(new Item(frame, System.nanoTime() + delay));
        mSource.config().setAutoRead(mHeldBytes < MAXIMUM_HELD_BYTES);
        drain();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mEnded = true;
        drain();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mConnection.drain();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /**
     * Forwards the waiting frames that are due, as long as the target is writable. Does nothing
     * while this direction is held back. Closes the target after the last frame once the source is
     * closed.
     */
    void drain() {
        if (mSilent || mTarget == null || mRelay.faults().held().contains(mDirection)) {
            return;
        }
        while (!mItems.isEmpty() && mTarget.isWritable()) {
            long remaining = mItems.peek().dueNanos() - System.nanoTime();
            if (remaining > 0) {
                mTarget.eventLoop().schedule(this::drain, remaining, TimeUnit.NANOSECONDS);
                return;
            }
            forward(mItems.poll().frame());
        }
        if (mEnded && mItems.isEmpty()) {
            mTarget.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void forward(ByteBuf frame) {
        mHeldBytes -= frame.readableBytes();
        mSource.config().setAutoRead(mHeldBytes < MAXIMUM_HELD_BYTES);
        switch (mRelay.drawEffect()) {
            case FORWARD -> mTarget.writeAndFlush(frame, mTarget.voidPromise());
            case DUPLICATE -> {
                mTarget.write(frame.retainedDuplicate(), mTarget.voidPromise());
                mTarget.writeAndFlush(frame, mTarget.voidPromise());
            }
            case CUT -> {
                ByteBuf part = frame.readRetainedSlice(frame.readableBytes() / 2);
                frame.release();
                mTarget.writeAndFlush(part).addListener(written -> mConnection.reset());
            }
        }
    }

    void discard() {
        mItems.forEach(item -> item.frame().release());
        mItems.clear();
        mHeldBytes = 0;
    }
}
