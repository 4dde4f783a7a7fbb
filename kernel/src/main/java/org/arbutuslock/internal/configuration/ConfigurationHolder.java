package org.arbutuslock.internal.configuration;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the configuration in force on this node. Thread-safe: a read of the configuration is one
 * volatile read, and a write replaces the reference atomically. The revision never decreases.
 *
 * <pre>{@code
 * ConfigurationHolder holder = new ConfigurationHolder();
 * ApplyResult result = holder.applyEncoded(bytes);
 * Configuration inForce = holder.current();
 * }</pre>
 */
public final class ConfigurationHolder {
    private final AtomicReference<Configuration> mCurrent =
            new AtomicReference<>(Configuration.EMPTY);

    private final List<Listener> mListeners = new CopyOnWriteArrayList<>();

    /**
     * Receives each applied change and snapshot, on the thread that applied it. Calls from several
     * threads can overlap.
     */
    public interface Listener {
        /**
         * Called after a change came into force.
         *
         * @param change the change
         */
        void changeApplied(ConfigurationChange change);

        /**
         * Called after a whole configuration came into force.
         *
         * @param configuration the configuration
         */
        void snapshotApplied(Configuration configuration);
    }

    /** Creates a holder of the empty configuration, revision 0. */
    public ConfigurationHolder() {}

    /**
     * Registers a listener.
     *
     * @param listener receives what is applied after this call
     */
    public void addListener(Listener listener) {
        mListeners.add(listener);
    }

    /**
     * Returns the configuration in force.
     *
     * @return an immutable snapshot; revision 0 until a configuration has been received
     */
    public Configuration current() {
        return mCurrent.get();
    }

    /**
     * Applies a change if it follows the revision in force.
     *
     * @param change change from the store or from another node
     * @return whether the change was applied, or why not
     */
    public ApplyResult apply(ConfigurationChange change) {
        while (true) {
            Configuration before = mCurrent.get();
            if (change.revision() <= before.revision()) {
                return compareWithHistory(before, change);
            }
            if (change.revision() != before.revision() + 1) {
                return new ApplyResult.Missing(before.revision(), change.revision());
            }
            if (mCurrent.compareAndSet(before, before.apply(change))) {
                mListeners.forEach(listener -> listener.changeApplied(change));
                return new ApplyResult.Applied(change.revision());
            }
        }
    }

    /**
     * Decodes a change and applies it.
     *
     * @param bytes encoded change
     * @return whether the change was applied, or why not
     */
    public ApplyResult applyEncoded(byte[] bytes) {
        try {
            return apply(ConfigurationChangeCodec.decode(bytes));
        } catch (MalformedConfigurationException malformed) {
            return new ApplyResult.Unparsable(current().revision(), malformed.getMessage());
        }
    }

    /**
     * Replaces the whole configuration if the snapshot has a higher revision.
     *
     * @param snapshot configuration from the store or from another node
     * @return whether the snapshot was applied, or why not
     */
    public ApplyResult apply(Configuration snapshot) {
        while (true) {
            Configuration before = mCurrent.get();
            if (snapshot.revision() < before.revision()) {
                return new ApplyResult.LowerRevision(before.revision(), snapshot.revision());
            }
            UUID expected = before.recentChanges().idOf(before.revision());
            UUID received = snapshot.recentChanges().idOf(before.revision());
            if (expected != null && received != null && !expected.equals(received)) {
                return otherHistory(before.revision(), received, expected);
            }
            if (snapshot.revision() == before.revision()) {
                return new ApplyResult.AlreadyApplied(before.revision());
            }
            if (mCurrent.compareAndSet(before, snapshot)) {
                mListeners.forEach(listener -> listener.snapshotApplied(snapshot));
                return new ApplyResult.Applied(snapshot.revision());
            }
        }
    }

    private static ApplyResult compareWithHistory(
            Configuration before, ConfigurationChange change) {
        UUID expected = before.recentChanges().idOf(change.revision());
        return expected == null || expected.equals(change.changeId())
                ? new ApplyResult.AlreadyApplied(before.revision())
                : otherHistory(change.revision(), change.changeId(), expected);
    }

    private static ApplyResult otherHistory(long revision, UUID received, UUID expected) {
        return new ApplyResult.OtherHistory(
                revision,
                "revision "
                        + revision
                        + " is change "
                        + received
                        + " in the received data but change "
                        + expected
                        + " on this node; the sender's store was probably restored from a backup");
    }
}
