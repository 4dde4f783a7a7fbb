package org.arbutuslock.daemon.internal.sessions;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.util.function.ObjIntConsumer;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.messages.PeerMessageCodec;

/** Encodes messages into frames: a length of 4 bytes in network order, then the message. */
final class PeerMessageEncoder extends MessageToByteEncoder<PeerMessage> {
    private final ObjIntConsumer<PeerMessage> mSent;

    /**
     * Creates an encoder.
     *
     * @param sent called with each message and the size of its frame in bytes
     */
    PeerMessageEncoder(ObjIntConsumer<PeerMessage> sent) {
        mSent = sent;
    }

    @Override
    protected void encode(ChannelHandlerContext context, PeerMessage message, ByteBuf out) {
        byte[] encoded = PeerMessageCodec.encode(message);
        int frameBytes = Integer.BYTES + encoded.length;
        out.ensureWritable(frameBytes);
        out.writeInt(encoded.length);
        out.writeBytes(encoded);
        mSent.accept(message, frameBytes);
    }
}
