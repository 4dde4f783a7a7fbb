package org.arbutuslock.daemon.internal.callers;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;

/** Chooses no endpoint for the given number of calls, then a new one of node "a" each time. */
final class LocalEndpointChooser extends StatelessEndpointChooser {
    private int mCallsWithoutEndpoint;

    LocalEndpointChooser(int callsWithoutEndpoint) {
        mCallsWithoutEndpoint = callsWithoutEndpoint;
    }

    @Override
    public Optional<FleetSnapshot.Member> choose(
            RouteDefinition route, boolean idempotent, Set<EndpointId> tried) {
        if (mCallsWithoutEndpoint-- > 0) {
            return Optional.empty();
        }
        EndpointId id = new EndpointId("orders", "orders-" + tried.size());
        EndpointRecord endpoint = new EndpointRecord(id, 5, EndpointState.IN_SERVICE, 100);
        NodeRecord node =
                new NodeRecord("a", 9, 1, "127.0.0.1:1", "west", "calgary", 0, false, List.of());
        return Optional.of(new FleetSnapshot.Member(node, endpoint));
    }
}
