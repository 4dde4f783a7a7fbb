package org.arbutuslock.daemon.internal.sessions;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.util.List;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.PeerMessageCodec;

/** Decodes frames, from which the length was removed, into messages. */
final class PeerMessageDecoder extends MessageToMessageDecoder<ByteBuf> {
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
            throws MessageFormatException {
        out.add(PeerMessageCodec.decode(ByteBufUtil.getBytes(frame)));
    }
}
