package org.arbutuslock.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Collects the actions of one call of the protocol and encodes its messages. */
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

    /** Sends a message to one address and returns its size. */
    int send(String address, GossipMessage message) {
        return send(List.of(address), message);
    }

    /** Sends a message to several addresses and returns the sum of the sizes. */
    int send(Collection<String> addresses, GossipMessage message) {
        if (addresses.isEmpty()) {
            return 0;
        }
        byte[] payload = GossipMessageCodec.encode(message);
        addresses.forEach(address -> mActions.add(new GossipAction.Send(address, payload)));
        return addresses.size() * payload.length;
    }

    void sendStatements(String address, boolean repair, List<MembershipUpdate> statements) {
        send(address, new GossipMessage.Delta(mSender, repair, statements));
    }

    List<GossipAction> take() {
        List<GossipAction> taken = mActions;
        mActions = new ArrayList<>();
        return taken;
    }
}
