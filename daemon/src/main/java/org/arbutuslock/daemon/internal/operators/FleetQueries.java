package org.arbutuslock.daemon.internal.operators;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.arbutuslock.api.Result;
import org.arbutuslock.daemon.internal.sessions.Addresses;
import org.arbutuslock.daemon.internal.store.MonitoredStore;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.settings.NodeSettings;
import org.arbutuslock.v1.EndpointStatus;
import org.arbutuslock.v1.GetStatusResponse;
import org.arbutuslock.v1.NodeState;
import org.arbutuslock.v1.NodeStatus;
import org.arbutuslock.v1.StoreStatus;
import org.arbutuslock.v1.WatchRevisionResponse;

/** Reads nodes, endpoints and the progress of a revision as this node sees the fleet. */
final class FleetQueries {
    private static final int MAXIMUM_WAITING_NODES = 20;

    private final NodeSettings mSettings;
    private final Supplier<FleetSnapshot> mFleet;
    private final ConfigurationHolder mHolder;
    private final MonitoredStore mStore;

    FleetQueries(
            NodeSettings settings,
            Supplier<FleetSnapshot> fleet,
            ConfigurationHolder holder,
            MonitoredStore store) {
        mSettings = settings;
        mFleet = fleet;
        mHolder = holder;
        mStore = store;
    }

    Result<WatchRevisionResponse> measureProgress(long revision) {
        Collection<NodeRecord> nodes = mFleet.get().nodes();
        List<String> waiting =
                nodes.stream()
                        .filter(node -> node.configurationRevision() < revision)
                        .map(NodeRecord::node)
                        .sorted()
                        .toList();
        return Result.success(
                WatchRevisionResponse.newBuilder()
                        .setRevision(revision)
                        .setNodesTotal(nodes.size())
                        .setNodesConfirmed(nodes.size() - waiting.size())
                        .setInForce(!nodes.isEmpty() && waiting.isEmpty())
                        .addAllWaitingNodes(waiting.stream().limit(MAXIMUM_WAITING_NODES).toList())
                        .build());
    }

    Result<GetStatusResponse> readStatus(
            String service, String availabilityZone, String afterNode, int limit) {
        Collection<NodeRecord> all = mFleet.get().nodes();
        List<NodeRecord> selected =
                all.stream()
                        .filter(node -> node.node().compareTo(afterNode) > 0)
                        .filter(node -> isSelected(node, service, availabilityZone))
                        .sorted(Comparator.comparing(NodeRecord::node))
                        .limit(limit + 1L)
                        .toList();
        List<NodeRecord> page = selected.subList(0, Math.min(limit, selected.size()));
        GetStatusResponse.Builder status =
                GetStatusResponse.newBuilder()
                        .setRespondingNode(mSettings.nodeName())
                        .setConfigurationRevision(mHolder.current().revision())
                        .setStore(readStoreStatus())
                        .setNodesTotal(all.size())
                        .setEndpointsTotal(
                                all.stream().mapToInt(node -> node.endpoints().size()).sum());
        page.forEach(node -> status.addNodes(format(node, service)));
        if (selected.size() > limit) {
            status.setNextPageToken(page.getLast().node());
        }
        return Result.success(status.build());
    }

    private static boolean isSelected(NodeRecord node, String service, String availabilityZone) {
        boolean inZone =
                availabilityZone.isEmpty() || node.availabilityZone().equals(availabilityZone);
        return inZone
                && (service.isEmpty()
                        || node.endpoints().stream()
                                .anyMatch(endpoint -> endpoint.id().service().equals(service)));
    }

    private StoreStatus readStoreStatus() {
        MonitoredStore.Health health = mStore.health();
        return StoreStatus.newBuilder()
                .setReachable(health.reachable())
                .setAddress(Addresses.format(mSettings.store().address()))
                .setReason(health.reason())
                .setMillisSinceSuccess(health.sinceSuccess().toMillis())
                .build();
    }

    private static NodeStatus format(NodeRecord node, String service) {
        NodeStatus.Builder status =
                NodeStatus.newBuilder()
                        .setNode(node.node())
                        .setAddress(node.peerAddress())
                        .setRegion(node.region())
                        .setAvailabilityZone(node.availabilityZone())
                        .setState(
                                node.draining()
                                        ? NodeState.NODE_STATE_DRAINING
                                        : NodeState.NODE_STATE_ALIVE)
                        .setIncarnation(node.incarnation())
                        .setConfigurationRevision(node.configurationRevision());
        node.endpoints().stream()
                .filter(endpoint -> service.isEmpty() || endpoint.id().service().equals(service))
                .forEach(endpoint -> status.addEndpoints(format(endpoint)));
        return status.build();
    }

    static EndpointStatus format(EndpointRecord endpoint) {
        return EndpointStatus.newBuilder()
                .setService(endpoint.id().service())
                .setBackendServer(endpoint.id().backendServer())
                .setState(format(endpoint.state()))
                .setWeightPercent(endpoint.weightPercent())
                .build();
    }

    private static org.arbutuslock.v1.EndpointState format(EndpointState state) {
        return switch (state) {
            case IN_SERVICE -> org.arbutuslock.v1.EndpointState.ENDPOINT_STATE_IN_SERVICE;
            case REDUCED -> org.arbutuslock.v1.EndpointState.ENDPOINT_STATE_REDUCED;
            case EJECTED -> org.arbutuslock.v1.EndpointState.ENDPOINT_STATE_EJECTED;
            case STARTING, TRIAL -> org.arbutuslock.v1.EndpointState.ENDPOINT_STATE_RETURNING;
            case DRAINING -> org.arbutuslock.v1.EndpointState.ENDPOINT_STATE_DRAINING;
            case LEFT -> org.arbutuslock.v1.EndpointState.ENDPOINT_STATE_LEFT;
        };
    }
}
