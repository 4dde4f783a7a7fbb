package org.arbutuslock.daemon.internal.configuration;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.arbutuslock.api.Result;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WatchListener;
import org.arbutuslock.internal.configuration.ApplyResult;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.dialect.ConfigurationDialect;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Follows a configuration that is stored as a whole under one key of the platform's store. A value
 * that cannot be parsed or applied is logged, and the configuration in force stays. A watch whose
 * connection has become silent reports no end, so the key is also read when another node has a
 * newer revision. The state is confined to one event loop.
 */
final class ConfigurationFollower {
    private static final EventLogger LOGGER = EventLogger.forComponent("configuration");
    // A node may be at most 2.5 s behind an accepted change. The delays allow several attempts
    // within this time after a failed read.
    private static final long INITIAL_RETRY_MILLIS = 100;
    private static final long MAXIMUM_RETRY_MILLIS = 800;
    // The watch delivers most changes before other nodes announce them.
    private static final long COMPARE_MILLIS = 400;
    // Limits the reads caused by a revision that the store does not have.
    private static final long MAXIMUM_COMPARE_MILLIS = 12_800;

    private static final long NOT_BEHIND = -1;

    private final PlatformStore mStore;
    private final ConfigurationDialect mDialect;
    private final ConfigurationHolder mHolder;
    private final DoubleSupplier mFloorShare;
    private final LongSupplier mNewestKnown;
    private final EventLoop mEventLoop;
    private long mRetryMillis = INITIAL_RETRY_MILLIS;
    private long mCompareMillis = COMPARE_MILLIS;
    private long mBehindAtRevision = NOT_BEHIND;
    private AutoCloseable mWatch = () -> {};
    // True from the first attempt of a read until one succeeds.
    private boolean mReading;
    private boolean mStopped;

    ConfigurationFollower(
            PlatformStore store,
            ConfigurationDialect dialect,
            ConfigurationHolder holder,
            DoubleSupplier floorShare,
            LongSupplier newestKnown,
            EventLoop eventLoop) {
        mStore = store;
        mDialect = dialect;
        mHolder = holder;
        mFloorShare = floorShare;
        mNewestKnown = newestKnown;
        mEventLoop = eventLoop;
    }

    /** Reads the key and then watches it. Safe on any thread. */
    void start() {
        mEventLoop.execute(this::read);
        scheduleComparison();
    }

    private void scheduleComparison() {
        mEventLoop.schedule(this::compare, mCompareMillis, TimeUnit.MILLISECONDS);
    }

    /** Reads the key when a revision that another node has was not in force here twice in a row. */
    private void compare() {
        if (mStopped) {
            return;
        }
        long own = mHolder.current().revision();
        boolean behind = mNewestKnown.getAsLong() > own;
        if (behind && mBehindAtRevision == own && !mReading) {
            LOGGER.log(Event.CONFIGURATION_BEHIND, own, mNewestKnown.getAsLong());
            mCompareMillis = Math.min(MAXIMUM_COMPARE_MILLIS, 2 * mCompareMillis);
            read();
        } else {
            mCompareMillis = COMPARE_MILLIS;
        }
        mBehindAtRevision = behind ? own : NOT_BEHIND;
        scheduleComparison();
    }

    void stop() {
        mStopped = true;
    }

    private void read() {
        if (mStopped) {
            return;
        }
        mReading = true;
        mStore.list(mDialect.key(), "", 1)
                .thenAccept(result -> mEventLoop.execute(() -> handle(result)));
    }

    private void handle(ListResult result) {
        switch (result) {
            case ListResult.Page(List<StoreEntry> entries, boolean more, long revision) -> {
                mReading = false;
                mRetryMillis = INITIAL_RETRY_MILLIS;
                entries.forEach(this::applyEntry);
                closeWatch();
                mWatch = mStore.watch(mDialect.key(), revision, new KeyListener());
            }
            case ListResult.Unavailable unavailable -> scheduleRead();
        }
    }

    private void closeWatch() {
        try {
            mWatch.close();
        } catch (Exception failure) {
            LOGGER.log(Event.CONFIGURATION_WATCH_ENDED, "it could not be closed: " + failure);
        }
    }

    private void scheduleRead() {
        mReading = true;
        long jitter = ThreadLocalRandom.current().nextLong(mRetryMillis);
        mEventLoop.schedule(this::read, mRetryMillis + jitter, TimeUnit.MILLISECONDS);
        mRetryMillis = Math.min(MAXIMUM_RETRY_MILLIS, 2 * mRetryMillis);
    }

    private void applyEntry(StoreEntry entry) {
        if (!entry.key().equals(mDialect.key())) {
            return;
        }
        long before = mHolder.current().revision();
        switch (mDialect.read(entry.value(), mFloorShare.getAsDouble())) {
            case Result.Success<Configuration>(Configuration configuration) ->
                    logResult(mHolder.apply(configuration), before, entry);
            case Result.Failed<Configuration>(var failure) ->
                    LOGGER.log(Event.CHANGE_UNPARSABLE, entry.key(), failure, before);
        }
    }

    private static void logResult(ApplyResult result, long before, StoreEntry entry) {
        switch (result) {
            case ApplyResult.Applied(long revision) ->
                    LOGGER.log(
                            Event.CONFIGURATION_IN_FORCE, revision, before, entry.storeRevision());
            case ApplyResult.AlreadyApplied same -> {}
            default -> LOGGER.log(Event.CONFIGURATION_REFUSED, entry.key(), before, result);
        }
    }

    private final class KeyListener implements WatchListener {
        @Override
        public void written(StoreEntry entry) {
            mEventLoop.execute(() -> applyEntry(entry));
        }

        @Override
        public void deleted(String key, long storeRevision) {
            LOGGER.log(
                    Event.CONFIGURATION_REFUSED,
                    key,
                    mHolder.current().revision(),
                    "the key was deleted at store revision " + storeRevision);
        }

        @Override
        public void ended(String reason) {
            LOGGER.log(Event.CONFIGURATION_WATCH_ENDED, reason);
            mEventLoop.execute(
                    () -> {
                        if (!mReading) {
                            scheduleRead();
                        }
                    });
        }
    }
}
