package org.arbutuslock.internal.membership;

import io.vavr.collection.HashMap;
import java.util.AbstractCollection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutuslock.api.EndpointId;

/**
 * Immutable snapshot of all nodes and endpoints that a node knows. A snapshot made by {@link #with}
 * shares all unchanged nodes and services with the snapshot that it was made from.
 *
 * <pre>{@code
 * FleetSnapshot changed = snapshot.with(List.of(newRecord), Set.of("calgary-a-3"));
 * for (FleetSnapshot.Member member : changed.membersOf("order-hub")) { ... }
 * }</pre>
 */
public final class FleetSnapshot {
    /** Snapshot without nodes. */
    public static final FleetSnapshot EMPTY = new FleetSnapshot(HashMap.empty(), HashMap.empty());

    private final HashMap<String, NodeRecord> mNodes;
    private final HashMap<String, List<Member>> mServices;

    private FleetSnapshot(
            HashMap<String, NodeRecord> nodes, HashMap<String, List<Member>> services) {
        mNodes = nodes;
        mServices = services;
    }

    /**
     * Builds a snapshot.
     *
     * @param records one record for each live node
     * @return the snapshot
     */
    public static FleetSnapshot of(Collection<NodeRecord> records) {
        return EMPTY.with(records, Set.of());
    }

    /**
     * Returns a copy with changes. The endpoint list of each affected service is copied once,
     * however many nodes changed.
     *
     * @param changed records to add or replace, at most one for each node
     * @param removed names of nodes to remove; unknown names are ignored
     * @return the changed copy
     */
    public FleetSnapshot with(Collection<NodeRecord> changed, Collection<String> removed) {
        Set<String> replaced = new HashSet<>(removed);
        Map<String, List<Member>> added = new java.util.HashMap<>();
        HashMap<String, NodeRecord> nodes = mNodes.removeAll(removed);
        for (NodeRecord record : changed) {
            replaced.add(record.node());
            nodes = nodes.put(record.node(), record);
            for (EndpointRecord endpoint : record.endpoints()) {
                added.computeIfAbsent(endpoint.id().service(), name -> new ArrayList<>())
                        .add(new Member(record, endpoint));
            }
        }
        Set<String> services = new HashSet<>(added.keySet());
        replaced.forEach(node -> services.addAll(servicesOf(node)));
        HashMap<String, List<Member>> members = mServices;
        for (String service : services) {
            members = replaceMembers(members, service, replaced, added);
        }
        return new FleetSnapshot(nodes, members);
    }

    private List<String> servicesOf(String node) {
        return findNode(node).stream()
                .flatMap(record -> record.endpoints().stream())
                .map(endpoint -> endpoint.id().service())
                .toList();
    }

    private HashMap<String, List<Member>> replaceMembers(
            HashMap<String, List<Member>> members,
            String service,
            Set<String> replaced,
            Map<String, List<Member>> added) {
        List<Member> current = new ArrayList<>(membersOf(service));
        current.removeIf(member -> replaced.contains(member.node().node()));
        current.addAll(added.getOrDefault(service, List.of()));
        return current.isEmpty()
                ? members.remove(service)
                : members.put(service, List.copyOf(current));
    }

    /**
     * Returns the records of all nodes.
     *
     * @return an unmodifiable view in no particular order
     */
    public Collection<NodeRecord> nodes() {
        return new AbstractCollection<>() {
            @Override
            public Iterator<NodeRecord> iterator() {
                return mNodes.valuesIterator();
            }

            @Override
            public int size() {
                return mNodes.size();
            }
        };
    }

    /**
     * Finds a node.
     *
     * @param name name of the node
     * @return the record, or empty when the node is not known
     */
    public Optional<NodeRecord> findNode(String name) {
        return mNodes.get(name).toJavaOptional();
    }

    /**
     * Returns the endpoints of a service with their home nodes.
     *
     * @param service name of the service
     * @return endpoints in any state, unmodifiable; empty for an unknown service
     */
    public List<Member> membersOf(String service) {
        return mServices.getOrElse(service, List.of());
    }

    /**
     * Finds an endpoint.
     *
     * @param id id of the endpoint
     * @return the endpoint with its home node, or empty when it is not known
     */
    public Optional<Member> findMember(EndpointId id) {
        return membersOf(id.service()).stream()
                .filter(member -> member.endpoint().id().equals(id))
                .findFirst();
    }

    /**
     * An endpoint with its home node.
     *
     * @param node record of the home node
     * @param endpoint record of the endpoint, one of the home node's
     */
    public record Member(NodeRecord node, EndpointRecord endpoint) {}
}
