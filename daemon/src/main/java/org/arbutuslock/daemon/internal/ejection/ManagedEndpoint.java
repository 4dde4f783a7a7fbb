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

/** Coordinator of one local endpoint with what the daemon keeps beside it. */
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
        // An endpoint that is announced again in the same run of the node is a new one.
        long incarnation = clock.wallTimeMillis();
        mCoordinator = new EjectionCoordinator(id, incarnation, settings, clock, random);
    }

    EndpointId id() {
        return mId;
    }

    EjectionCoordinator coordinator() {
        return mCoordinator;
    }

    /** Tells whether the view of the service was made from these snapshots. */
    boolean isUpToDate(FleetSnapshot fleet, Configuration configuration) {
        return mFleet == fleet && mConfiguration == configuration;
    }

    void update(FleetSnapshot fleet, Configuration configuration, List<EndpointId> others) {
        mFleet = fleet;
        mConfiguration = configuration;
        mDigestReceivers = others;
    }

    /** Returns the other endpoints of the service. */
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
