package org.arbutuslock.daemon.internal.sessions;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.util.function.BiConsumer;
import java.util.function.ObjIntConsumer;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.messages.PeerMessageCodec;

/**
 * Encodes messages into frames: a length of 4 bytes in network order, then the message. A message
 * that is beyond a bound of the protocol is not sent, because the other node could not read it.
 */
final class PeerMessageEncoder extends MessageToByteEncoder<PeerMessage> {
    private final ObjIntConsumer<PeerMessage> mSent;
    private final BiConsumer<PeerMessage, String> mRejected;

    /**
     * Creates an encoder.
     *
     * @param sent called with each message and the size of its frame in bytes
     * @param rejected called with each message that is not sent and the reason
     */
    PeerMessageEncoder(ObjIntConsumer<PeerMessage> sent, BiConsumer<PeerMessage, String> rejected) {
        mSent = sent;
        mRejected = rejected;
    }

    @Override
    protected void encode(ChannelHandlerContext context, PeerMessage message, ByteBuf out) {
        byte[] encoded;
        try {
            encoded = PeerMessageCodec.encode(message);
        } catch (MessageFormatException beyondBound) {
            mRejected.accept(message, beyondBound.getMessage());
            return;
        }
        int frameBytes = Integer.BYTES + encoded.length;
        out.ensureWritable(frameBytes);
        out.writeInt(encoded.length);
        out.writeBytes(encoded);
        mSent.accept(message, frameBytes);
    }
}
