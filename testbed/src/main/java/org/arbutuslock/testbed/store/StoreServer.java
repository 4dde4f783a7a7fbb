package org.arbutuslock.testbed.store;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.platform.v1.CallCounts;
import org.arbutuslock.platform.v1.StoreFaults;

/**
 * Serves an {@link InMemoryStore} over gRPC on the loopback address, with one port for the store
 * and one for its control service. Faults can be switched while it runs.
 *
 * <pre>{@code
 * try (StoreServer server = StoreServer.start(0, 0, Clock.system(), seed)) {
 *     server.setFaults(StoreFaults.newBuilder().setDelayMillis(50).build());
 *     connectTo(server.address());
 * }
 * }</pre>
 */
public final class StoreServer implements AutoCloseable {
    private static final int MAXIMUM_REQUEST_BYTES = PlatformStore.MAXIMUM_VALUE_BYTES + (64 << 10);
    private static final int THREADS = 2;
    private static final long LEASE_CHECK_INTERVAL_MILLIS = 100;
    private static final long PROGRESS_INTERVAL_MILLIS = 1000;
    private static final int BIND_ATTEMPTS = 50;
    private static final long BIND_RETRY_MILLIS = 100;

    private final ScheduledExecutorService mExecutor = Executors.newScheduledThreadPool(THREADS);
    private final InMemoryStore mStore;
    private final KeyValueStoreService mService;
    private final Server mControlServer;
    private Server mServer;
    private final int mPort;

    private StoreServer(int port, int controlPort, Clock clock, long seed) throws IOException {
        mStore = new InMemoryStore(clock);
        mService = new KeyValueStoreService(mStore, mExecutor, new SplittableRandom(seed));
        mServer = bind(port, mService);
        mPort = mServer.getPort();
        mControlServer = bind(controlPort, new StoreControlService(this));
        mExecutor.scheduleAtFixedRate(
                mStore::expireLeases,
                LEASE_CHECK_INTERVAL_MILLIS,
                LEASE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        mExecutor.scheduleAtFixedRate(
                mService::sendProgress,
                PROGRESS_INTERVAL_MILLIS,
                PROGRESS_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a store server.
     *
     * @param port TCP port of the store, or 0 for a free port
     * @param controlPort TCP port of the control service, or 0 for a free port
     * @param clock clock by which leases expire
     * @param seed seed of the random faults
     * @return the running server
     * @throws IOException when a port cannot be bound
     */
    public static StoreServer start(int port, int controlPort, Clock clock, long seed)
            throws IOException {
        return new StoreServer(port, controlPort, clock, seed);
    }

    /**
     * Returns the address of the store. It stays the same while the store is down.
     *
     * @return loopback address and port
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), mPort);
    }

    /**
     * Returns the address of the control service.
     *
     * @return loopback address and port
     */
    public InetSocketAddress controlAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), mControlServer.getPort());
    }

    /**
     * Returns the store behind this server, for assertions and for changes that bypass the network.
     *
     * @return the live store
     */
    public InMemoryStore store() {
        return mStore;
    }

    /**
     * Returns the numbers of received calls by kind.
     *
     * @return counts since the start, and the number of watches that are open now
     */
    public CallCounts callCounts() {
        return mService.counter().read();
    }

    /**
     * Replaces all faults. Returns after the listening socket has been closed or opened.
     *
     * @param faults new faults; the default instance switches all faults off
     * @throws IllegalArgumentException when a share, or the sum of both shares, is not from 0 to 1
     * @throws java.io.UncheckedIOException when the port is still in use after 50 attempts, 100 ms
     *     apart
     */
    public synchronized void setFaults(StoreFaults faults) {
        checkShare("lost_response_share", faults.getLostResponseShare());
        checkShare("late_write_share", faults.getLateWriteShare());
        checkShare(
                "lost_response_share + late_write_share",
                faults.getLostResponseShare() + faults.getLateWriteShare());
        mService.setFaults(faults);
        if (faults.getDown()) {
            stop(mServer);
        } else if (mServer.isShutdown()) {
            mServer = bindAgain();
        }
    }

    @Override
    public synchronized void close() {
        stop(mServer);
        stop(mControlServer);
        mExecutor.shutdownNow();
    }

    private Server bindAgain() {
        for (int attempt = 1; ; attempt++) {
            try {
                return bind(mPort, mService);
            } catch (IOException e) {
                // While the store is down, an outgoing connection of any process may occupy the
                // port as its local port.
                if (attempt == BIND_ATTEMPTS) {
                    throw new UncheckedIOException("port " + mPort + " is still in use", e);
                }
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(BIND_RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the port", e);
        }
    }

    private static Server bind(int port, BindableService service) throws IOException {
        return NettyServerBuilder.forAddress(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .addService(service)
                .directExecutor()
                .maxInboundMessageSize(MAXIMUM_REQUEST_BYTES)
                .build()
                .start();
    }

    private static void stop(Server server) {
        server.shutdownNow();
        try {
            server.awaitTermination(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void checkShare(String field, double share) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(
                    field + " is " + share + "; allowed are values from 0 to 1");
        }
    }
}
