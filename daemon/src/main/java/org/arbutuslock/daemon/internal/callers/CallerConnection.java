package org.arbutuslock.daemon.internal.callers;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Optional;
import org.arbutuslock.daemon.internal.callers.RequestPreparer.MalformedRequest;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Handles one connection of a caller. A {@link RequestPipeline} decides in which order its requests
 * start; their responses keep the order of the requests.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final EventLogger LOGGER = EventLogger.forComponent("callers");
    private static final int MAXIMUM_REQUESTS_IN_PROGRESS = 16;
    private static final int MAXIMUM_WAITING_REQUESTS = 16;
    private static final int MAXIMUM_HELD_RESPONSE_BYTES = 256 * 1024;

    private final CallerServer mServer;
    private final EntryServices mServices;
    private final HeldBytes mHeldBytes = new HeldBytes(MAXIMUM_HELD_RESPONSE_BYTES);
    private final RequestPipeline<ConnectionRequest> mPipeline;
    private ChannelHandlerContext mContext;
    private boolean mClosedByResponse;

    /**
     * Creates the handler of a connection.
     *
     * @param server server that accepted the connection
     * @param services components that handle the requests
     * @param maximumBodyBytes maximum size of a request body, in bytes; no more is read while
     *     requests with this total size wait to start
     */
    CallerConnection(CallerServer server, EntryServices services, int maximumBodyBytes) {
        mServer = server;
        mServices = services;
        mPipeline =
                new RequestPipeline<>(
                        MAXIMUM_REQUESTS_IN_PROGRESS,
                        MAXIMUM_WAITING_REQUESTS,
                        maximumBodyBytes,
                        mHeldBytes,
                        server.overtakingLimit());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
        add(message.retain(), mServer.preparer().findFault(message));
    }

    private void add(FullHttpRequest message, Optional<MalformedRequest> fault) {
        ConnectionRequest request = new ConnectionRequest(mServer, mServices, this, message, fault);
        if (!mPipeline.isRejecting()) {
            fault.ifPresent(this::logFault);
        }
        boolean last = request.isLastOfConnection();
        mPipeline.add(request);
        if (last) {
            mPipeline.rejectFurther();
        }
        updateReading();
    }

    private void logFault(MalformedRequest fault) {
        LOGGER.log(
                Event.CALLER_REQUEST_MALFORMED, mContext.channel().remoteAddress(), fault.reason());
    }

    /**
     * Reads further requests, or leaves them in the connection for now. Must be called on the event
     * loop of the connection.
     */
    void updateReading() {
        mContext.channel().config().setAutoRead(mPipeline.canRead() && !waitsForResponse());
    }

    /**
     * Returns whether a request that is read now could remain without a response: the node is
     * shutting down, and a response whose head has not announced the end of the connection may be
     * broken off before it ends. A request that was not read may be sent again by its caller.
     */
    private boolean waitsForResponse() {
        return mServer.isDraining()
                && !mPipeline.isRejecting()
                && mPipeline.started().stream().anyMatch(ConnectionRequest::isResponseUnfinished);
    }

    /**
     * Closes the connection now, or after the responses of the requests that were read. Must be
     * called on the event loop of the connection.
     */
    void closeWhenIdle() {
        mPipeline.rejectFurther();
        closeIfRejecting();
    }

    /** Closes a connection that takes no more requests, unless its last response does that. */
    private void closeIfRejecting() {
        if (mPipeline.isRejecting() && mPipeline.isEmpty() && !mClosedByResponse) {
            closeAfterWrites();
        }
    }

    /**
     * Withdraws the requests that no backend server has got yet. Must be called on the event loop
     * of the connection.
     */
    void withdrawRequests() {
        mPipeline.started().forEach(ConnectionRequest::withdrawForShutdown);
    }

    /**
     * Answers the requests in progress with their currently known outcomes. Must be called on the
     * event loop of the connection.
     */
    void abortRequests() {
        mPipeline.started().forEach(ConnectionRequest::abortForShutdown);
    }

    /**
     * Closes the connection after all earlier writes. A slow caller may not have received them yet.
     */
    private void closeAfterWrites() {
        mContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    ChannelHandlerContext context() {
        return mContext;
    }

    HeldBytes heldBytes() {
        return mHeldBytes;
    }

    /** Returns whether requests that were read have no complete response yet. */
    boolean hasRequests() {
        return !mPipeline.isEmpty();
    }

    /** Returns whether the shutdown of the node makes this response the last of the connection. */
    boolean closesAfter(ConnectionRequest request) {
        return mServer.isDraining() && mPipeline.isLast(request);
    }

    /** Cancels or drops the requests behind one whose response closes the connection. */
    void closeBehind(ConnectionRequest request) {
        mClosedByResponse = true;
        mPipeline.closeBehind(request);
    }

    /** Continues with the next request after the response of {@code request} has ended. */
    void finish(ConnectionRequest request) {
        mPipeline.finish(request);
        closeIfRejecting();
        updateReading();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPipeline.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mPipeline.started().stream().findFirst().ifPresent(ConnectionRequest::connectionWritable);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        switch (event) {
            case IdleStateEvent idle when mPipeline.isEmpty() -> context.close();
            case HeadTimeout.Expired expired -> rejectIncompleteHead(expired);
            default -> {}
        }
    }

    /** Answers a request whose head is incomplete, behind the responses of earlier requests. */
    private void rejectIncompleteHead(HeadTimeout.Expired expired) {
        String reason = "no complete request head within " + expired.limit().toMillis() + " ms";
        add(
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER),
                Optional.of(new MalformedRequest(TextResponses.REQUEST_TIMEOUT, reason)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.log(
                Event.CALLER_CONNECTION_FAILED,
                context.channel().remoteAddress(),
                cause.getMessage());
        context.close();
    }
}
