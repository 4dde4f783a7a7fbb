package org.arbutuslock.internal.configuration;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WatchListener;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Applies new changes of the change log. Watches the log in the store, and lists it again
 * periodically and whenever the watch may have missed a revision.
 */
final class ChangeFollower implements AutoCloseable {
    private static final EventLogger LOGGER = EventLogger.forComponent("configuration");

    /**
     * Period at which the log is listed to find changes that a stalled watch did not deliver. At
     * this period, 60 watching nodes cause 6 of the store's about 2,000 reads a second.
     */
    static final Duration LIST_PERIOD = Duration.ofSeconds(10);

    private static final AutoCloseable NO_WATCH = () -> {};

    private final PlatformStore mStore;
    private final ChangeReader mReader;
    private final TaskTimer mTimer;
    private final RetryDelays mDelays;
    private final AtomicReference<AutoCloseable> mWatch = new AtomicReference<>(NO_WATCH);

    /** Incremented when a watch opens or ends, so that the end of a replaced watch is ignored. */
    private final AtomicLong mGeneration = new AtomicLong();

    private final AtomicBoolean mListing = new AtomicBoolean();

    /** Highest revision that a watch delivered or that was in force when the watch was opened. */
    private final AtomicLong mWatchedRevision = new AtomicLong();

    /** Highest revision that was in force after a list of the log. */
    private final AtomicLong mListedRevision = new AtomicLong();

    private volatile boolean mClosed;

    ChangeFollower(PlatformStore store, ChangeReader reader, TaskTimer timer, RetryDelays delays) {
        mStore = store;
        mReader = reader;
        mTimer = timer;
        mDelays = delays;
    }

    void start() {
        connect();
        schedulePeriodicList();
    }

    @Override
    public void close() {
        mClosed = true;
        closeWatch(mWatch.getAndSet(NO_WATCH));
    }

    private void schedulePeriodicList() {
        mTimer.runAfter(
                LIST_PERIOD,
                () -> {
                    if (!mClosed) {
                        reopenStalledWatch();
                        listAgain();
                        schedulePeriodicList();
                    }
                });
    }

    /**
     * Replaces the watch when it has stalled, that is, when it has not delivered a revision that an
     * earlier list returned. After a periodic list the watch has a whole period to deliver it.
     */
    private void reopenStalledWatch() {
        long generation = mGeneration.get();
        if (mWatchedRevision.get() < mListedRevision.get()
                && mGeneration.compareAndSet(generation, generation + 1)) {
            LOGGER.log(Event.CONFIGURATION_WATCH_ENDED, "the watch has stalled");
            connect();
        }
    }

    private void connect() {
        if (!mClosed) {
            mReader.catchUp().thenAccept(this::watchAfter);
        }
    }

    private void watchAfter(CatchUpResult result) {
        if (mClosed) {
            return;
        }
        if (!(result instanceof CatchUpResult.Current current)) {
            mTimer.runAfter(mDelays.next(), this::connect);
            return;
        }
        mDelays.reset();
        mWatchedRevision.accumulateAndGet(current.revision(), Math::max);
        long generation = mGeneration.incrementAndGet();
        AutoCloseable watch =
                mStore.watch(
                        ConfigurationKeys.CHANGES,
                        current.storeRevision(),
                        new Listener(generation));
        closeWatch(mWatch.getAndSet(watch));
        if (mClosed) {
            close();
        }
    }

    private void listAgain() {
        if (mListing.compareAndSet(false, true)) {
            mReader.catchUp().thenAccept(this::finishList);
        }
    }

    private void finishList(CatchUpResult result) {
        mListing.set(false);
        if (result instanceof CatchUpResult.Current current) {
            mListedRevision.accumulateAndGet(current.revision(), Math::max);
        }
    }

    private static void closeWatch(AutoCloseable watch) {
        try {
            watch.close();
        } catch (Exception failure) {
            LOGGER.log(
                    Event.CONFIGURATION_WATCH_ENDED, "the watch could not be closed: " + failure);
        }
    }

    /** Applies the changes that one watch delivers. */
    private final class Listener implements WatchListener {
        private final long mOwnGeneration;

        Listener(long generation) {
            mOwnGeneration = generation;
        }

        @Override
        public void written(StoreEntry entry) {
            if (mClosed) {
                return;
            }
            mWatchedRevision.accumulateAndGet(ConfigurationKeys.revisionOf(entry.key()), Math::max);
            if (mReader.apply(entry) instanceof ApplyResult.Missing) {
                listAgain();
            }
        }

        @Override
        public void deleted(String key, long storeRevision) {
            LOGGER.log(Event.CHANGE_DELETED, key);
        }

        @Override
        public void ended(String reason) {
            if (!mClosed && mGeneration.compareAndSet(mOwnGeneration, mOwnGeneration + 1)) {
                LOGGER.log(Event.CONFIGURATION_WATCH_ENDED, reason);
                mTimer.runAfter(mDelays.next(), ChangeFollower.this::connect);
            }
        }
    }
}
