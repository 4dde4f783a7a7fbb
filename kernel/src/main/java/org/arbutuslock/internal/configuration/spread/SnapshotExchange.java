package org.arbutuslock.internal.configuration.spread;

import java.util.Optional;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.MalformedConfigurationException;

/**
 * Serves snapshots to peers that are too far behind for single changes, and downloads a snapshot
 * when this node is.
 */
final class SnapshotExchange {
    private final SpreadMessage.Sender mSelf;
    private final Output mOutput;
    private final SnapshotServer mServer = new SnapshotServer();
    private SnapshotDownload mDownload;

    /** Receives the results of an exchange. */
    interface Output {
        void send(SpreadMessage.Sender peer, SpreadMessage message);

        void refuse(String peer, String reason);

        void apply(String peer, Configuration configuration);
    }

    SnapshotExchange(SpreadMessage.Sender self, Output output) {
        mSelf = self;
        mOutput = output;
    }

    /** Returns the lowest accepted revision of the current download, or 0 when there is none. */
    long downloadingRevision() {
        return mDownload == null ? 0 : mDownload.minimumRevision();
    }

    void tick(long now) {
        mServer.tick(now);
        if (mDownload == null || !mDownload.isRequestDue(now)) {
            return;
        }
        if (mDownload.hasFailed()) {
            // The next digest of any peer starts a new download.
            mDownload = null;
            return;
        }
        mOutput.send(mDownload.peer(), mDownload.request(mSelf, now));
    }

    /** Starts a download from a peer; does nothing while a download is in progress. */
    void download(SpreadMessage.Sender peer, long minimumRevision, long now) {
        if (mDownload == null) {
            mDownload = new SnapshotDownload(peer, minimumRevision);
            mOutput.send(peer, mDownload.request(mSelf, now));
        }
    }

    /** Sends the requested parts as far as they exist and the limit per tick allows. */
    void serve(SpreadMessage.SnapshotRequest request, Configuration current, long held, long now) {
        if (current.revision() == 0) {
            return;
        }
        mServer.prepare(current, held, now);
        for (int index = 0; index < request.count(); index++) {
            int part = request.part() + index;
            byte[] data = mServer.take(part);
            if (data == null) {
                return;
            }
            mOutput.send(
                    request.sender(),
                    new SpreadMessage.SnapshotPart(
                            mSelf, mServer.revision(), part, mServer.parts(), data));
        }
    }

    /** Handles a part; a part that does not belong to the current download is ignored. */
    void receive(SpreadMessage.SnapshotPart part, long ownRevision, long now) {
        if (mDownload == null || !mDownload.belongsTo(part)) {
            return;
        }
        if (part.revision() <= ownRevision) {
            mDownload = null;
        } else if (part.revision() < mDownload.minimumRevision()) {
            mOutput.refuse(
                    part.sender().node(),
                    "snapshot has revision "
                            + part.revision()
                            + ", allowed: at least the announced revision "
                            + mDownload.minimumRevision());
            mDownload = null;
        } else {
            add(part, now);
        }
    }

    private void add(SpreadMessage.SnapshotPart part, long now) {
        try {
            boolean windowComplete = mDownload.add(part);
            Optional<Configuration> complete = mDownload.complete();
            if (complete.isPresent()) {
                mDownload = null;
                mOutput.apply(part.sender().node(), complete.get());
            } else if (windowComplete) {
                mOutput.send(part.sender(), mDownload.request(mSelf, now));
            }
        } catch (MalformedConfigurationException malformed) {
            mDownload = null;
            mOutput.refuse(part.sender().node(), malformed.getMessage());
        }
    }
}
