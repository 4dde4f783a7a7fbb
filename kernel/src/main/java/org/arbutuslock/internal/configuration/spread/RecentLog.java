package org.arbutuslock.internal.configuration.spread;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationChangeCodec;

/**
 * Keeps the newest changes in encoded form, to send them to peers that are a few changes behind.
 * The oldest changes are dropped when a limit is exceeded.
 */
final class RecentLog {
    /** At 0.5 changes per second, 1,024 changes cover 34 minutes. */
    private static final int MAXIMUM_CHANGES = 1_024;

    private static final int MAXIMUM_BYTES = 4 << 20;

    /**
     * Largest total size of the changes of one message. It keeps a message below 64 KiB, except for
     * a single change that is larger.
     */
    private static final int MESSAGE_BYTES = 48 << 10;

    private final Deque<byte[]> mChanges = new ArrayDeque<>();
    private long mRevision;
    private int mBytes;

    long revision() {
        return mRevision;
    }

    /** Returns the first revision whose change is kept, or the next revision when none is. */
    long firstHeld() {
        return mRevision - mChanges.size() + 1;
    }

    /** Adds a change, which must be that of the next revision, and returns its encoded form. */
    byte[] append(ConfigurationChange change) {
        byte[] encoded = ConfigurationChangeCodec.encode(change);
        mRevision = change.revision();
        mChanges.addLast(encoded);
        mBytes += encoded.length;
        while (mChanges.size() > MAXIMUM_CHANGES || mBytes > MAXIMUM_BYTES && mChanges.size() > 1) {
            mBytes -= mChanges.removeFirst().length;
        }
        return encoded;
    }

    /** Drops all changes and continues after the given revision. */
    void resetTo(long revision) {
        mChanges.clear();
        mBytes = 0;
        mRevision = revision;
    }

    /** Returns whether a change follows the given revision and all changes after it are kept. */
    boolean holdsAfter(long revision) {
        return revision >= firstHeld() - 1 && revision < mRevision;
    }

    /**
     * Returns the first changes after a revision, at least one and as many as fit into one message.
     * {@link #holdsAfter} must be true for the revision.
     */
    List<byte[]> changesAfter(long revision) {
        List<byte[]> batch = new ArrayList<>();
        Iterator<byte[]> changes = mChanges.iterator();
        for (long skipped = firstHeld(); skipped <= revision; skipped++) {
            changes.next();
        }
        int bytes = 0;
        while (changes.hasNext() && batch.size() < SpreadMessageCodec.MAXIMUM_CHANGES) {
            byte[] change = changes.next();
            bytes += change.length;
            if (bytes > MESSAGE_BYTES && !batch.isEmpty()) {
                break;
            }
            batch.add(change);
        }
        return batch;
    }
}
