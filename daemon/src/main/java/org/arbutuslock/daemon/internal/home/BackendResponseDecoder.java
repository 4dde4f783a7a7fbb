package org.arbutuslock.daemon.internal.home;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.nio.charset.StandardCharsets;

/**
 * Decodes the responses on one connection to a backend server. Bounds the size of their heads and
 * tells whether bytes follow a response. Confined to the event loop of the connection.
 */
final class BackendResponseDecoder extends HttpResponseDecoder {
    private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

    private boolean mHeadRequest;

    BackendResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAXIMUM_HEAD_BYTES)
                        .setMaxHeaderSize(MAXIMUM_HEAD_BYTES));
    }

    /**
     * Sets whether the request in progress has the method HEAD, so that its response has no body.
     */
    void setHeadRequest(boolean headRequest) {
        mHeadRequest = headRequest;
    }

    /** Returns whether bytes were received that belong to no message decoded so far. */
    boolean hasMoreBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns up to {@code maximum} of the bytes that {@link #hasMoreBytes} tells of. */
    String nextBytes(int maximum) {
        ByteBuf buffer = internalBuffer();
        int length = Math.min(maximum, buffer.readableBytes());
        return buffer.toString(buffer.readerIndex(), length, StandardCharsets.ISO_8859_1);
    }

    // The codec of Netty counts responses to find their methods, which extra responses shift.
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean interim =
                ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return mHeadRequest && !interim || super.isContentAlwaysEmpty(message);
    }
}
