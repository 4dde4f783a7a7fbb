package org.arbutuslock.daemon.internal.home;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.HttpHeaderFields;
import org.arbutuslock.daemon.internal.http.ReceivedBytesLimit;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.dialect.ResponseKind;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * One HTTP/1.1 connection to a backend server. It carries one request at a time and is reused only
 * after a complete response. Confined to its event loop.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MAXIMUM_SENT_NAMES = 1_024;
    private static final int MAXIMUM_INTERIM_RESPONSES = 32;
    private static final int MAXIMUM_SKIPPED_BYTES = 64 * 1024;
    private static final int MAXIMUM_BYTES_OUTSIDE_BODIES = 256 * 1024;
    // A body that comes in chunks of one byte has five bytes beside each byte of the body.
    private static final int ALLOWED_BYTES_PER_BODY_BYTE = 16;

    private final RequestDialect mDialect;
    private final long mNumber;
    private final DroppedResponseLog mDroppedResponses;
    private final BackendResponseDecoder mDecoder = new BackendResponseDecoder(this::checkHeldEnd);
    private final ReceivedBytesLimit mReceivedBytesLimit =
            new ReceivedBytesLimit(MAXIMUM_BYTES_OUTSIDE_BODIES);
    private EndpointId mEndpoint;
    private List<HeaderField> mRequestHeaders = List.of();
    private ResponseKind mResponseKind = ResponseKind.ANSWER;
    private Channel mChannel;
    private Consumer<BackendEvent> mListener;
    private boolean mReusable = true;
    // Set when a response arrived that does not belong to the request in progress.
    private boolean mHasExtraResponses;
    private int mSentRequests;
    private final Set<String> mSentNames = new HashSet<>();
    private boolean mHeadRequest;
    private boolean mInterim;
    private int mInterimResponses;
    private ReceivedBody mBody = new ReceivedBody(this::isOwnHead);
    private String mSeal = "";
    private boolean mFramedByLength;
    private final HeldEnd mHeldEnd = new HeldEnd();
    private long mIdleSinceNanos;

    /**
     * Creates the handler of a connection.
     *
     * @param dialect tells which request a response belongs to
     * @param number number of the connection in the logs
     * @param droppedResponses logs the responses that no request gets
     */
    BackendConnection(RequestDialect dialect, long number, DroppedResponseLog droppedResponses) {
        mDialect = dialect;
        mNumber = number;
        mDroppedResponses = droppedResponses;
    }

    /** Returns the handlers of the connection, from its bytes to this object. Call it once. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {mReceivedBytesLimit, mDecoder, new HttpRequestEncoder(), this};
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    long number() {
        return mNumber;
    }

    /** Returns how many requests were sent on this connection. */
    int sentRequests() {
        return mSentRequests;
    }

    boolean isOpen() {
        return mChannel.isActive();
    }

    boolean isReusable() {
        return mReusable
                && !mHasExtraResponses
                && mSentNames.size() < MAXIMUM_SENT_NAMES
                && mChannel.isActive();
    }

    /**
     * Returns whether a response that names this request would belong to its next sending beyond
     * doubt. It would not if the request was sent on this connection before, because a late copy of
     * the earlier response has the same name.
     */
    boolean isUnambiguousFor(ExecutionRequest request) {
        return !mSentNames.contains(mDialect.requestName(request.headers()));
    }

    long idleSinceNanos() {
        return mIdleSinceNanos;
    }

    void markIdle(long nowNanos) {
        mIdleSinceNanos = nowNanos;
        // The last part of the response may have stopped reading for lack of credit. A close or an
        // extra response must be detected before the next request is sent.
        setReading(true);
    }

    /**
     * Writes a request. The listener gets events until the last {@link BackendEvent.Body}, {@link
     * BackendEvent.NotExecuted} or {@link BackendEvent.Broken}.
     *
     * @param request the request
     * @param remainingMillis time left until its deadline, in milliseconds
     * @param listener called on the event loop
     */
    void send(ExecutionRequest request, long remainingMillis, Consumer<BackendEvent> listener) {
        mListener = listener;
        mReusable = false;
        mSentRequests++;
        mInterim = false;
        mInterimResponses = 0;
        mReceivedBytesLimit.reset();
        mHeadRequest = request.method().equals("HEAD");
        mDecoder.setHeadRequest(mHeadRequest);
        // The last part of the previous response may have stopped reading for lack of credit.
        setReading(true);
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.target(),
                        Unpooled.wrappedBuffer(request.body()));
        for (HeaderField field : request.headers()) {
            message.headers().add(field.name(), field.value());
        }
        mRequestHeaders = request.headers();
        String name = mDialect.requestName(mRequestHeaders);
        if (!name.isEmpty()) {
            mSentNames.add(name);
        }
        mEndpoint = request.endpoint();
        String backendServer = request.endpoint().backendServer();
        for (HeaderField field :
                mDialect.backendHeaders(request.id(), backendServer, remainingMillis)) {
            message.headers().set(field.name(), field.value());
        }
        if (request.body().length > 0 || !HttpMethod.GET.name().equals(request.method())) {
            HttpUtil.setContentLength(message, request.body().length);
        }
        mChannel.writeAndFlush(message, mChannel.voidPromise());
    }

    /** Stops or resumes reading from the backend server. */
    void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    /** Closes the connection; no further event follows. */
    void abort() {
        mHeldEnd.drop();
        mListener = null;
        mReusable = false;
        mChannel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mListener == null) {
            // No request is in progress, so these bytes belong to no response. The position in the
            // byte stream is uncertain and the connection cannot be reused.
            if (message instanceof HttpResponse response) {
                logDropped("IDLE", response);
            }
            abort();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("malformed response: " + message.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse response && !readHead(response)) {
            return;
        }
        if (message instanceof HttpContent content) {
            readBody(content);
        }
    }

    private boolean readHead(HttpResponse response) {
        if (ResponseHeads.isJoined(response)) {
            logDropped("JOINED", response);
            fail("the head contains another status line");
            return false;
        }
        mInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        Optional<String> fault = ResponseHeads.findStatusFault(response);
        if (fault.isPresent()) {
            fail(fault.get());
            return false;
        }
        if (mInterim) {
            if (++mInterimResponses > MAXIMUM_INTERIM_RESPONSES) {
                fail("more than " + MAXIMUM_INTERIM_RESPONSES + " interim responses");
            }
            return false;
        }
        mBody = new ReceivedBody(this::isOwnHead);
        mSeal = mDialect.sealField().map(name -> response.headers().get(name)).orElse("");
        mResponseKind =
                mDialect.classifyResponse(
                        mRequestHeaders,
                        response.status().code(),
                        name -> response.headers().get(name),
                        mSentRequests == 1 && !mHasExtraResponses);
        if (isDropped(mResponseKind)) {
            logDropped(mResponseKind.name(), response);
        }
        switch (mResponseKind) {
            case NOT_GENUINE -> fail("the response does not come from the backend server");
            case UNIDENTIFIED -> fail("nothing shows that the response belongs to the request");
            // The response to the current request may still follow.
            case OTHER_REQUEST -> mHasExtraResponses = true;
            case NOT_EXECUTED, OTHER_SERVER, ANSWER -> {}
        }
        if (mListener == null) {
            return false;
        }
        boolean delimited =
                mHeadRequest
                        || response.status().code() == 204
                        || response.status().code() == 304
                        || HttpUtil.isContentLengthSet(response)
                        || HttpUtil.isTransferEncodingChunked(response);
        mReusable = delimited && HttpUtil.isKeepAlive(response);
        mFramedByLength =
                HttpUtil.isContentLengthSet(response)
                        && !HttpUtil.isTransferEncodingChunked(response);
        if (mResponseKind != ResponseKind.ANSWER) {
            return true;
        }
        emit(
                new BackendEvent.Head(
                        response.status().code(),
                        HttpHeaderFields.withoutHopByHopFields(
                                response.headers(), mDialect.sealField())));
        return true;
    }

    private static boolean isDropped(ResponseKind kind) {
        return switch (kind) {
            case NOT_GENUINE, UNIDENTIFIED, OTHER_REQUEST -> true;
            case NOT_EXECUTED, OTHER_SERVER, ANSWER -> false;
        };
    }

    private void logDropped(String kind, HttpResponse response) {
        String request = mListener == null ? "" : mDialect.requestName(mRequestHeaders);
        mDroppedResponses.log(mEndpoint, mNumber, mSentRequests, request, kind, response);
    }

    private void readBody(HttpContent content) {
        if (mInterim) {
            // The codec ends an interim response like a final one, with an empty last part.
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (mResponseKind != ResponseKind.ANSWER) {
            skipBody(content, last);
            return;
        }
        if (!last && !content.content().isReadable()) {
            return;
        }
        mReceivedBytesLimit.allow(
                (long) ALLOWED_BYTES_PER_BODY_BYTE * content.content().readableBytes());
        mBody.add(content);
        if (mBody.containsOwnHead()) {
            fail("the body contains a copy of the head of its response");
            return;
        }
        BackendEvent body = new BackendEvent.Body(ByteBufUtil.getBytes(content.content()), last);
        if (last) {
            endBody(body);
        } else {
            emit(body);
        }
    }

    private boolean isOwnHead(List<HeaderField> fields) {
        String name = mDialect.requestName(mRequestHeaders);
        return !name.isEmpty() && name.equals(mDialect.requestName(fields))
                || !mSeal.isEmpty()
                        && mDialect.sealField()
                                .map(field -> HeaderField.find(fields, field))
                                .filter(mSeal::equals)
                                .isPresent();
    }

    private void endBody(BackendEvent last) {
        String following = mDecoder.nextBytes();
        switch (mBody.end(following)) {
            case WHOLE -> emitLast(last);
            case CUT -> failJoinedBody();
            case UNDECIDED -> {
                // In the other framings a body does not end by itself behind a part of a response.
                if (mFramedByLength && mChannel.isActive()) {
                    setReading(true);
                    mHeldEnd.hold(
                            last, following, mChannel.eventLoop(), () -> emitLast(mHeldEnd.take()));
                } else {
                    emitLast(last);
                }
            }
        }
    }

    /** Decides about a held end by bytes that arrive behind it. */
    private void checkHeldEnd(String received) {
        if (!mHeldEnd.isPresent()) {
            return;
        }
        mReusable = false;
        switch (mBody.end(mHeldEnd.addFollowing(received))) {
            case WHOLE -> emitLast(mHeldEnd.take());
            case CUT -> failJoinedBody();
            case UNDECIDED -> {}
        }
    }

    private void failJoinedBody() {
        fail("another response starts in the body and continues behind it");
    }

    /**
     * Discards the body of a response that is not the answer to the request. Such a body may have
     * no end, so the connection closes after a bounded number of bytes. It also closes when the
     * body contains the start of a response, which may be the one to the request: what follows may
     * be a copy of that response with another status.
     */
    private void skipBody(HttpContent content, boolean last) {
        mBody.add(content);
        if (mResponseKind == ResponseKind.OTHER_REQUEST && mBody.containsResponse()) {
            fail("a response to another request contains a status line");
            return;
        }
        boolean tooLong = mBody.bytes() > MAXIMUM_SKIPPED_BYTES;
        if (!last && !tooLong) {
            return;
        }
        if (tooLong) {
            // Before the event, whose receiver may release this connection to the next request.
            mReusable = false;
        }
        ResponseKind kind = mResponseKind;
        mResponseKind = ResponseKind.ANSWER;
        if (kind != ResponseKind.OTHER_REQUEST) {
            emitLast(new BackendEvent.NotExecuted(kind == ResponseKind.OTHER_SERVER));
        }
        if (tooLong) {
            fail("a response to another request is longer than " + MAXIMUM_SKIPPED_BYTES);
        }
    }

    /** Emits the event that ends the request in progress, if there is one. */
    private void emitLast(BackendEvent event) {
        mHeldEnd.drop();
        if (mDecoder.hasMoreBytes()) {
            // They were sent before the next request and are no response to it.
            mReusable = false;
        }
        Consumer<BackendEvent> listener = mListener;
        mListener = null;
        if (listener != null) {
            listener.accept(event);
        }
    }

    private void emit(BackendEvent event) {
        if (mListener != null) {
            mListener.accept(event);
        }
    }

    private void fail(String reason) {
        mReusable = false;
        emitLast(new BackendEvent.Broken(reason));
        mChannel.close();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mListener == null && mDecoder.hasMoreBytes()) {
            // The start of an extra response would be joined with the next response.
            mDroppedResponses.logBytes(mEndpoint, mNumber, mSentRequests);
            abort();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mHeldEnd.isPresent()) {
            emitLast(mHeldEnd.take());
        }
        fail("the backend server closed the connection before the response was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }
}
