package org.arbutuslock.testbed.fleet;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.daemon.internal.node.Node;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.internal.configuration.SubmitResult;
import org.arbutuslock.internal.settings.NodeSettings;
import org.arbutuslock.testbed.backend.BackendServer;
import org.arbutuslock.testbed.backend.BackendSettings;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.arbutuslock.testbed.store.StoreServer;

/**
 * Nodes, stand-in backend servers and a stand-in store in this process, connected by real sockets
 * on the loopback address.
 *
 * <pre>{@code
 * try (InProcessFleet fleet = InProcessFleet.start(seed)) {
 *     fleet.addNode("calgary-a-1", "west-prairie", "calgary-a");
 *     fleet.addBackend("calgary-a-1", "order-hub-1", "order-hub", 5, WorkTimes.of(5, 0, 1));
 *     fleet.change(operations);
 *     fleet.awaitReady();
 * }
 * }</pre>
 */
public final class InProcessFleet implements AutoCloseable {
    private static final Duration AWAIT_LIMIT = Duration.ofSeconds(20);
    private static final Duration AWAIT_POLL = Duration.ofMillis(10);
    private static final int BACKEND_QUEUE = 1_000;
    private static final int BACKEND_THREADS = 2;

    private final long mSeed;
    private final StoreServer mStore;
    private final EventLoopGroup mBackendLoops;
    private final Map<String, NodeSettings> mSettings = new LinkedHashMap<>();
    private final Map<String, Node> mNodes = new LinkedHashMap<>();
    private final Map<String, BackendServer> mBackends = new LinkedHashMap<>();

    private InProcessFleet(long seed, StoreServer store) {
        mSeed = seed;
        mStore = store;
        mBackendLoops = new MultiThreadIoEventLoopGroup(BACKEND_THREADS, NioIoHandler.newFactory());
    }

    /**
     * Starts a store without nodes.
     *
     * @param seed seed of random faults
     * @return the fleet
     * @throws java.io.IOException when the store cannot listen
     */
    public static InProcessFleet start(long seed) throws java.io.IOException {
        return new InProcessFleet(seed, StoreServer.start(0, 0, Clock.system(), seed));
    }

    /**
     * Starts a node that knows the earlier ones as seeds.
     *
     * @param name name of the node
     * @param region region of the node
     * @param availabilityZone availability zone of the node
     * @return the node
     * @throws PluginException when it cannot start
     */
    public Node addNode(String name, String region, String availabilityZone)
            throws PluginException {
        List<InetSocketAddress> seeds =
                mSettings.values().stream()
                        .map(settings -> settings.peers().advertisedAddress())
                        .toList();
        NodeSettings settings =
                FleetSettings.create(name, region, availabilityZone, mStore.address(), seeds);
        mSettings.put(name, settings);
        Node node = Node.start(settings, Clock.system());
        mNodes.put(name, node);
        return node;
    }

    /**
     * Starts a stand-in backend server that announces itself.
     *
     * @param node name of its home node
     * @param name name of the backend server
     * @param service name of its service
     * @param slots requests that it works on at once
     * @param times service times
     * @return the backend server
     */
    public BackendServer addBackend(
            String node, String name, String service, int slots, WorkTimes times) {
        BackendSettings settings =
                new BackendSettings(
                        name,
                        service,
                        0,
                        slots,
                        BACKEND_QUEUE,
                        times,
                        Optional.of(mSettings.get(node).announcements().address()),
                        mSeed + mBackends.size());
        BackendServer backend = BackendServer.start(settings, Clock.system(), mBackendLoops);
        mBackends.put(name, backend);
        return backend;
    }

    /**
     * Submits a configuration change through the first node and waits until every node has it.
     *
     * @param operations steps of the change
     * @return its revision
     */
    public long change(List<ConfigurationOperation> operations) {
        Node first = mNodes.values().iterator().next();
        long base = first.component(ConfigurationHolder.class).current().revision();
        long deadline = Clock.system().nanoTime() + AWAIT_LIMIT.toNanos();
        SubmitResult result =
                first.component(ConfigurationLog.class)
                        .submit(UUID.randomUUID(), "testbed", base, operations, deadline)
                        .join();
        if (!(result instanceof SubmitResult.Accepted(long revision))) {
            throw new IllegalStateException("the change was not accepted: " + result);
        }
        await(
                "revision " + revision + " on all nodes",
                () -> mNodes.values().stream().allMatch(node -> revisionOf(node) >= revision));
        return revision;
    }

    private static long revisionOf(Node node) {
        return node.component(ConfigurationHolder.class).current().revision();
    }

    /** Waits until every node knows all nodes and all backend servers. */
    public void awaitReady() {
        await("all records on all nodes", () -> mNodes.values().stream().allMatch(this::knowsAll));
    }

    private boolean knowsAll(Node node) {
        var nodes = node.component(FleetDirectory.class).current().nodes();
        long endpoints = nodes.stream().mapToLong(record -> record.endpoints().size()).sum();
        return nodes.size() == mNodes.size() && endpoints == mBackends.size();
    }

    /**
     * Waits for a condition.
     *
     * @param what what is waited for, for the error
     * @param condition checked every 10 ms for at most 20 s
     */
    public static void await(String what, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > AWAIT_LIMIT.toNanos()) {
                throw new IllegalStateException("not reached within " + AWAIT_LIMIT + ": " + what);
            }
            LockSupport.parkNanos(AWAIT_POLL.toNanos());
        }
    }

    /**
     * Returns a node.
     *
     * @param name name of the node
     * @return the node
     */
    public Node node(String name) {
        return mNodes.get(name);
    }

    /**
     * Returns the settings of a node.
     *
     * @param name name of the node
     * @return its settings
     */
    public NodeSettings settings(String name) {
        return mSettings.get(name);
    }

    /**
     * Returns all stand-in backend servers.
     *
     * @return servers by name
     */
    public Map<String, BackendServer> backends() {
        return mBackends;
    }

    /**
     * Returns the stand-in store.
     *
     * @return the store
     */
    public StoreServer store() {
        return mStore;
    }

    /**
     * Stops a node at once.
     *
     * @param name name of the node
     */
    public void stopNode(String name) {
        mNodes.remove(name).stop();
    }

    @Override
    public void close() {
        new ArrayList<>(mBackends.values()).forEach(BackendServer::close);
        new ArrayList<>(mNodes.values()).forEach(Node::stop);
        mStore.close();
        mBackendLoops.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }
}
