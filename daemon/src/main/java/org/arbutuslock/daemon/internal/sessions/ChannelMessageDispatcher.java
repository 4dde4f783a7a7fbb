package org.arbutuslock.daemon.internal.sessions;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.PeerMessage;

/**
 * Hands messages of plug-ins to the plug-in that listens on their channel.
 *
 * <pre>{@code
 * messages.listen(PeerMessage.Channel.MEMBERSHIP, (node, payload, reply) -> ...);
 * }</pre>
 */
public final class ChannelMessageDispatcher {
    private final AtomicReference<Map<PeerMessage.Channel, Receiver>> mReceivers =
            new AtomicReference<>(new EnumMap<>(PeerMessage.Channel.class));

    /** Creates a dispatcher without receivers. */
    public ChannelMessageDispatcher() {}

    /**
     * Registers the receiver of a channel.
     *
     * @param channel the channel
     * @param receiver gets its messages on the session's event loop
     */
    public void listen(PeerMessage.Channel channel, Receiver receiver) {
        mReceivers.updateAndGet(
                receivers -> {
                    Map<PeerMessage.Channel, Receiver> copy = new EnumMap<>(receivers);
                    copy.put(channel, receiver);
                    return copy;
                });
    }

    void dispatch(String node, PeerMessage.ChannelMessage message, Reply reply)
            throws MessageFormatException {
        Receiver receiver = mReceivers.get().get(message.channel());
        if (receiver != null) {
            receiver.receive(
                    node,
                    message.payload(),
                    payload ->
                            reply.send(new PeerMessage.ChannelMessage(message.channel(), payload)));
        }
    }

    /** Receiver of the messages of one channel. */
    @FunctionalInterface
    public interface Receiver {
        /**
         * Handles one message.
         *
         * @param node name of the sender
         * @param payload encoded message
         * @param reply sends a payload back on the same session and channel
         * @throws MessageFormatException when the payload is malformed; the session is closed
         */
        void receive(String node, byte[] payload, java.util.function.Consumer<byte[]> reply)
                throws MessageFormatException;
    }

    /** Sends a message on the session on which another was received. */
    @FunctionalInterface
    interface Reply {
        void send(PeerMessage message);
    }
}
