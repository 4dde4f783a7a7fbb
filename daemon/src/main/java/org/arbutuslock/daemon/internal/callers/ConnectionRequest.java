package org.arbutuslock.daemon.internal.callers;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.arbutuslock.daemon.internal.callers.RequestPreparer.MalformedRequest;

/**
 * One request that was read from a caller's connection, until its response is written or it is
 * dropped. Confined to the event loop of the connection.
 */
final class ConnectionRequest implements RequestPipeline.Request, ChannelResponseWriter.Listener {
    private final CallerServer mServer;
    private final EntryServices mServices;
    private final CallerConnection mConnection;
    private final FullHttpRequest mRequest;
    private final Optional<MalformedRequest> mFault;
    private final ChannelResponseWriter mChannelWriter;
    private final OrderedResponseWriter mResponseWriter;
    private final RequestPreparer mPreparer;
    private final long mArrivalNanos;
    private final long mBytes;
    private Optional<PreparedRequest> mPrepared = Optional.empty();
    private Optional<CallerRequest> mCallerRequest = Optional.empty();

    /**
     * Takes over a request that was read just now.
     *
     * @param server counts the requests in progress
     * @param services components that handle the request
     * @param connection connection that the request was read from
     * @param request request that was read; this object releases it
     * @param fault why the request is unacceptable; empty if it is acceptable
     */
    ConnectionRequest(
            CallerServer server,
            EntryServices services,
            CallerConnection connection,
            FullHttpRequest request,
            Optional<MalformedRequest> fault) {
        mServer = server;
        mServices = services;
        mConnection = connection;
        mRequest = request;
        mFault = fault;
        mChannelWriter =
                new ChannelResponseWriter(
                        connection.context(),
                        server,
                        this,
                        request.method().equals(HttpMethod.HEAD));
        mResponseWriter =
                new OrderedResponseWriter(
                        mChannelWriter, connection.heldBytes(), () -> connection.closeBehind(this));
        mPreparer = server.preparer();
        mArrivalNanos = services.clock().nanoTime();
        mBytes = request.content().readableBytes();
    }

    /**
     * Returns whether the connection closes after the response to this request, whatever comes
     * behind it.
     */
    boolean isLastOfConnection() {
        return mFault.isPresent() || !HttpUtil.isKeepAlive(mRequest);
    }

    @Override
    public boolean isRepeatable() {
        if (mFault.isPresent()) {
            return true;
        }
        if (mPrepared.isEmpty()) {
            PreparedRequest prepared = mPreparer.prepare(mRequest, mArrivalNanos);
            if (!prepared.isRepeatable()) {
                // It starts later, with the configuration that is in force then.
                return false;
            }
            mPrepared = Optional.of(prepared);
        }
        return mPrepared.get().isRepeatable();
    }

    @Override
    public long bytes() {
        return mBytes;
    }

    @Override
    public void start() {
        mServer.requestStarted();
        if (mFault.isPresent()) {
            mResponseWriter.sendComplete(mFault.get().toResponse());
        } else {
            startPrepared(mPrepared.orElseGet(() -> mPreparer.prepare(mRequest, mArrivalNanos)));
        }
        mRequest.release();
    }

    private void startPrepared(PreparedRequest prepared) {
        mPrepared = Optional.of(prepared);
        switch (prepared) {
            case PreparedRequest.Answered(var response) -> mResponseWriter.sendComplete(response);
            case PreparedRequest.OutcomeQuery(String reference) ->
                    new OutcomeRequestHandler(mServices, eventLoop(), mResponseWriter)
                            .start(reference);
            case PreparedRequest.Routed(RoutedRequest request) -> {
                CallerRequest callerRequest =
                        new CallerRequest(mServices, eventLoop(), request, mResponseWriter);
                mCallerRequest = Optional.of(callerRequest);
                callerRequest.start();
            }
        }
    }

    private EventLoop eventLoop() {
        return mConnection.context().channel().eventLoop();
    }

    @Override
    public void takeTurn() {
        mResponseWriter.takeTurn();
    }

    /** Withdraws the attempts that wait at a home node, because the node is stopping. */
    void withdrawForShutdown() {
        mCallerRequest.ifPresent(CallerRequest::withdrawForShutdown);
    }

    /** Answers this request with its currently known outcome, because the node is stopping. */
    void abortForShutdown() {
        mCallerRequest.ifPresent(CallerRequest::abortForShutdown);
    }

    @Override
    public void cancel() {
        mChannelWriter.discard();
        mResponseWriter.discard();
        mCallerRequest.ifPresent(CallerRequest::cancel);
    }

    @Override
    public void discard() {
        mRequest.release();
    }

    /** Returns whether the head of the response is written and its end is not. */
    boolean isResponseUnfinished() {
        return mChannelWriter.isUnfinished();
    }

    /** Continues the response after the connection became writable again. */
    void connectionWritable() {
        mChannelWriter.runCallbacksWhileWritable();
    }

    @Override
    public boolean closesConnection() {
        boolean closes = isLastOfConnection() || mConnection.closesAfter(this);
        if (closes) {
            mConnection.closeBehind(this);
        }
        mConnection.updateReading();
        return closes;
    }

    @Override
    public void responseEnded() {
        // Deferred, so that this request has recorded its result before the next one starts.
        eventLoop().execute(() -> mConnection.finish(this));
    }
}
