package org.arbutuslock.daemon.internal.callers;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.function.BooleanSupplier;

/**
 * Collects the head and body of a request. Writes no response of its own while earlier requests of
 * the connection have none: a request with a body that is too large is passed on as malformed, so
 * that it is answered in its turn.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final int mMaximumBodyBytes;
    private final BooleanSupplier mHasEarlierRequests;

    /**
     * Creates an aggregator.
     *
     * @param maximumBodyBytes maximum size of a body, in bytes
     * @param hasEarlierRequests returns whether requests of the connection are without a response
     */
    RequestAggregator(int maximumBodyBytes, BooleanSupplier hasEarlierRequests) {
        super(maximumBodyBytes);
        mMaximumBodyBytes = maximumBodyBytes;
        mHasEarlierRequests = hasEarlierRequests;
    }

    @Override
    protected Object newContinueResponse(
            HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        // A caller sends the body also without an interim response, after a short wait (RFC 9110,
        // section 10.1.1).
        return mHasEarlierRequests.getAsBoolean()
                ? null
                : super.newContinueResponse(start, maxContentLength, pipeline);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        HttpRequest request = (HttpRequest) oversized;
        FullHttpRequest rejected =
                new DefaultFullHttpRequest(
                        request.protocolVersion(),
                        request.method(),
                        request.uri(),
                        Unpooled.EMPTY_BUFFER,
                        request.headers(),
                        EmptyHttpHeaders.INSTANCE);
        String reason = "body above the limit of " + mMaximumBodyBytes + " bytes";
        rejected.setDecoderResult(DecoderResult.failure(new TooLongHttpContentException(reason)));
        context.fireChannelRead(rejected);
    }
}
