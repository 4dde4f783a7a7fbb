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
import java.util.concurrent.TimeUnit;
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
import org.arbutuslock.testbed.backend.ExecutionRecord;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.arbutuslock.testbed.fault.FaultRelay;
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
    private static final int BACKEND_QUEUE_LIMIT = 1_000;
    private static final int EVENT_LOOP_THREADS = 2;

    private final long mSeed;
    private final StoreServer mStore;
    private final EventLoopGroup mLoops;
    private final Map<String, NodeSettings> mSettings = new LinkedHashMap<>();
    private final Map<String, Node> mNodes = new LinkedHashMap<>();
    private final Map<String, FaultRelay> mRelays = new LinkedHashMap<>();
    private final Map<String, BackendServer> mBackends = new LinkedHashMap<>();
    private final Map<String, BackendSettings> mBackendSettings = new LinkedHashMap<>();
    private final List<ExecutionRecord> mExecutions = new ArrayList<>();

    private InProcessFleet(long seed, StoreServer store) {
        mSeed = seed;
        mStore = store;
        mLoops = new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
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
        mSettings.put(name, createSettings(name, region, availabilityZone));
        return startNode(name);
    }

    /**
     * Starts a node that other nodes reach only through a {@link FaultRelay}.
     *
     * @param name name of the node
     * @param region region of the node
     * @param availabilityZone availability zone of the node
     * @return the node
     * @throws PluginException when it cannot start
     */
    public Node addRelayedNode(String name, String region, String availabilityZone)
            throws PluginException {
        NodeSettings settings = createSettings(name, region, availabilityZone);
        FaultRelay relay =
                FaultRelay.start(settings.peers().address(), mLoops, mSeed + mRelays.size());
        mRelays.put(name, relay);
        mSettings.put(name, FleetSettings.withAdvertisedAddress(settings, relay.address()));
        return startNode(name);
    }

    private NodeSettings createSettings(String name, String region, String availabilityZone) {
        List<InetSocketAddress> seeds =
                mSettings.values().stream()
                        .map(settings -> settings.peers().advertisedAddress())
                        .toList();
        return FleetSettings.create(name, region, availabilityZone, mStore.address(), seeds);
    }

    /**
     * Starts a stopped node again with the same settings and a new incarnation.
     *
     * @param name name of the node
     * @return the node
     * @throws PluginException when it cannot start
     */
    public Node startNode(String name) throws PluginException {
        Node node = Node.start(mSettings.get(name), Clock.system());
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
                        BACKEND_QUEUE_LIMIT,
                        times,
                        Optional.of(mSettings.get(node).announcements().address()),
                        mSeed + mBackends.size());
        mBackendSettings.put(name, settings);
        return startBackend(name);
    }

    /**
     * Starts a stopped backend server again, at another port.
     *
     * @param name name of the backend server
     * @return the backend server
     */
    public BackendServer startBackend(String name) {
        BackendServer backend =
                BackendServer.start(mBackendSettings.get(name), Clock.system(), mLoops);
        mBackends.put(name, backend);
        mExecutions.add(backend.executions());
        return backend;
    }

    /**
     * Stops a backend server at once, in the middle of its responses.
     *
     * @param name name of the backend server
     */
    public void stopBackend(String name) {
        mBackends.remove(name).close();
    }

    /**
     * Returns what all backend servers executed, those that were stopped included.
     *
     * @return one record for each run of a backend server
     */
    public List<ExecutionRecord> executions() {
        return List.copyOf(mExecutions);
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
     * Returns the relay of a node.
     *
     * @param name name of a node added by {@link #addRelayedNode}
     * @return its relay
     */
    public FaultRelay relay(String name) {
        return mRelays.get(name);
    }

    /**
     * Returns all running stand-in backend servers.
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
        mRelays.values().forEach(FaultRelay::close);
        mStore.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
