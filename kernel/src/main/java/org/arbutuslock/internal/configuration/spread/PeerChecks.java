package org.arbutuslock.internal.configuration.spread;

import java.util.List;
import java.util.UUID;

/**
 * Checks that a peer has the same history of changes, and records refused messages for the status
 * that operators see.
 */
final class PeerChecks {
    private long mRefusals;
    private String mLastRefusal = "";

    long refusals() {
        return mRefusals;
    }

    String lastRefusal() {
        return mLastRefusal;
    }

    void refuse(String peer, String reason, List<SpreadAction> actions) {
        mRefusals++;
        mLastRefusal = peer + ": " + reason;
        actions.add(new SpreadAction.Refused(peer, reason));
    }

    /**
     * Refuses a message when the peer and this node have different changes at a revision. An
     * unknown id on either side passes the check. Returns false when the message was refused.
     */
    boolean requireSameHistory(
            String peer, long revision, UUID received, UUID expected, List<SpreadAction> actions) {
        if (expected.equals(SpreadMessage.NO_ID)
                || received.equals(SpreadMessage.NO_ID)
                || expected.equals(received)) {
            return true;
        }
        refuse(
                peer,
                "revision "
                        + revision
                        + " is change "
                        + received
                        + " at the peer but change "
                        + expected
                        + " at this node; the peer's store was probably restored from a backup",
                actions);
        return false;
    }
}
