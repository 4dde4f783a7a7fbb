package org.arbutuslock.testbed.load;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import org.arbutuslock.testbed.backend.EchoBody;

/**
 * Keep-alive connection that sends one request at a time. Confined to the event loop of its pool.
 */
final class LoadConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int STATUS_OK = 200;

    private final TargetPool mPool;
    private final String mHost;
    private ChannelHandlerContext mContext;
    private Exchange mExchange;
    private BodyCheck mCheck;
    private HttpResponse mResponse;

    LoadConnection(TargetPool pool, InetSocketAddress target) {
        mPool = pool;
        mHost = target.getAddress().getHostAddress() + ":" + target.getPort();
    }

    /**
     * Sets the current request. If the connection is not open yet, it is sent after the connect.
     */
    void assign(Exchange exchange) {
        mExchange = exchange;
        exchange.setConnection(this);
    }

    void send(Exchange exchange) {
        assign(exchange);
        writeRequest();
    }

    void close() {
        if (mContext != null) {
            mContext.close();
        }
    }

    /** Handles a failed connect: removes the connection from the pool and fails its request. */
    void failToOpen() {
        mPool.closed(this);
        fail(LoadResult.CONNECTION_FAILED);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        if (mExchange != null && !mExchange.isFinished()) {
            writeRequest();
            return;
        }
        mExchange = null;
        mPool.release(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mExchange == null || message.decoderResult().isFailure()) {
            context.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            mResponse = response;
        }
        if (message instanceof HttpContent content) {
            mCheck.accept(content.content());
        }
        if (message instanceof LastHttpContent) {
            finish();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.closed(this);
        fail(mResponse == null ? LoadResult.CONNECTION_FAILED : LoadResult.TRUNCATED);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void writeRequest() {
        RequestKind kind = mExchange.kind();
        mCheck = new BodyCheck(EchoBody.head(kind.method(), mExchange.uri(), kind.body()));
        mResponse = null;
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(kind.method()),
                        mExchange.uri(),
                        Unpooled.wrappedBuffer(kind.body()));
        request.headers().set("host", mHost);
        kind.headers().forEach(request.headers()::set);
        request.headers().set("content-length", kind.body().length);
        mContext.writeAndFlush(request);
    }

    private void finish() {
        Exchange exchange = mExchange;
        HttpResponse response = mResponse;
        mExchange = null;
        mResponse = null;
        mPool.finished(
                exchange,
                classify(response),
                response.status().code(),
                response.headers().get("arbutuslock-outcome", ""),
                response.headers().get("arbutuslock-request-id", ""));
        if (HttpUtil.isKeepAlive(response)) {
            mPool.release(this);
        } else {
            mContext.close();
        }
    }

    private LoadResult classify(HttpResponse response) {
        // Without Content-Length or chunked encoding the connection close ends the body, and a
        // complete body looks the same as a truncated one.
        if (!HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response)) {
            return LoadResult.TRUNCATED;
        }
        if (response.status().code() != STATUS_OK) {
            return LoadResult.OTHER_STATUS;
        }
        return mCheck.isOwnResponse() ? LoadResult.SUCCESS : LoadResult.WRONG_RESPONSE;
    }

    private void fail(LoadResult result) {
        if (mExchange == null) {
            return;
        }
        Exchange exchange = mExchange;
        int status = mResponse == null ? 0 : mResponse.status().code();
        mExchange = null;
        mPool.finished(exchange, result, status, "", "");
    }
}
