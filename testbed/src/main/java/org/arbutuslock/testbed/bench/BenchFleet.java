package org.arbutuslock.testbed.bench;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.arbutuslock.testbed.fleet.InProcessFleet;
import org.arbutuslock.testbed.load.RequestKind;

/**
 * In-process fleet with one service and three routes: {@code /price} for short requests, {@code
 * /long} for downloads and {@code /orders} for requests that are not idempotent.
 */
final class BenchFleet implements AutoCloseable {
    static final String SERVICE = "order-hub";
    static final RequestKind LOOKUP = RequestKind.get("lookup", "/price", 1);
    static final RequestKind DOWNLOAD = RequestKind.get("download", "/long/bundle", 1);
    static final RequestKind ORDER =
            new RequestKind("order", "POST", "/orders", new byte[100], Map.of(), 1);

    private static final int PRIORITY = 5;
    private static final int RETRY_PERCENT = 20;

    private final InProcessFleet mFleet;
    private final List<String> mNodes = new ArrayList<>();
    private final List<String> mBackends = new ArrayList<>();

    private BenchFleet(InProcessFleet fleet) {
        mFleet = fleet;
    }

    /**
     * Starts entry nodes without backend servers, and home nodes with one backend server each.
     *
     * @param slots requests that each backend server executes at the same time
     * @param deadlineMillis deadline of short requests and orders; downloads have twice as long
     * @param downloadClass work class of the {@code /long} route; {@link WorkClass#SHORT} lets
     *     downloads use the slots that are otherwise reserved for short work
     */
    static BenchFleet start(
            long seed,
            int entryNodes,
            int homeNodes,
            int slots,
            WorkTimes times,
            int deadlineMillis,
            WorkClass downloadClass)
            throws Exception {
        BenchFleet fleet = new BenchFleet(InProcessFleet.start(seed));
        for (int index = 0; index < entryNodes; index++) {
            fleet.addNode("entry-" + index);
        }
        for (int index = 0; index < homeNodes; index++) {
            fleet.addNode("home-" + index);
            String backend = SERVICE + "-" + index;
            fleet.mFleet.addBackend("home-" + index, backend, SERVICE, slots, times);
            fleet.mBackends.add(backend);
        }
        fleet.mFleet.change(configuration(homeNodes, slots, deadlineMillis, downloadClass));
        fleet.mFleet.awaitReady();
        return fleet;
    }

    private void addNode(String name) throws Exception {
        mFleet.addNode(name, "west-prairie", "calgary-a");
        mNodes.add(name);
    }

    private static List<ConfigurationOperation> configuration(
            int endpoints, int slots, int deadlineMillis, WorkClass downloadClass) {
        return List.of(
                new ConfigurationOperation.PutService(
                        new ServiceDefinition(
                                SERVICE, new Floor.Count(1), endpoints, slots, RETRY_PERCENT)),
                route("prices", "/price", WorkClass.SHORT, true, deadlineMillis),
                route("orders", "/orders", WorkClass.SHORT, false, deadlineMillis),
                route("bundles", "/long", downloadClass, true, 2 * deadlineMillis));
    }

    private static ConfigurationOperation route(
            String name, String path, WorkClass workClass, boolean idempotent, int deadlineMillis) {
        return new ConfigurationOperation.PutRoute(
                new RouteDefinition(
                        name,
                        "",
                        "",
                        path,
                        true,
                        Map.of(),
                        SERVICE,
                        workClass,
                        idempotent,
                        deadlineMillis,
                        PRIORITY));
    }

    InProcessFleet fleet() {
        return mFleet;
    }

    List<String> nodes() {
        return mNodes;
    }

    List<String> backends() {
        return mBackends;
    }

    InetSocketAddress callerAddress(String node) {
        return mFleet.settings(node).callers().address();
    }

    InetSocketAddress backendAddress(String backend) {
        return new InetSocketAddress("127.0.0.1", mFleet.backends().get(backend).port());
    }

    @Override
    public void close() {
        mFleet.close();
    }
}
