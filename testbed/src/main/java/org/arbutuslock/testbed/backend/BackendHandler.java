package org.arbutuslock.testbed.backend;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Serves one connection: {@code /health}, the control paths and simulated work. Processes one
 * request at a time, queues up to 16 pipelined requests and closes the connection when more arrive.
 */
final class BackendHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAXIMUM_PIPELINED_REQUESTS = 16;

    private final BackendState mState;
    private final BackendControl mControl;
    private final Queue<FullHttpRequest> mPipelined = new ArrayDeque<>();
    private Work mWork;

    BackendHandler(BackendState state, BackendControl control) {
        mState = state;
        mControl = control;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (mWork == null) {
            serve(context, request);
        } else if (mPipelined.size() < MAXIMUM_PIPELINED_REQUESTS) {
            mPipelined.add(request.retain());
        } else {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mWork != null) {
            mWork.cancel();
        }
        mPipelined.forEach(FullHttpRequest::release);
        mPipelined.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            System.getLogger(BackendHandler.class.getName())
                    .log(System.Logger.Level.WARNING, "connection closed after an error", cause);
        }
        context.close();
    }

    private void serve(ChannelHandlerContext context, FullHttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            respond(context, HttpResponseStatus.BAD_REQUEST, "malformed request\n", false);
        } else if (request.uri().equals("/health")) {
            respond(context, HttpResponseStatus.OK, "healthy\n", true);
        } else if (request.uri().startsWith(BackendControl.PATH_PREFIX)) {
            BackendControl.Reply reply = mControl.handle(request);
            respond(context, reply.status(), reply.body(), true);
        } else {
            work(context, request);
        }
    }

    private void work(ChannelHandlerContext context, FullHttpRequest request) {
        String requestId = request.headers().get(WorkRequest.REQUEST_ID_HEADER, "");
        if (requestId.length() > WorkRequest.MAXIMUM_REQUEST_ID_LENGTH) {
            respond(
                    context,
                    HttpResponseStatus.BAD_REQUEST,
                    WorkRequest.REQUEST_ID_HEADER
                            + " has "
                            + requestId.length()
                            + " characters; allowed are at most "
                            + WorkRequest.MAXIMUM_REQUEST_ID_LENGTH
                            + "\n",
                    true);
            return;
        }
        boolean close = !HttpUtil.isKeepAlive(request);
        mWork =
                new Work(
                        mState,
                        context.channel(),
                        new WorkRequest(
                                request.method().name(),
                                request.uri(),
                                ByteBufUtil.getBytes(request.content()),
                                requestId,
                                request.headers().get(WorkRequest.TOKEN_HEADER, "")),
                        () -> finish(context, close));
        if (!mState.queue().submit(mWork)) {
            mWork = null;
            mState.countShed();
            respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, "overloaded\n", true);
        }
    }

    private void finish(ChannelHandlerContext context, boolean close) {
        mWork = null;
        if (close || mState.isDraining()) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> context.close());
            return;
        }
        FullHttpRequest next = mPipelined.poll();
        if (next != null) {
            serve(context, next);
            next.release();
        }
    }

    private void respond(
            ChannelHandlerContext context,
            HttpResponseStatus status,
            String body,
            boolean keepAlive) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers()
                .set("content-length", response.content().readableBytes())
                .set("backend-server", mState.settings().name());
        context.writeAndFlush(response);
        finish(context, !keepAlive);
    }
}
