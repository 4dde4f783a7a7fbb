package org.arbutuslock.internal.configuration.spread;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationChangeCodec;

/** The newest changes in encoded form, for repairs of peers that lag behind a little. */
final class RecentLog {
    /** 1,024 changes are 34 minutes at 0.5 changes a second. */
    private static final int MAXIMUM_CHANGES = 1_024;

    private static final int MAXIMUM_BYTES = 4 << 20;

    /** Keeps a message below 64 KiB, unless it is one larger change. */
    private static final int MESSAGE_BYTES = 48 << 10;

    private final Deque<byte[]> mChanges = new ArrayDeque<>();
    private long mRevision;
    private int mBytes;

    long revision() {
        return mRevision;
    }

    long firstHeld() {
        return mRevision - mChanges.size() + 1;
    }

    /** Adds the change of the next revision and returns its encoded form. */
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

    /** Continues from another revision without any changes. */
    void resetTo(long revision) {
        mChanges.clear();
        mBytes = 0;
        mRevision = revision;
    }

    boolean holdsAfter(long revision) {
        return revision >= firstHeld() - 1 && revision < mRevision;
    }

    /** Returns the changes after a revision that fit into one message, at least one. */
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
