package org.arbutuslock.internal.configuration.spread;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.testing.SimulatedTimer;

/** A simulated node. Fails the test when the revision decreases without a restart. */
final class SpreadNode {
    private final SpreadHistory mHistory;
    private final NodeIdentity mIdentity;
    private final SimulatedTimer mTimer;
    private final PlatformStore mStore;
    private final Random mRandom;
    private final List<Runnable> mDeferredTasks = new ArrayList<>();
    private ConfigurationHolder mHolder;
    private ConfigurationLog mLog;
    private SpreadRunner mRunner;
    private boolean mPaused;
    private boolean mAlive;
    private int mIncarnation;
    private long mHighestRevision;

    SpreadNode(
            SpreadHistory history,
            NodeIdentity identity,
            SimulatedTimer timer,
            PlatformStore store,
            Random random) {
        mHistory = history;
        mIdentity = identity;
        mTimer = timer;
        mStore = store;
        mRandom = random;
    }

    void start(FleetSnapshot fleet) {
        mAlive = true;
        mPaused = false;
        mDeferredTasks.clear();
        int incarnation = ++mIncarnation;
        mHighestRevision = 0;
        mHolder = new ConfigurationHolder();
        mLog = new ConfigurationLog(mStore, mHolder, mTimer.clock(), mTimer, mRandom);
        ConfigurationSpread spread =
                new ConfigurationSpread(
                        mIdentity, () -> mHolder.current(), mTimer.clock(), mRandom);
        mRunner =
                new SpreadRunner(
                        spread,
                        mHolder,
                        mLog,
                        new WatcherSlots(mStore, mIdentity.zone(), mIdentity.node()),
                        (address, payload) -> mHistory.transmit(this, address, payload),
                        task -> mTimer.runAfter(Duration.ZERO, () -> run(incarnation, task)));
        mRunner.start();
        mRunner.updateFleet(fleet);
        tickLater(incarnation);
    }

    /** Runs a task, or defers it until {@link #resume} while the node is paused. */
    private void run(int incarnation, Runnable task) {
        if (incarnation != mIncarnation) {
            return;
        }
        if (mPaused) {
            mDeferredTasks.add(task);
        } else {
            task.run();
            checkRevision();
        }
    }

    private void tickLater(int incarnation) {
        mTimer.runAfter(
                ConfigurationSpread.TICK_INTERVAL,
                () -> {
                    if (mAlive && incarnation == mIncarnation) {
                        if (!mPaused) {
                            mRunner.tick();
                        }
                        tickLater(incarnation);
                    }
                });
    }

    /** Ends the process; {@link #start} then starts it without any configuration. */
    void kill() {
        mRunner.stop();
        mAlive = false;
    }

    void pause() {
        mPaused = true;
    }

    void resume() {
        mPaused = false;
        List<Runnable> deferredTasks = List.copyOf(mDeferredTasks);
        mDeferredTasks.clear();
        deferredTasks.forEach(task -> run(mIncarnation, task));
    }

    void receive(String sender, byte[] payload) {
        if (mAlive) {
            try {
                mRunner.receive(sender, payload);
            } catch (MessageFormatException unexpected) {
                throw new AssertionError(unexpected);
            }
        }
    }

    void updateFleet(FleetSnapshot fleet) {
        mRunner.updateFleet(fleet);
    }

    /** Injected bug: replaces the configuration in force by the empty one of revision 0. */
    void resetConfiguration() {
        mHolder = new ConfigurationHolder();
        checkRevision();
    }

    private void checkRevision() {
        long revision = revision();
        assertTrue(
                revision >= mHighestRevision,
                "revision went down from " + mHighestRevision + " to " + revision);
        mHighestRevision = revision;
    }

    /** Checks that the configuration in force consists of the accepted changes in their order. */
    void checkOrder(List<UUID> accepted) {
        Configuration current = mHolder.current();
        assertTrue(
                current.revision() <= accepted.size(),
                "revision is higher than the number of accepted changes");
        for (long revision = 1; revision <= current.revision(); revision++) {
            assertEquals(
                    current.changeIdOf(revision).orElseThrow(),
                    accepted.get((int) revision - 1),
                    "change id of revision " + revision);
        }
    }

    long revision() {
        return mHolder.current().revision();
    }

    ConfigurationLog log() {
        return mLog;
    }

    SpreadStatus status() {
        return mRunner.status();
    }

    NodeIdentity identity() {
        return mIdentity;
    }

    boolean isRunning() {
        return mAlive && !mPaused;
    }

    boolean isAlive() {
        return mAlive;
    }

    NodeRecord toRecord() {
        return new NodeRecord(
                mIdentity.node(),
                mIncarnation,
                1,
                mIdentity.address(),
                mIdentity.region(),
                mIdentity.zone(),
                0,
                false,
                List.of());
    }
}
