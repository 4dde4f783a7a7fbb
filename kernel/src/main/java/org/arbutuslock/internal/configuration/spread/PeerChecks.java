package org.arbutuslock.internal.configuration.spread;

import java.util.List;
import java.util.UUID;

/** Refuses what a peer sent and remembers it for the status. */
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

    /** Refuses what follows another change than the one that is in force here. */
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
                        + " there but change "
                        + expected
                        + " here; its store was probably restored from a backup",
                actions);
        return false;
    }
}
