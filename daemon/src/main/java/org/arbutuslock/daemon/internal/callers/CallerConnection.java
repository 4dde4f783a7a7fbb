package org.arbutuslock.daemon.internal.callers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ThreadLocalRandom;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.daemon.internal.exchange.HttpHeaderFields;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.routing.RequestMethods;

/**
 * One connection of a caller. Pipelined requests are worked on one after the other, so that their
 * responses keep the order of the requests.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final EventLogger LOGGER = EventLogger.forComponent("callers");
    private static final String TENANT_HEADER = "arbutuslock-tenant";
    private static final String OUTCOME_PATH = "/.arbutuslock/requests/";
    private static final int MAXIMUM_PIPELINED = 16;
    private static final int HTTP_VERSION_NOT_SUPPORTED = 505;

    private final CallerServer mServer;
    private final EntryServices mServices;
    private final Queue<FullHttpRequest> mPipelined = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private Optional<Responder> mCurrent = Optional.empty();
    private boolean mClosing;

    CallerConnection(CallerServer server, EntryServices services) {
        mServer = server;
        mServices = services;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (mCurrent.isPresent()) {
            mPipelined.add(request.retain());
            if (mPipelined.size() >= MAXIMUM_PIPELINED) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        startRequest(request);
    }

    /** Closes the connection now, or after the response of the current request. Event loop only. */
    void closeWhenIdle() {
        mClosing = true;
        if (mCurrent.isEmpty()) {
            closeAfterWrites();
        }
    }

    /** Answers the current request with what is known of it. Event loop only. */
    void endRequest() {
        mCurrent.ifPresent(Responder::endForShutdown);
    }

    /** Closes after what was written before, which a slow caller may not have taken yet. */
    private void closeAfterWrites() {
        mContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    private void startRequest(FullHttpRequest request) {
        mServer.requestStarted();
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        Responder responder = new Responder(keepAlive, request.method().equals(HttpMethod.HEAD));
        mCurrent = Optional.of(responder);
        if (request.decoderResult().isFailure()) {
            rejectMalformed(responder, request.decoderResult().cause());
        } else if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            // RFC 9112, section 3.2: a request without exactly one host is answered with 400.
            int hosts = request.headers().getAll(HttpHeaderNames.HOST).size();
            rejectMalformed(
                    responder, TextResponses.BAD_REQUEST, hosts + " Host fields read, allowed 1");
        } else if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            responder.closeAfterResponse();
            String text = request.protocolVersion() + " read, allowed HTTP/1.1\n";
            responder.sendWhole(TextResponses.create(HTTP_VERSION_NOT_SUPPORTED, text));
        } else if (mServer.isRefusing()) {
            responder.sendWhole(TextResponses.notRun("the node is shutting down"));
        } else if (request.uri().startsWith(OUTCOME_PATH)) {
            new OutcomeRequest(mServices, mContext.channel().eventLoop(), responder)
                    .start(request.uri().substring(OUTCOME_PATH.length()));
        } else {
            route(request, responder);
        }
    }

    private void rejectMalformed(Responder responder, Throwable cause) {
        int status =
                switch (cause) {
                    case TooLongHttpHeaderException tooLong -> TextResponses.HEADER_TOO_LARGE;
                    case TooLongHttpLineException tooLong -> TextResponses.URI_TOO_LONG;
                    default -> TextResponses.BAD_REQUEST;
                };
        rejectMalformed(responder, status, cause.getMessage());
    }

    private void rejectMalformed(Responder responder, int status, String reason) {
        LOGGER.log(Event.CALLER_REQUEST_MALFORMED, mContext.channel().remoteAddress(), reason);
        responder.closeAfterResponse();
        String text = "malformed request: " + reason + "\n";
        responder.sendWhole(TextResponses.create(status, text));
    }

    /** Splits a target in absolute form (RFC 9112, section 3.2.2) into host and path. */
    private static void useOriginForm(FullHttpRequest request) {
        String target = request.uri();
        int scheme = target.indexOf("://");
        if (scheme < 0 || target.startsWith("/")) {
            return;
        }
        int authority = scheme + "://".length();
        int path = target.indexOf('/', authority);
        int end = path < 0 ? target.length() : path;
        request.headers().set(HttpHeaderNames.HOST, target.substring(authority, end));
        request.setUri(path < 0 ? "/" : target.substring(path));
    }

    private void route(FullHttpRequest request, Responder responder) {
        useOriginForm(request);
        Configuration configuration = mServices.configuration().current();
        if (configuration.revision() == 0) {
            responder.sendWhole(TextResponses.notRun("no configuration yet; try another node"));
            return;
        }
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Optional<RouteDefinition> matched =
                configuration
                        .routeTable()
                        .match(
                                request.method().name(),
                                host,
                                request.uri(),
                                name -> request.headers().get(name));
        if (matched.isEmpty()) {
            String text =
                    "no route for "
                            + request.method()
                            + " "
                            + request.uri()
                            + " at revision "
                            + configuration.revision()
                            + "\n";
            responder.sendWhole(
                    TextResponses.create(
                            TextResponses.NOT_FOUND,
                            text,
                            new HeaderField("arbutuslock-outcome", "not-run")));
            return;
        }
        RouteDefinition route = matched.get().resolve(ThreadLocalRandom.current().nextDouble());
        CallerInput input = toInput(request, route, configuration);
        responder.attach(
                new CallerRequest(mServices, mContext.channel().eventLoop(), input, responder));
    }

    private CallerInput toInput(
            FullHttpRequest request, RouteDefinition route, Configuration configuration) {
        RequestId id = mServer.nextRequestId();
        String method = request.method().name();
        String tenant = request.headers().get(TENANT_HEADER, "");
        RequestDialect dialect = mServices.dialect();
        long patience =
                dialect.callerTimeoutMillis(name -> request.headers().get(name))
                        .orElse(Long.MAX_VALUE);
        int weight = configuration.tenant(tenant).map(TenantDefinition::weight).orElse(1);
        return new CallerInput(
                id,
                route,
                RequestMethods.isIdempotent(route, method),
                method,
                request.uri(),
                dialect.forwardedHeaders(HttpHeaderFields.withoutHopByHopFields(request.headers())),
                ByteBufUtil.getBytes(request.content()),
                tenant,
                weight,
                Math.min(route.deadlineMillis(), patience));
    }

    private void finishRequest(boolean keepAlive) {
        mCurrent = Optional.empty();
        if (mClosing && mPipelined.isEmpty()) {
            closeAfterWrites();
        }
        if (!keepAlive) {
            return;
        }
        FullHttpRequest next = mPipelined.poll();
        if (next == null) {
            mContext.channel().config().setAutoRead(true);
            return;
        }
        try {
            startRequest(next);
        } finally {
            next.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mCurrent.ifPresent(Responder::connectionClosed);
        mCurrent = Optional.empty();
        mPipelined.forEach(FullHttpRequest::release);
        mPipelined.clear();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mCurrent.ifPresent(Responder::grantWhileWritable);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && mCurrent.isEmpty()) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.log(
                Event.CALLER_CONNECTION_FAILED,
                context.channel().remoteAddress(),
                cause.getMessage());
        context.close();
    }

    /** Writes the response of the current request. */
    private final class Responder implements CallerResponse {
        private final boolean mHeadRequest;
        private final Queue<Runnable> mWaiting = new ArrayDeque<>();
        private boolean mKeepAlive;
        private boolean mFinished;
        private Optional<CallerRequest> mRequest = Optional.empty();

        private Responder(boolean keepAlive, boolean headRequest) {
            mKeepAlive = keepAlive;
            mHeadRequest = headRequest;
        }

        private void closeAfterResponse() {
            mKeepAlive = false;
        }

        private void attach(CallerRequest request) {
            mRequest = Optional.of(request);
            request.start();
        }

        @Override
        public void sendWhole(BufferedResponse response) {
            ByteBuf body = Unpooled.wrappedBuffer(response.body());
            DefaultFullHttpResponse message =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(response.status()),
                            body);
            addHeaders(message, response.headers());
            boolean bodyAllowed = response.status() != 204 && response.status() != 304;
            if (bodyAllowed && !mHeadRequest) {
                HttpUtil.setContentLength(message, response.body().length);
            }
            end(mContext.writeAndFlush(message));
        }

        @Override
        public void start(int status, List<HeaderField> headers) {
            HttpResponse message =
                    new DefaultHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
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
            if (mServer.isDraining()) {
                mKeepAlive = false;
            }
            if (!mKeepAlive) {
                message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        @Override
        public void sendPart(byte[] data, boolean last, Runnable sent) {
            ByteBuf buffer = Unpooled.wrappedBuffer(data);
            HttpContent content =
                    last ? new DefaultLastHttpContent(buffer) : new DefaultHttpContent(buffer);
            if (last) {
                end(mContext.writeAndFlush(content));
                return;
            }
            mContext.writeAndFlush(content, mContext.voidPromise());
            if (mContext.channel().isWritable()) {
                sent.run();
            } else {
                mWaiting.add(sent);
            }
        }

        private void grantWhileWritable() {
            while (mContext.channel().isWritable() && !mWaiting.isEmpty()) {
                mWaiting.remove().run();
            }
        }

        @Override
        public void abort() {
            mFinished = true;
            mServer.requestFinished();
            mContext.close();
        }

        private void end(ChannelFuture written) {
            mFinished = true;
            // A request counts until its caller's connection has taken the whole response.
            written.addListener(done -> mServer.requestFinished());
            if (!mKeepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            // Deferred, so that the request has recorded its end before the next one starts.
            mContext.channel().eventLoop().execute(() -> finishRequest(mKeepAlive));
        }

        private void endForShutdown() {
            mRequest.ifPresent(CallerRequest::endForShutdown);
        }

        private void connectionClosed() {
            if (!mFinished) {
                mServer.requestFinished();
                mRequest.ifPresent(CallerRequest::cancel);
            }
        }
    }
}
