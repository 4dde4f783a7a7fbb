package org.arbutuslock.daemon.internal.sessions;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.PeerMessage;

/**
 * Dispatches messages of plug-ins to the receiver that is registered for their channel. Messages of
 * a channel without a receiver are dropped. Thread safe.
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
     * Registers the receiver of a channel, in place of an earlier one.
     *
     * @param channel the channel
     * @param receiver called on the event loop of the session on which a message arrives
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
         * @param node name of the sending node
         * @param payload encoded message
         * @param reply sends an encoded message back on the same session and channel; any thread
         * @throws MessageFormatException when the payload is malformed; the message is dropped
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
