package org.arbutuslock.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Collects the actions of one call of {@link GossipProtocol} and encodes its messages. */
final class Outbox {
    private final GossipMessage.Sender mSender;
    private List<GossipAction> mActions = new ArrayList<>();

    Outbox(GossipMessage.Sender sender) {
        mSender = sender;
    }

    GossipMessage.Sender sender() {
        return mSender;
    }

    void add(GossipAction action) {
        mActions.add(action);
    }

    /** Queues a message to one address and returns its encoded size in bytes. */
    int send(String address, GossipMessage message) {
        return send(List.of(address), message);
    }

    /** Queues a message to several addresses and returns the bytes of all copies. */
    int send(Collection<String> addresses, GossipMessage message) {
        if (addresses.isEmpty()) {
            return 0;
        }
        byte[] payload = GossipMessageCodec.encode(message);
        addresses.forEach(address -> mActions.add(new GossipAction.Send(address, payload)));
        return addresses.size() * payload.length;
    }

    void sendUpdates(String address, boolean repair, List<MembershipUpdate> updates) {
        send(address, new GossipMessage.Delta(mSender, repair, updates));
    }

    List<GossipAction> pollAll() {
        List<GossipAction> taken = mActions;
        mActions = new ArrayList<>();
        return taken;
    }
}
