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

/** Follows the change log by a watch and lists it again whenever a revision can be missing. */
final class ChangeFollower implements AutoCloseable {
    private static final EventLogger LOGGER = EventLogger.forComponent("configuration");

    /**
     * Period of the lists that find changes which a stalled watch did not deliver. 60 watchers make
     * 6 of about 2,000 reads a second.
     */
    static final Duration LIST_PERIOD = Duration.ofSeconds(10);

    private static final AutoCloseable NO_WATCH = () -> {};

    private final PlatformStore mStore;
    private final ChangeReader mReader;
    private final TaskTimer mTimer;
    private final RetryDelays mDelays;
    private final AtomicReference<AutoCloseable> mWatch = new AtomicReference<>(NO_WATCH);

    /** Counts watches, so that callbacks of a replaced watch have no effect. */
    private final AtomicLong mGeneration = new AtomicLong();

    private final AtomicBoolean mListing = new AtomicBoolean();

    /** Newest revision that the watch delivered or that was in force when it was opened. */
    private final AtomicLong mWatchedRevision = new AtomicLong();

    /** Newest revision at the last periodic list. */
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

    /** A watch that has not delivered in a whole period what a list returned has stalled. */
    private void reopenStalledWatch() {
        long generation = mGeneration.get();
        if (mWatchedRevision.get() < mListedRevision.get()
                && mGeneration.compareAndSet(generation, generation + 1)) {
            LOGGER.log(Event.CONFIGURATION_WATCH_ENDED, "it has stalled");
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
            LOGGER.log(Event.CONFIGURATION_WATCH_ENDED, "closing failed: " + failure);
        }
    }

    /** Applies what one watch delivers. */
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
