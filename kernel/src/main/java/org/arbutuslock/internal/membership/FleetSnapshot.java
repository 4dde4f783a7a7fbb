package org.arbutuslock.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Object2ObjectHashMap;
import org.arbutuslock.api.EndpointId;

/**
 * Immutable view of all nodes and endpoints that a node knows.
 *
 * <pre>{@code
 * for (FleetSnapshot.Member member : snapshot.membersOf("order-hub")) { ... }
 * }</pre>
 */
public final class FleetSnapshot {
    /** View of a node that knows nobody. */
    public static final FleetSnapshot EMPTY = new FleetSnapshot(List.of());

    private final Map<String, NodeRecord> mNodes;
    private final Map<String, List<Member>> mServices;

    /**
     * Builds a view.
     *
     * @param records one record for each live node
     */
    public FleetSnapshot(Collection<NodeRecord> records) {
        mNodes = new Object2ObjectHashMap<>();
        Map<String, List<Member>> services = new HashMap<>();
        for (NodeRecord node : records) {
            mNodes.put(node.node(), node);
            for (EndpointRecord endpoint : node.endpoints()) {
                services.computeIfAbsent(endpoint.id().service(), name -> new ArrayList<>())
                        .add(new Member(node, endpoint));
            }
        }
        mServices = new Object2ObjectHashMap<>();
        services.forEach((name, members) -> mServices.put(name, List.copyOf(members)));
    }

    /**
     * Returns all nodes.
     *
     * @return records by node name
     */
    public Collection<NodeRecord> nodes() {
        return mNodes.values();
    }

    /**
     * Finds a node.
     *
     * @param name name of the node
     * @return its record, or empty when it is not known
     */
    public Optional<NodeRecord> findNode(String name) {
        return Optional.ofNullable(mNodes.get(name));
    }

    /**
     * Returns the endpoints of a service with their home nodes.
     *
     * @param service name of the service
     * @return endpoints in all states; empty for an unknown service
     */
    public List<Member> membersOf(String service) {
        return mServices.getOrDefault(service, List.of());
    }

    /**
     * Finds an endpoint.
     *
     * @param id the endpoint
     * @return the endpoint with its home node, or empty
     */
    public Optional<Member> findMember(EndpointId id) {
        return membersOf(id.service()).stream()
                .filter(member -> member.endpoint().id().equals(id))
                .findFirst();
    }

    /**
     * An endpoint with its home node.
     *
     * @param node home node
     * @param endpoint the endpoint
     */
    public record Member(NodeRecord node, EndpointRecord endpoint) {}
}
