package org.arbutuslock.daemon.internal.callers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * Writes the response of one request to the connection of its caller. Writes nothing after the
 * response ended or was discarded. Confined to the event loop of the connection.
 */
final class ChannelResponseWriter implements ResponseWriter {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    // A caller that does not read must not keep its connection.
    private static final long ABORT_MILLIS = 5_000;

    private final ChannelHandlerContext mContext;
    private final CallerServer mServer;
    private final Listener mListener;
    private final boolean mHeadRequest;
    private final Queue<Runnable> mPendingCallbacks = new ArrayDeque<>();
    private boolean mClosesConnection;
    private boolean mStarted;
    private boolean mEnded;

    /**
     * Creates a writer.
     *
     * @param context context of the last handler of the connection
     * @param server is told when the response is completely written
     * @param listener decides whether the connection closes, and is told of the end
     * @param headRequest true when the response has no body because the method is HEAD
     */
    ChannelResponseWriter(
            ChannelHandlerContext context,
            CallerServer server,
            Listener listener,
            boolean headRequest) {
        mContext = context;
        mServer = server;
        mListener = listener;
        mHeadRequest = headRequest;
    }

    @Override
    public void sendComplete(BufferedResponse response) {
        if (mEnded) {
            return;
        }
        DefaultFullHttpResponse message =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(response.status()),
                        Unpooled.wrappedBuffer(response.body()));
        addHeaders(message, response.headers());
        boolean bodyAllowed = response.status() != NO_CONTENT && response.status() != NOT_MODIFIED;
        if (bodyAllowed && !mHeadRequest) {
            HttpUtil.setContentLength(message, response.body().length);
        }
        mEnded = true;
        end(mContext.writeAndFlush(message));
    }

    @Override
    public void start(int status, List<HeaderField> headers) {
        if (mEnded) {
            return;
        }
        mStarted = true;
        HttpResponse message =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        addHeaders(message, headers);
        if (!HttpUtil.isContentLengthSet(message)) {
            HttpUtil.setTransferEncodingChunked(message, true);
        }
        mContext.write(message, mContext.voidPromise());
    }

    private void addHeaders(HttpMessage message, List<HeaderField> headers) {
        for (HeaderField field : headers) {
            message.headers().add(field.name(), field.value());
        }
        mClosesConnection = mListener.closesConnection();
        if (mClosesConnection) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    @Override
    public void sendPart(byte[] data, boolean last, Runnable sent) {
        if (mEnded) {
            return;
        }
        ByteBuf buffer = Unpooled.wrappedBuffer(data);
        HttpContent content =
                last ? new DefaultLastHttpContent(buffer) : new DefaultHttpContent(buffer);
        if (last) {
            mEnded = true;
            end(mContext.writeAndFlush(content));
            return;
        }
        mContext.writeAndFlush(content, mContext.voidPromise());
        if (mContext.channel().isWritable()) {
            sent.run();
        } else {
            mPendingCallbacks.add(sent);
        }
    }

    /** Runs the callbacks of written parts while the connection can take more data. */
    void runCallbacksWhileWritable() {
        while (mContext.channel().isWritable() && !mPendingCallbacks.isEmpty()) {
            mPendingCallbacks.remove().run();
        }
    }

    /** Returns whether the head is written and the end of the response is not. */
    boolean isUnfinished() {
        return mStarted && !mEnded;
    }

    @Override
    public void abort() {
        if (!mEnded) {
            discard();
            // The caller may not have received the earlier responses of the connection yet.
            mContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(new LingeringClose());
            mContext.channel()
                    .eventLoop()
                    .schedule(() -> mContext.close(), ABORT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the response without writing any more of it. */
    void discard() {
        if (!mEnded) {
            mEnded = true;
            mServer.requestFinished();
        }
    }

    private void end(ChannelFuture written) {
        // A request is in progress until the whole response is written to the connection.
        written.addListener(done -> mServer.requestFinished());
        if (mClosesConnection) {
            written.addListener(new LingeringClose());
        }
        mListener.responseEnded();
    }

    /** Belongs to the request whose response is written. */
    interface Listener {
        /** Called before the head is written; returns whether the connection closes afterwards. */
        boolean closesConnection();

        /** Called when the last part of the response was passed to the connection. */
        void responseEnded();
    }
}
