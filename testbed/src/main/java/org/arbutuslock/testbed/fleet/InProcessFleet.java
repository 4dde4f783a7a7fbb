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
 * Runs nodes, simulated backend servers and an in-memory store in this process. They communicate
 * over TCP connections on the loopback address. Not thread-safe.
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
     * Starts a fleet that has a store and no nodes.
     *
     * @param seed seed of the random faults
     * @return the fleet
     * @throws java.io.IOException when the store cannot bind a port
     */
    public static InProcessFleet start(long seed) throws java.io.IOException {
        return new InProcessFleet(seed, StoreServer.start(0, 0, Clock.system(), seed));
    }

    /**
     * Starts a node whose seeds are all nodes that were added before.
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
     * Starts a stopped node again with the same settings. The node gets a new incarnation.
     *
     * @param name name of a node that was added before
     * @return the node
     * @throws PluginException when the node cannot start
     */
    public Node startNode(String name) throws PluginException {
        Node node = Node.start(mSettings.get(name), Clock.system());
        mNodes.put(name, node);
        return node;
    }

    /**
     * Starts a simulated backend server, which announces itself to its home node.
     *
     * @param node name of the home node
     * @param name name of the backend server
     * @param service name of the service that it belongs to
     * @param slots maximum number of requests processed at the same time
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
     * Starts a stopped backend server again, on another port.
     *
     * @param name name of a backend server that was added before
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
     * Stops a backend server without draining it. Responses in progress are cut off.
     *
     * @param name name of the backend server
     */
    public void stopBackend(String name) {
        mBackends.remove(name).close();
    }

    /**
     * Returns the execution records of all backend servers, including stopped ones.
     *
     * @return one record for each start of a backend server, in the order of the starts
     */
    public List<ExecutionRecord> executions() {
        return List.copyOf(mExecutions);
    }

    /**
     * Submits a configuration change to the first node and waits until every node has applied it.
     *
     * @param operations operations of the change
     * @return configuration revision of the change
     * @throws IllegalStateException when the change is not accepted or a node does not have it
     *     within 20 s
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
            throw new IllegalStateException("configuration change was not accepted: " + result);
        }
        await(
                "revision " + revision + " on all nodes",
                () -> mNodes.values().stream().allMatch(node -> revisionOf(node) >= revision));
        return revision;
    }

    private static long revisionOf(Node node) {
        return node.component(ConfigurationHolder.class).current().revision();
    }

    /**
     * Waits until every node has the records of all running nodes and backend servers.
     *
     * @throws IllegalStateException when this takes more than 20 s
     */
    public void awaitReady() {
        await(
                "records of all nodes and endpoints on every node",
                () -> mNodes.values().stream().allMatch(this::knowsAll));
    }

    private boolean knowsAll(Node node) {
        var nodes = node.component(FleetDirectory.class).current().nodes();
        long endpoints = nodes.stream().mapToLong(record -> record.endpoints().size()).sum();
        return nodes.size() == mNodes.size() && endpoints == mBackends.size();
    }

    /**
     * Waits until a condition holds.
     *
     * @param what description of the condition for the error message
     * @param condition checked every 10 ms for at most 20 s
     * @throws IllegalStateException when the condition does not hold within 20 s
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
     * Returns a running node.
     *
     * @param name name of the node
     * @return the node, or null when no node of this name runs
     */
    public Node node(String name) {
        return mNodes.get(name);
    }

    /**
     * Returns the settings of a node.
     *
     * @param name name of the node
     * @return its settings, also while the node is stopped; null when it was never added
     */
    public NodeSettings settings(String name) {
        return mSettings.get(name);
    }

    /**
     * Returns the relay through which other nodes reach a node.
     *
     * @param name name of a node added by {@link #addRelayedNode}
     * @return the relay, or null for any other node
     */
    public FaultRelay relay(String name) {
        return mRelays.get(name);
    }

    /**
     * Returns all running backend servers.
     *
     * @return backend servers by name; a live map in the order of their starts
     */
    public Map<String, BackendServer> backends() {
        return mBackends;
    }

    /**
     * Returns the server of the in-memory store.
     *
     * @return the store, which this fleet closes
     */
    public StoreServer store() {
        return mStore;
    }

    /**
     * Stops a node without draining it.
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
