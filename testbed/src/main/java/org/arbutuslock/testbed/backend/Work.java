package org.arbutuslock.testbed.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Processes one request: takes a slot for its service time and then sends the response, with the
 * fault that was selected at the start. Confined to the event loop of the server.
 */
final class Work {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long CHUNK_INTERVAL_MILLIS = 10;
    private static final double MILLIS_PER_SECOND = 1000;

    private final BackendState mState;
    private final Channel mChannel;
    private final WorkRequest mRequest;
    private final Runnable mOnResponse;
    private BackendFaults.Kind mFault;
    private double mFactor;
    private Future<?> mTimer;
    private boolean mStarted;
    private boolean mEnded;
    private byte[] mHead;
    private int mBodyBytes;
    private int mSentBytes;

    /**
     * Creates work that has not started.
     *
     * @param onResponse runs on the event loop after the end of a complete response was written;
     *     does not run for a cancelled or truncated response
     */
    Work(BackendState state, Channel channel, WorkRequest request, Runnable onResponse) {
        mState = state;
        mChannel = channel;
        mRequest = request;
        mOnResponse = onResponse;
    }

    void start() {
        mStarted = true;
        mState.executions().add(mRequest.requestId(), mRequest.token());
        BackendFaults faults = mState.activeFaults();
        mFault = faults.select(mState.draw());
        mFactor = faults.slowFactor() * mState.coldStartFactor();
        if (mFault == BackendFaults.Kind.HANG) {
            return;
        }
        double nanos = mState.settings().times().shortMillis() * mFactor * NANOS_PER_MILLI;
        schedule(this::respond, (long) nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Stops this work because its connection has closed. Releases its slot, or removes it from the
     * queue if it has not started. Does nothing when the work has ended.
     */
    void cancel() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mState.countCancelled();
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        if (mStarted) {
            mState.queue().releaseSlot();
        } else {
            mState.queue().remove(this);
        }
    }

    private void respond() {
        switch (mFault) {
            case ERROR -> {
                mHead = "internal error\n".getBytes(StandardCharsets.UTF_8);
                mBodyBytes = mHead.length;
                sendHead(HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
            case WRONG_BODY -> {
                mHead = EchoBody.head("GET", "/wrong-body", new byte[0]);
                mBodyBytes = mHead.length;
                sendHead(HttpResponseStatus.OK);
            }
            case NONE, TRUNCATE, HANG -> {
                mHead = EchoBody.head(mRequest.method(), mRequest.uri(), mRequest.body());
                mBodyBytes =
                        mRequest.isLong()
                                ? Math.max(mHead.length, mState.settings().times().longBodyBytes())
                                : mHead.length;
                sendHead(HttpResponseStatus.OK);
            }
        }
        sendBody();
    }

    private void sendHead(HttpResponseStatus status) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers()
                .set("content-length", mBodyBytes)
                .set("content-type", "application/octet-stream")
                .set("backend-server", mState.settings().name());
        if (!mRequest.requestId().isEmpty()) {
            response.headers().set(WorkRequest.REQUEST_ID_HEADER, mRequest.requestId());
        }
        if (mState.isDraining()) {
            response.headers().set("connection", "close");
        }
        mChannel.write(response);
    }

    private void sendBody() {
        if (mEnded) {
            return;
        }
        int limit = mFault == BackendFaults.Kind.TRUNCATE ? mBodyBytes / 2 : mBodyBytes;
        int chunk = Math.min(limit - mSentBytes, mRequest.isLong() ? bytesPerChunk() : limit);
        if (mChannel.isWritable() && chunk > 0) {
            ByteBuf content = nextChunk(chunk);
            if (mSentBytes == mBodyBytes) {
                mChannel.writeAndFlush(new DefaultLastHttpContent(content));
                end();
                mOnResponse.run();
                return;
            }
            mChannel.writeAndFlush(new DefaultHttpContent(content));
        }
        if (mSentBytes >= limit) {
            end();
            mChannel.close();
            return;
        }
        schedule(this::sendBody, CHUNK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private int bytesPerChunk() {
        double perSecond = mState.settings().times().longBytesPerSecond() / mFactor;
        return (int) Math.max(1, perSecond * CHUNK_INTERVAL_MILLIS / MILLIS_PER_SECOND);
    }

    private ByteBuf nextChunk(int bytes) {
        byte[] content = new byte[bytes];
        for (int index = 0; index < bytes; index++) {
            int position = mSentBytes + index;
            content[index] =
                    position < mHead.length ? mHead[position] : EchoBody.patternAt(position);
        }
        mSentBytes += bytes;
        return Unpooled.wrappedBuffer(content);
    }

    private void end() {
        mEnded = true;
        mState.queue().releaseSlot();
    }

    private void schedule(Runnable step, long delay, TimeUnit unit) {
        mTimer = mChannel.eventLoop().schedule(step, delay, unit);
    }
}
