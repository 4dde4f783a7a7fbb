package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.function.Function;

/** One node of a simulated fleet. Checks that its revision decreases only in a restart. */
final class HistoryNode {
    private final Function<ConfigurationHolder, ConfigurationLog> mCreateLog;
    private final boolean mWatches;
    private final boolean mAppliesLowerSnapshots;
    private ConfigurationHolder mHolder;
    private ConfigurationLog mLog;
    private AutoCloseable mFollower = () -> {};
    private long mHighestRevision;

    HistoryNode(
            Function<ConfigurationHolder, ConfigurationLog> createLog,
            boolean watches,
            boolean appliesLowerSnapshots) {
        mCreateLog = createLog;
        mWatches = watches;
        mAppliesLowerSnapshots = appliesLowerSnapshots;
        restart();
    }

    void restart() {
        try {
            mFollower.close();
        } catch (Exception failure) {
            throw new AssertionError(failure);
        }
        mHolder = new ConfigurationHolder();
        mHighestRevision = 0;
        mLog = mCreateLog.apply(mHolder);
        mFollower = mWatches ? mLog.follow() : () -> {};
    }

    Configuration current() {
        return mHolder.current();
    }

    ConfigurationLog log() {
        return mLog;
    }

    void receiveChange(byte[] change) {
        mHolder.applyEncoded(change);
        checkRevision();
    }

    /** Delivers each part twice, in random order. */
    void receiveSnapshot(List<byte[]> parts, Random random) {
        List<byte[]> delivered = new ArrayList<>(parts);
        delivered.addAll(parts);
        Collections.shuffle(delivered, random);
        SnapshotAssembler assembler = new SnapshotAssembler();
        try {
            for (byte[] part : delivered) {
                assembler.add(part);
            }
            Optional<Configuration> snapshot = assembler.complete();
            apply(snapshot.orElseThrow());
        } catch (MalformedConfigurationException malformed) {
            throw new AssertionError(malformed);
        }
        checkRevision();
    }

    private void apply(Configuration snapshot) {
        if (mAppliesLowerSnapshots && snapshot.revision() < mHolder.current().revision()) {
            mHolder = new ConfigurationHolder();
        }
        mHolder.apply(snapshot);
    }

    void checkRevision() {
        long revision = mHolder.current().revision();
        assertTrue(
                revision >= mHighestRevision,
                "revision went down from " + mHighestRevision + " to " + revision);
        mHighestRevision = revision;
    }

    /** Checks that this node applied exactly the changes of the log, in the order of the log. */
    void checkOrder(List<ConfigurationChange> log) {
        Configuration current = mHolder.current();
        for (long revision = 1; revision <= current.revision(); revision++) {
            UUID applied = current.recentChanges().idOf(revision);
            assertEquals(applied, log.get((int) revision - 1).changeId(), "order of " + revision);
        }
    }
}
