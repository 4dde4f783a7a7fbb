package org.arbutuslock.testbed.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.grpc.BindableService;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.store.LeaseResult;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.ReadResult;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WatchListener;
import org.arbutuslock.api.store.WriteResult;
import org.arbutuslock.daemon.internal.store.GrpcPlatformStore;
import org.arbutuslock.daemon.internal.store.StoreClientSettings;
import org.arbutuslock.platform.v1.KeyValueStoreGrpc;
import org.arbutuslock.platform.v1.ReadRequest;
import org.arbutuslock.platform.v1.ReadResponse;
import org.arbutuslock.platform.v1.StoreControlGrpc;
import org.arbutuslock.platform.v1.StoreFaults;
import org.arbutuslock.platform.v1.WatchRequest;
import org.arbutuslock.platform.v1.WatchResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a store client that reports the wrong outcome for a fault, such as a failed write
 * when the write was applied and only its response was lost.
 */
public class StoreFaultsTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 7);
    private static final long WAIT_SECONDS = 10;
    private static final byte[] VALUE = {1, 2, 3};

    private final ManualClock mLeaseClock = new ManualClock();
    private StoreServer mServer;
    private PlatformStore mClient;

    @BeforeMethod
    public void start() throws Exception {
        System.out.println("StoreFaultsTest arbutuslock.seed=" + SEED);
        mServer = StoreServer.start(0, 0, mLeaseClock, SEED);
        mClient = connect(mServer.address());
    }

    @AfterMethod
    public void stop() {
        mClient.close();
        mServer.close();
    }

    @Test
    public void should_report_unavailable_when_down_and_recover() throws Exception {
        assertTrue(create("a") instanceof WriteResult.Applied);
        mServer.setFaults(StoreFaults.newBuilder().setDown(true).build());
        // The client may send a write on the old connection before it notices that the store has
        // closed it. The outcome of such a write is unknown.
        WriteResult first = create("b");
        assertTrue(
                first instanceof WriteResult.Unknown || first instanceof WriteResult.Unavailable);
        for (int attempt = 0; attempt < 20; attempt++) {
            WriteResult result = create("b");
            assertTrue(result instanceof WriteResult.Unavailable, "was " + result);
        }
        mServer.setFaults(StoreFaults.getDefaultInstance());
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        WriteResult recovered = create("b");
        while (recovered instanceof WriteResult.Unavailable && System.nanoTime() < deadline) {
            Thread.onSpinWait();
            recovered = create("b");
        }
        assertTrue(recovered instanceof WriteResult.Applied, "was " + recovered);
    }

    @Test
    public void should_report_unknown_when_the_connection_breaks_during_a_write() throws Exception {
        StoreFaults slow = StoreFaults.newBuilder().setDelayMillis(400).build();
        mServer.setFaults(slow);
        var write = mClient.compareAndSwap("a", 0, VALUE, PlatformStore.NO_LEASE);
        waitForWrites(1);
        mServer.setFaults(slow.toBuilder().setDown(true).build());
        WriteResult result = write.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(result instanceof WriteResult.Unknown, "was " + result);
    }

    @Test
    public void should_report_unknown_when_slower_than_the_deadline() throws Exception {
        assertTrue(create("a") instanceof WriteResult.Applied);
        mServer.setFaults(StoreFaults.newBuilder().setDelayMillis(5000).build());
        assertTrue(create("b") instanceof WriteResult.Unknown);
        assertTrue(read("a") instanceof ReadResult.Unavailable);
    }

    @Test
    public void should_report_unknown_when_the_response_of_an_applied_write_is_lost()
            throws Exception {
        mServer.setFaults(StoreFaults.newBuilder().setLostResponseShare(1).build());
        assertTrue(create("a") instanceof WriteResult.Unknown);
        mServer.setFaults(StoreFaults.getDefaultInstance());
        assertTrue(read("a") instanceof ReadResult.Found);
    }

    @Test
    public void should_apply_a_late_write_after_the_client_timed_out() throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        try (AutoCloseable _ = mClient.watch("a", 0, recordTo(events))) {
            waitForWatch();
            mServer.setFaults(
                    StoreFaults.newBuilder().setLateWriteShare(1).setLateWriteMillis(1500).build());
            assertTrue(create("a") instanceof WriteResult.Unknown);
            assertTrue(read("a") instanceof ReadResult.Absent);
            assertEquals(events.poll(WAIT_SECONDS, TimeUnit.SECONDS), "written a 1");
        }
    }

    @Test
    public void should_end_watches_and_lower_the_revision_when_restored() throws Exception {
        assertTrue(create("a") instanceof WriteResult.Applied);
        int backup = mServer.store().takeBackup();
        assertTrue(create("b") instanceof WriteResult.Applied);
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        try (AutoCloseable _ = mClient.watch("", 0, recordTo(events))) {
            waitForWatch();
            mServer.store().restoreBackup(backup);
            assertTrue(events.poll(WAIT_SECONDS, TimeUnit.SECONDS).startsWith("ended ABORTED"));
        }
        assertTrue(read("b") instanceof ReadResult.Absent);
        assertEquals(mServer.store().storeRevision(), 1);
        try (AutoCloseable _ = mClient.watch("", 2, recordTo(events))) {
            assertTrue(
                    events.poll(WAIT_SECONDS, TimeUnit.SECONDS).startsWith("ended OUT_OF_RANGE"));
        }
    }

    @Test
    public void should_report_unavailable_when_the_server_accepts_but_never_responds()
            throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                PlatformStore client =
                        connect((InetSocketAddress) silent.getLocalSocketAddress())) {
            WriteResult result =
                    client.compareAndSwap("a", 0, VALUE, PlatformStore.NO_LEASE)
                            .get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertTrue(result instanceof WriteResult.Unavailable, "was " + result);
        }
    }

    @Test
    public void should_resume_a_watch_without_a_gap_and_count_it_once() throws Exception {
        for (String key : List.of("k/1", "other", "k/2", "k/3")) {
            assertTrue(create(key) instanceof WriteResult.Applied);
        }
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        try (AutoCloseable _ = mClient.watch("k/", 1, recordTo(events))) {
            assertEquals(events.poll(WAIT_SECONDS, TimeUnit.SECONDS), "written k/2 3");
            assertEquals(events.poll(WAIT_SECONDS, TimeUnit.SECONDS), "written k/3 4");
            assertTrue(
                    mClient.delete("k/1", 1).get(WAIT_SECONDS, TimeUnit.SECONDS)
                            instanceof WriteResult.Applied);
            assertEquals(events.poll(WAIT_SECONDS, TimeUnit.SECONDS), "deleted k/1 5");
            assertEquals(mServer.callCounts().getWatches(), 1);
            assertEquals(mServer.callCounts().getOpenWatches(), 1);
            assertEquals(mServer.callCounts().getWrites(), 5);
        }
    }

    @Test
    public void should_delete_the_entries_of_an_expired_lease() throws Exception {
        LeaseResult.Granted lease =
                (LeaseResult.Granted)
                        mClient.grantLease(Duration.ofSeconds(3))
                                .get(WAIT_SECONDS, TimeUnit.SECONDS);
        mClient.compareAndSwap("a", 0, VALUE, lease.lease()).get(WAIT_SECONDS, TimeUnit.SECONDS);
        mLeaseClock.advance(Duration.ofSeconds(2));
        assertTrue(
                mClient.renewLease(lease.lease()).get(WAIT_SECONDS, TimeUnit.SECONDS)
                        instanceof LeaseResult.Granted);
        mLeaseClock.advance(Duration.ofSeconds(2));
        assertTrue(read("a") instanceof ReadResult.Found);
        mLeaseClock.advance(Duration.ofSeconds(1));
        assertTrue(read("a") instanceof ReadResult.Absent);
        assertTrue(
                mClient.renewLease(lease.lease()).get(WAIT_SECONDS, TimeUnit.SECONDS)
                        instanceof LeaseResult.Expired);
    }

    @Test
    public void should_detect_conflicts_and_list_large_values_in_pages() throws Exception {
        byte[] large = new byte[PlatformStore.MAXIMUM_VALUE_BYTES];
        List<String> keys = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            keys.add("large/" + index);
            assertTrue(
                    mClient.compareAndSwap("large/" + index, 0, large, PlatformStore.NO_LEASE)
                                    .get(WAIT_SECONDS, TimeUnit.SECONDS)
                            instanceof WriteResult.Applied);
        }
        assertEquals(create("large/0"), new WriteResult.Conflict(1));
        List<String> listed = new ArrayList<>();
        ListResult.Page page;
        do {
            String last = listed.isEmpty() ? "" : listed.getLast();
            page = (ListResult.Page) mClient.list("large/", last, 1000).get();
            page.entries().forEach(entry -> listed.add(entry.key()));
        } while (page.more());
        assertEquals(listed, keys);
        byte[] tooLarge = new byte[PlatformStore.MAXIMUM_VALUE_BYTES + 1];
        assertTrue(
                mClient.compareAndSwap("b", 0, tooLarge, PlatformStore.NO_LEASE).get()
                        instanceof WriteResult.Unavailable);
    }

    @Test
    public void should_switch_faults_by_rpc_while_down() throws Exception {
        mServer.setFaults(StoreFaults.newBuilder().setDown(true).build());
        ManagedChannel channel =
                NettyChannelBuilder.forAddress(mServer.controlAddress()).usePlaintext().build();
        try {
            StoreControlGrpc.newBlockingStub(channel).setFaults(StoreFaults.getDefaultInstance());
        } finally {
            channel.shutdownNow();
        }
        assertTrue(create("a") instanceof WriteResult.Applied);
    }

    @Test
    public void should_end_a_silent_watch_and_replace_its_connection() throws Exception {
        ManualClock clock = new ManualClock();
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        CountDownLatch watched = new CountDownLatch(1);
        Server silent =
                NettyServerBuilder.forAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .addService(silentStore(watched))
                        .build()
                        .start();
        InetSocketAddress address = (InetSocketAddress) silent.getListenSockets().getFirst();
        try (PlatformStore client = connect(address, clock);
                AutoCloseable _ = client.watch("a", 0, recordTo(events))) {
            assertTrue(watched.await(WAIT_SECONDS, TimeUnit.SECONDS));
            clock.advance(Duration.ofSeconds(6));
            assertEquals(
                    events.poll(WAIT_SECONDS, TimeUnit.SECONDS), "ended no message for 5000 ms");
            assertTrue(
                    client.read("a").get(WAIT_SECONDS, TimeUnit.SECONDS)
                            instanceof ReadResult.Unavailable);
            clock.advance(Duration.ofSeconds(1));
            assertTrue(
                    client.read("a").get(WAIT_SECONDS, TimeUnit.SECONDS)
                            instanceof ReadResult.Absent);
        } finally {
            silent.shutdownNow();
        }
    }

    private static BindableService silentStore(CountDownLatch watched) {
        return new KeyValueStoreGrpc.KeyValueStoreImplBase() {
            @Override
            public void watch(WatchRequest request, StreamObserver<WatchResponse> observer) {
                watched.countDown();
            }

            @Override
            public void read(ReadRequest request, StreamObserver<ReadResponse> observer) {
                observer.onNext(ReadResponse.getDefaultInstance());
                observer.onCompleted();
            }
        };
    }

    private static PlatformStore connect(InetSocketAddress address) {
        return connect(address, Clock.system());
    }

    private static PlatformStore connect(InetSocketAddress address, Clock clock) {
        StoreClientSettings settings =
                new StoreClientSettings(
                        address,
                        Duration.ofMillis(600),
                        1_000_000,
                        Duration.ofMillis(20),
                        Duration.ofMillis(100),
                        Duration.ofSeconds(5));
        return new GrpcPlatformStore(settings, clock, new SplittableRandom(SEED));
    }

    private WriteResult create(String key) throws Exception {
        return mClient.compareAndSwap(key, StoreEntry.ABSENT_VERSION, VALUE, PlatformStore.NO_LEASE)
                .get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private ReadResult read(String key) throws Exception {
        return mClient.read(key).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void waitForWrites(int count) {
        while (mServer.callCounts().getWrites() < count) {
            Thread.onSpinWait();
        }
    }

    private void waitForWatch() {
        while (mServer.callCounts().getOpenWatches() == 0) {
            Thread.onSpinWait();
        }
    }

    private static WatchListener recordTo(BlockingQueue<String> events) {
        return new WatchListener() {
            @Override
            public void written(StoreEntry entry) {
                events.add("written " + entry.key() + " " + entry.storeRevision());
            }

            @Override
            public void deleted(String key, long storeRevision) {
                events.add("deleted " + key + " " + storeRevision);
            }

            @Override
            public void ended(String reason) {
                events.add("ended " + reason);
            }
        };
    }
}
