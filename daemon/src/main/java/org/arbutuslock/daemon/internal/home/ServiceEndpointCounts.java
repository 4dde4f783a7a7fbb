package org.arbutuslock.daemon.internal.home;

import java.util.function.Supplier;
import org.arbutuslock.internal.membership.FleetSnapshot;

/** Counts the endpoints of each service that this node knows. Thread safe. */
public final class ServiceEndpointCounts {
    private volatile Supplier<FleetSnapshot> mFleet = () -> FleetSnapshot.EMPTY;

    /** Creates a counter that counts no endpoints until the fleet is set. */
    public ServiceEndpointCounts() {}

    /**
     * Sets the source of the counts.
     *
     * @param fleet supplies the nodes and endpoints that this node knows
     */
    public void setFleet(Supplier<FleetSnapshot> fleet) {
        mFleet = fleet;
    }

    /**
     * Counts the endpoints of a service.
     *
     * @param service name of the service
     * @return number of known endpoints in all states
     */
    public int countEndpoints(String service) {
        return mFleet.get().membersOf(service).size();
    }
}
