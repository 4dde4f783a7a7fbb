package org.arbutuslock.daemon.internal.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.Result;
import org.arbutuslock.api.store.LeaseResult;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.ReadResult;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WatchListener;
import org.arbutuslock.api.store.WriteResult;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.dialect.ConfigurationDialect;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a node that keeps an older configuration than the other nodes. */
public class ConfigurationFollowerTest {
    private static final String KEY = "op/config";
    private static final long TARGET_MILLIS = 2_500;

    private ConfigurationHolder mHolder;
    private EmbeddedChannel mChannel;
    private SilentStore mStore;
    private long mNewestKnown;

    @BeforeMethod
    public void startFollower() {
        mChannel = new EmbeddedChannel();
        mHolder = new ConfigurationHolder();
        mNewestKnown = 7;
        mStore = new SilentStore();
        mStore.mRevision = 7;
        ConfigurationFollower follower =
                new ConfigurationFollower(
                        mStore,
                        new RevisionDialect(),
                        mHolder,
                        () -> 0.5,
                        () -> mNewestKnown,
                        mChannel.eventLoop());
        follower.start();
        advance(Duration.ofMillis(100));
        assertEquals(mHolder.current().revision(), 7);
    }

    @AfterMethod
    public void tearDown() {
        mChannel.finishAndReleaseAll();
    }

    @Test
    public void should_read_a_change_that_a_silent_watch_does_not_deliver() {
        mStore.mRevision = 9;
        mNewestKnown = 9;
        advance(Duration.ofMillis(TARGET_MILLIS));
        assertEquals(mHolder.current().revision(), 9);
        assertEquals(mStore.mOpenWatches, 1);
    }

    @Test
    public void should_not_read_while_the_watch_delivers_changes() {
        int reads = mStore.mReads;
        for (long revision = 9; revision < 20; revision++) {
            mStore.mRevision = revision;
            mNewestKnown = revision;
            advance(Duration.ofMillis(300));
            mStore.deliver();
            advance(Duration.ofMillis(700));
        }
        assertEquals(mHolder.current().revision(), 19);
        assertEquals(mStore.mReads, reads);
    }

    @Test
    public void should_read_again_when_the_store_turned_the_node_away() {
        mStore.mAvailable = false;
        mStore.endWatches();
        advance(Duration.ofSeconds(5));
        mStore.mRevision = 9;
        mStore.mAvailable = true;
        advance(Duration.ofMillis(TARGET_MILLIS));
        assertEquals(mHolder.current().revision(), 9);
    }

    /** Guards against calls that add up while the store turns this node away and not the others. */
    @Test
    public void should_make_one_read_at_a_time_when_the_store_turns_the_node_away() {
        int reads = mStore.mReads;
        mStore.mAvailable = false;
        mNewestKnown = 9;
        advance(Duration.ofSeconds(30));
        assertTrue(mStore.mReads - reads <= 45, mStore.mReads - reads + " reads in 30 s");
        mStore.mRevision = 9;
        mStore.mAvailable = true;
        advance(Duration.ofMillis(TARGET_MILLIS));
        assertEquals(mHolder.current().revision(), 9);
        assertEquals(mStore.mOpenWatches, 1);
    }

    @Test
    public void should_read_a_change_whose_history_was_dropped() {
        mStore.mRevision = 9;
        mStore.endWatches();
        advance(Duration.ofMillis(TARGET_MILLIS));
        assertEquals(mHolder.current().revision(), 9);
        mStore.mRevision = 11;
        mStore.deliver();
        advance(Duration.ofMillis(100));
        assertEquals(mHolder.current().revision(), 11);
    }

    /** Guards against reads without end because of a revision that only one odd node claims. */
    @Test
    public void should_read_rarely_when_the_store_lacks_the_revision() {
        int reads = mStore.mReads;
        mNewestKnown = 1_000;
        advance(Duration.ofSeconds(60));
        assertTrue(mStore.mReads - reads <= 10, mStore.mReads - reads + " reads in 60 s");
    }

    private void advance(Duration duration) {
        for (long millis = 0; millis < duration.toMillis(); millis += 50) {
            mChannel.runPendingTasks();
            mChannel.advanceTimeBy(50, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
            mChannel.runPendingTasks();
        }
    }

    /** Reads the revision of an otherwise empty configuration. */
    private static final class RevisionDialect implements ConfigurationDialect {
        @Override
        public String key() {
            return KEY;
        }

        @Override
        public Result<Configuration> read(byte[] value, double floorShare) {
            long revision = Long.parseLong(new String(value, StandardCharsets.UTF_8));
            return Result.success(Configuration.of(revision, List.of(), List.of()));
        }
    }

    /** A store that answers reads, and whose watches hear nothing until told to deliver. */
    private static final class SilentStore implements PlatformStore {
        private final List<WatchListener> mListeners = new ArrayList<>();
        private long mRevision;
        private int mReads;
        private int mOpenWatches;
        private boolean mAvailable = true;

        private StoreEntry entry() {
            byte[] value = Long.toString(mRevision).getBytes(StandardCharsets.UTF_8);
            return new StoreEntry(KEY, mRevision, mRevision, value);
        }

        private void endWatches() {
            List<WatchListener> ended = List.copyOf(mListeners);
            mListeners.clear();
            ended.forEach(listener -> listener.ended("HTTP status 410"));
        }

        private void deliver() {
            mListeners.forEach(listener -> listener.written(entry()));
        }

        @Override
        public CompletableFuture<ListResult> list(String prefix, String startAfter, int limit) {
            mReads++;
            return CompletableFuture.completedFuture(
                    mAvailable
                            ? new ListResult.Page(List.of(entry()), false, mRevision)
                            : new ListResult.Unavailable(
                                    new Failure("list", "store", "turned away")));
        }

        @Override
        public AutoCloseable watch(String prefix, long after, WatchListener listener) {
            mListeners.add(listener);
            mOpenWatches++;
            return () -> {
                mListeners.remove(listener);
                mOpenWatches--;
            };
        }

        @Override
        public CompletableFuture<ReadResult> read(String key) {
            throw new AssertionError("the follower lists the key");
        }

        @Override
        public CompletableFuture<WriteResult> compareAndSwap(
                String key, long expectedVersion, byte[] value, long lease) {
            throw new AssertionError("the follower writes nothing");
        }

        @Override
        public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
            throw new AssertionError("the follower deletes nothing");
        }

        @Override
        public CompletableFuture<LeaseResult> grantLease(Duration duration) {
            throw new AssertionError("the follower needs no lease");
        }

        @Override
        public CompletableFuture<LeaseResult> renewLease(long lease) {
            throw new AssertionError("the follower needs no lease");
        }

        @Override
        public void close() {}
    }
}
