package org.arbutuslock.daemon.internal.sessions;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.util.List;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageSubject;
import org.arbutuslock.internal.messages.PeerMessageCodec;

/**
 * Decodes frames, from which the length was removed, into messages. A frame that is no valid
 * message becomes the user event {@link Unreadable}: its end is known, so the frames after it can
 * still be read.
 */
final class PeerMessageDecoder extends MessageToMessageDecoder<ByteBuf> {
    /**
     * A frame that could not be decoded.
     *
     * @param subject what the message is about
     * @param problem position and field at which decoding stopped, and what is allowed there
     */
    record Unreadable(MessageSubject subject, String problem) {}

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out) {
        byte[] encoded = ByteBufUtil.getBytes(frame);
        try {
            out.add(PeerMessageCodec.decode(encoded));
        } catch (MessageFormatException malformed) {
            context.fireUserEventTriggered(
                    new Unreadable(MessageSubject.of(encoded), malformed.getMessage()));
        }
    }
}
