package org.arbutuslock.daemon.internal.sessions;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.messages.PeerMessageCodec;

/** Encodes messages into frames: a length of 4 bytes in network order, then the message. */
final class PeerMessageEncoder extends MessageToByteEncoder<PeerMessage> {
    @Override
    protected void encode(ChannelHandlerContext context, PeerMessage message, ByteBuf out) {
        byte[] encoded = PeerMessageCodec.encode(message);
        out.ensureWritable(Integer.BYTES + encoded.length);
        out.writeInt(encoded.length);
        out.writeBytes(encoded);
    }
}
