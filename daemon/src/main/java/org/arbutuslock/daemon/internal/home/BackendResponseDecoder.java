package org.arbutuslock.daemon.internal.home;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Decodes the responses on one connection to a backend server. Bounds the size of their heads and
 * tells whether bytes follow a response. Confined to the event loop of the connection.
 */
final class BackendResponseDecoder extends HttpResponseDecoder {
    private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

    private final Consumer<String> mReadObserver;
    private boolean mHeadRequest;

    /**
     * Creates a decoder.
     *
     * @param readObserver gets the first bytes of each read before they are decoded, at most {@link
     *     ReceivedBody#KEPT_CHARACTERS}
     */
    BackendResponseDecoder(Consumer<String> readObserver) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAXIMUM_HEAD_BYTES)
                        .setMaxHeaderSize(MAXIMUM_HEAD_BYTES));
        mReadObserver = readObserver;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf buffer) {
            mReadObserver.accept(firstBytes(buffer));
        }
        super.channelRead(context, message);
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

    /**
     * Returns the first of the bytes that {@link #hasMoreBytes} tells of, at most {@link
     * ReceivedBody#KEPT_CHARACTERS}.
     */
    String nextBytes() {
        return firstBytes(internalBuffer());
    }

    private static String firstBytes(ByteBuf buffer) {
        int length = Math.min(ReceivedBody.KEPT_CHARACTERS, buffer.readableBytes());
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
