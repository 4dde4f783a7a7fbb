package org.arbutuslock.daemon.internal.sessions;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.arbutuslock.internal.messages.PeerMessage;

/**
 * Interleaves the response bodies of many streams on one connection, one part per stream in
 * round-robin order, so that a long body delays a short one by at most one part per stream.
 * Confined to the event loop of its channel.
 */
final class BodyScheduler {
    private final Channel mChannel;
    private final Map<Long, Queue<PeerMessage.ResponseBody>> mPending = new HashMap<>();
    private final Queue<Long> mRoundRobin = new ArrayDeque<>();
    private volatile boolean mHasPending;

    BodyScheduler(Channel channel) {
        mChannel = channel;
    }

    /** Tells whether parts are queued because the channel is not writable. Any thread. */
    boolean hasPending() {
        return mHasPending;
    }

    /** Queues one part, then writes queued parts while the channel is writable. */
    void add(PeerMessage.ResponseBody part) {
        Queue<PeerMessage.ResponseBody> parts = mPending.get(part.stream());
        if (parts == null) {
            parts = new ArrayDeque<>();
            mPending.put(part.stream(), parts);
            mRoundRobin.add(part.stream());
        }
        parts.add(part);
        writeWhilePossible();
    }

    /** Discards the queued parts of a stream whose response will not be completed. */
    void drop(long stream) {
        if (mPending.remove(stream) != null) {
            mRoundRobin.remove(stream);
            mHasPending = !mRoundRobin.isEmpty();
        }
    }

    /** Writes queued parts in round-robin order until the channel's write buffer is full. */
    void writeWhilePossible() {
        boolean written = false;
        while (!mRoundRobin.isEmpty() && mChannel.isWritable()) {
            writeOnePart(mRoundRobin.remove());
            written = true;
        }
        if (written) {
            mChannel.flush();
        }
        if (mHasPending != !mRoundRobin.isEmpty()) {
            mHasPending = !mRoundRobin.isEmpty();
        }
    }

    private void writeOnePart(long stream) {
        Queue<PeerMessage.ResponseBody> parts = mPending.get(stream);
        mChannel.write(parts.remove(), mChannel.voidPromise());
        if (parts.isEmpty()) {
            mPending.remove(stream);
        } else {
            mRoundRobin.add(stream);
        }
    }
}
