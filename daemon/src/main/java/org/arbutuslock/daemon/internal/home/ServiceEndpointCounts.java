package org.arbutuslock.daemon.internal.home;

import java.util.function.Supplier;
import org.arbutuslock.internal.membership.FleetSnapshot;

/** Counts the endpoints of services that this node knows. Thread safe. */
public final class ServiceEndpointCounts {
    private volatile Supplier<FleetSnapshot> mFleet = () -> FleetSnapshot.EMPTY;

    /** Creates counts of a node that knows nobody. */
    public ServiceEndpointCounts() {}

    /**
     * Counts in the fleet from now on.
     *
     * @param fleet nodes that this node knows
     */
    public void setFleet(Supplier<FleetSnapshot> fleet) {
        mFleet = fleet;
    }

    /**
     * Counts the endpoints of a service.
     *
     * @param service name of the service
     * @return known endpoints in all states
     */
    public int endpointsOf(String service) {
        return mFleet.get().membersOf(service).size();
    }
}
