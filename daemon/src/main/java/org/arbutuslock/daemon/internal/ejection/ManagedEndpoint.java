package org.arbutuslock.daemon.internal.ejection;

import java.util.List;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.ejection.EjectionAction;
import org.arbutuslock.internal.ejection.EjectionCoordinator;
import org.arbutuslock.internal.ejection.EjectionSettings;
import org.arbutuslock.internal.membership.FleetSnapshot;

/** The ejection coordinator of one local endpoint with the additional state of the daemon. */
final class ManagedEndpoint {
    private final EndpointId mId;
    private final EjectionCoordinator mCoordinator;
    private FleetSnapshot mFleet;
    private Configuration mConfiguration;
    private List<EndpointId> mDigestReceivers = List.of();
    private boolean mDeparting;
    private boolean mDrainRequested;

    ManagedEndpoint(EndpointId id, EjectionSettings settings, Clock clock, RandomGenerator random) {
        mId = id;
        // The time of the announcement, because an endpoint that is announced again while the node
        // runs needs a new incarnation.
        long incarnation = clock.wallTimeMillis();
        mCoordinator = new EjectionCoordinator(id, incarnation, settings, clock, random);
    }

    EndpointId id() {
        return mId;
    }

    EjectionCoordinator coordinator() {
        return mCoordinator;
    }

    /** Returns whether the last {@link #update} was made from these snapshots. */
    boolean isUpToDate(FleetSnapshot fleet, Configuration configuration) {
        return mFleet == fleet && mConfiguration == configuration;
    }

    void update(
            FleetSnapshot fleet, Configuration configuration, List<EndpointId> digestReceivers) {
        mFleet = fleet;
        mConfiguration = configuration;
        mDigestReceivers = digestReceivers;
    }

    /** Returns the endpoints of the service that may receive the digests of this endpoint. */
    List<EndpointId> digestReceivers() {
        return mDigestReceivers;
    }

    List<EjectionAction> depart(String reason) {
        mDeparting = true;
        return mCoordinator.depart(reason);
    }

    List<EjectionAction> requestDrain(String reason) {
        mDrainRequested = true;
        return mCoordinator.requestDrain(reason);
    }

    List<EjectionAction> cancelDrain(String reason) {
        mDrainRequested = false;
        return mCoordinator.cancelDrain(reason);
    }

    boolean isDrainRequested() {
        return mDrainRequested;
    }

    boolean isDeparting() {
        return mDeparting;
    }
}
