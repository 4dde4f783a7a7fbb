package org.arbutuslock.daemon.internal.ejection;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.daemon.internal.home.EndpointRuntime;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.daemon.internal.home.LocalEndpoints;
import org.arbutuslock.daemon.internal.home.Observation;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.detection.HealthAssessment;
import org.arbutuslock.internal.detection.HealthReport;
import org.arbutuslock.internal.detection.HealthReportCodec;
import org.arbutuslock.internal.ejection.EjectionAction;
import org.arbutuslock.internal.ejection.EjectionDecision;
import org.arbutuslock.internal.ejection.EjectionSettings;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.ejection.ReservationEnvelope;
import org.arbutuslock.internal.ejection.ReservationEnvelopeCodec;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.messages.PeerMessage;

/**
 * Runs the ejection coordinators of all endpoints of this host on one event loop and carries out
 * their actions.
 */
public final class EjectionRunner {
    /** Milliseconds between two calls of {@link #tick()}. */
    public static final long TICK_MILLIS = 100;

    private static final EventLogger LOGGER = EventLogger.forComponent("ejection");
    // One more than the two endpoints that a comparison with the group needs, so that one of the
    // receivers may be unhealthy.
    private static final int MINIMUM_REGION_RECEIVERS = 3;

    private final EventLoop mEventLoop;
    private final Clock mClock;
    private final EjectionSettings mSettings;
    private final LocalNode mLocalNode;
    private final LocalEndpoints mEndpoints;
    private final Supplier<FleetSnapshot> mFleet;
    private final ConfigurationHolder mConfiguration;
    private final PeerLinks mLinks;
    private final HealthMonitors mHealth;
    private final Map<EndpointId, ManagedEndpoint> mManagedEndpoints = new HashMap<>();

    /**
     * Creates a runner without endpoints.
     *
     * @param eventLoop event loop to which all coordinators are confined
     * @param clock clock of the coordinators and detectors
     * @param settings durations of the reservation protocol
     * @param localNode identity of this node
     * @param endpoints endpoints of this host
     * @param fleet supplies the current view of the fleet
     * @param configuration holds the configuration in force
     * @param links sessions to other nodes
     * @param home home service, which sends the probes
     */
    public EjectionRunner(
            EventLoop eventLoop,
            Clock clock,
            EjectionSettings settings,
            LocalNode localNode,
            LocalEndpoints endpoints,
            Supplier<FleetSnapshot> fleet,
            ConfigurationHolder configuration,
            PeerLinks links,
            HomeService home) {
        mEventLoop = eventLoop;
        mClock = clock;
        mSettings = settings;
        mLocalNode = localNode;
        mEndpoints = endpoints;
        mFleet = fleet;
        mConfiguration = configuration;
        mLinks = links;
        mHealth = new HealthMonitors(eventLoop, clock, localNode, home, this::send);
    }

    /**
     * Handles a change of the endpoints of this host. Any thread.
     *
     * @param change what changed
     */
    public void onEndpointChange(LocalEndpoints.Change change) {
        switch (change) {
            case LocalEndpoints.Change.Announced(EndpointId id) ->
                    mEventLoop.execute(() -> addEndpoint(id));
            case LocalEndpoints.Change.Departing(EndpointId id) ->
                    mEventLoop.execute(() -> depart(id, "the backend server is departing"));
            case LocalEndpoints.Change.Left(EndpointId id) ->
                    mEventLoop.execute(() -> removeEndpoint(id));
            case LocalEndpoints.Change.StateChanged changed -> {}
        }
    }

    /**
     * Handles a reservation message for an endpoint of this host, and ignores one for any other
     * endpoint. Any thread.
     *
     * @param envelope the message with its addressing
     */
    public void receive(ReservationEnvelope envelope) {
        mEventLoop.execute(
                () -> {
                    ManagedEndpoint endpoint = mManagedEndpoints.get(envelope.destination());
                    if (endpoint != null) {
                        apply(endpoint, endpoint.coordinator().receive(envelope.message()));
                    }
                });
    }

    /**
     * Records an observation of a request. Any thread.
     *
     * @param id endpoint that executed the request
     * @param observation the observation
     */
    public void observe(EndpointId id, Observation observation) {
        mHealth.observe(id, observation);
    }

    /**
     * Records the health digest of another endpoint. Any thread.
     *
     * @param report the digest with its addressing
     */
    public void receive(HealthReport report) {
        mHealth.receive(report);
    }

    /** Starts the departure of all endpoints of this host. Any thread. */
    public void departAll() {
        mEventLoop.execute(
                () ->
                        List.copyOf(mManagedEndpoints.keySet())
                                .forEach(id -> depart(id, "the node is departing")));
    }

    /** Runs all coordinators. Must be called on the event loop every {@link #TICK_MILLIS}. */
    public void tick() {
        for (ManagedEndpoint endpoint : List.copyOf(mManagedEndpoints.values())) {
            updateService(endpoint);
            HealthAssessment assessment =
                    mHealth.evaluate(endpoint.id(), endpoint.digestReceivers());
            apply(endpoint, endpoint.coordinator().observeAssessment(assessment));
            finishDeparture(endpoint);
        }
    }

    /**
     * Passes the current members and floor of the service to the coordinator. It does nothing while
     * the snapshots are the same objects as in the last tick, as they are in most ticks.
     */
    private void updateService(ManagedEndpoint endpoint) {
        FleetSnapshot fleet = mFleet.get();
        Configuration configuration = mConfiguration.current();
        if (endpoint.isUpToDate(fleet, configuration)) {
            return;
        }
        List<EndpointId> others = others(endpoint.id());
        endpoint.update(fleet, configuration, digestReceivers(endpoint.id(), others));
        apply(
                endpoint,
                endpoint.coordinator()
                        .updateService(others, floor(endpoint.id(), others.size() + 1)));
    }

    /**
     * Runs an operation on a local endpoint on the event loop. Any thread.
     *
     * @param id the endpoint
     * @param operation operation to run on the event loop
     * @param <T> type of the result
     * @return the result, or empty when the endpoint is not on this host
     */
    public <T> CompletableFuture<Optional<T>> submit(
            EndpointId id, Function<EndpointControl, T> operation) {
        return CompletableFuture.supplyAsync(
                () ->
                        Optional.ofNullable(mManagedEndpoints.get(id))
                                .map(endpoint -> operation.apply(new EndpointControl(endpoint))),
                mEventLoop);
    }

    private void addEndpoint(EndpointId id) {
        ManagedEndpoint endpoint =
                new ManagedEndpoint(
                        id, mSettings, mClock, () -> ThreadLocalRandom.current().nextLong());
        mManagedEndpoints.put(id, endpoint);
        mHealth.add(id);
        publish(endpoint);
    }

    private void removeEndpoint(EndpointId id) {
        mManagedEndpoints.remove(id);
        mHealth.remove(id);
    }

    private void depart(EndpointId id, String reason) {
        ManagedEndpoint endpoint = mManagedEndpoints.get(id);
        if (endpoint != null && !endpoint.isDeparting()) {
            apply(endpoint, endpoint.depart(reason));
        }
    }

    private void finishDeparture(ManagedEndpoint endpoint) {
        boolean draining = endpoint.coordinator().state() == EndpointState.DRAINING;
        boolean idle =
                mEndpoints.find(endpoint.id()).map(EndpointRuntime::unfinished).orElse(0) == 0;
        if (endpoint.isDeparting() && draining && idle) {
            apply(endpoint, endpoint.coordinator().completeDrain());
            mEndpoints.remove(endpoint.id(), "departed");
        }
    }

    private List<EndpointId> others(EndpointId self) {
        return mFleet.get().membersOf(self.service()).stream()
                .filter(member -> !member.node().draining())
                .map(member -> member.endpoint().id())
                .filter(id -> !id.equals(self))
                .toList();
    }

    /**
     * Returns the endpoints in this region if they are enough for a comparison, because links
     * within a region cost less. Otherwise returns all other endpoints.
     */
    private List<EndpointId> digestReceivers(EndpointId self, List<EndpointId> others) {
        List<EndpointId> near =
                mFleet.get().membersOf(self.service()).stream()
                        .filter(member -> member.node().region().equals(mLocalNode.region()))
                        .map(member -> member.endpoint().id())
                        .filter(others::contains)
                        .toList();
        return near.size() >= MINIMUM_REGION_RECEIVERS ? near : others;
    }

    private int floor(EndpointId self, int known) {
        return mConfiguration
                .current()
                .service(self.service())
                .map(service -> service.requiredEndpoints(known))
                // Without a configuration the floor is unknown, so no endpoint may leave.
                .orElse(Integer.MAX_VALUE);
    }

    private void apply(ManagedEndpoint endpoint, Collection<EjectionAction> actions) {
        for (EjectionAction action : actions) {
            switch (action) {
                case EjectionAction.Send(EndpointId destination, var message) ->
                        send(new ReservationEnvelope(destination, message));
                case EjectionAction.ChangeState change -> {
                    if (change.previous() != change.state()) {
                        startTrial(endpoint, change.state());
                        LOGGER.log(
                                Event.ENDPOINT_STATE_CHANGED,
                                endpoint.id(),
                                change.previous(),
                                change.state(),
                                change.reason(),
                                change.evidence());
                    }
                    publish(endpoint);
                }
            }
        }
    }

    private void startTrial(ManagedEndpoint endpoint, EndpointState state) {
        if (state == EndpointState.TRIAL) {
            mHealth.startTrial(endpoint.id());
        }
    }

    private void publish(ManagedEndpoint endpoint) {
        mEndpoints.setState(
                endpoint.id(),
                endpoint.coordinator().state(),
                endpoint.coordinator().weightPercent());
    }

    private void send(ReservationEnvelope envelope) {
        send(
                envelope.destination(),
                () -> receive(envelope),
                PeerMessage.Channel.RESERVATIONS,
                () -> ReservationEnvelopeCodec.encode(envelope));
    }

    private void send(HealthReport report) {
        send(
                report.destination(),
                () -> receive(report),
                PeerMessage.Channel.HEALTH,
                () -> HealthReportCodec.encode(report));
    }

    private void send(
            EndpointId destination,
            Runnable deliverHere,
            PeerMessage.Channel channel,
            Supplier<byte[]> encoded) {
        Optional<FleetSnapshot.Member> member = mFleet.get().findMember(destination);
        if (member.isEmpty()) {
            return;
        }
        NodeRecord node = member.get().node();
        if (node.node().equals(mLocalNode.name())) {
            deliverHere.run();
        } else {
            mLinks.send(node.peerAddress(), channel, encoded.get());
        }
    }

    /** Operations on one endpoint, confined to the event loop. */
    public final class EndpointControl {
        private final ManagedEndpoint mEndpoint;

        private EndpointControl(ManagedEndpoint endpoint) {
            mEndpoint = endpoint;
        }

        /**
         * Returns the endpoint that this object controls.
         *
         * @return id of the endpoint
         */
        public EndpointId id() {
            return mEndpoint.id();
        }

        /**
         * Returns the last decisions, at most 64.
         *
         * @return decisions with their evidence, oldest first
         */
        public List<EjectionDecision> explain() {
            return mEndpoint.coordinator().explain();
        }

        /**
         * Returns the current state of the endpoint.
         *
         * @return the state after the last tick or operation
         */
        public EndpointState state() {
            return mEndpoint.coordinator().state();
        }

        /**
         * Returns whether an operator's drain is pending or in effect.
         *
         * @return true from the request of the drain until it is cancelled
         */
        public boolean isDrainRequested() {
            return mEndpoint.isDrainRequested();
        }

        /**
         * Requests a drain, which starts when the floor allows it.
         *
         * @param reason who requested the drain and why
         */
        public void drain(String reason) {
            apply(mEndpoint, mEndpoint.requestDrain(reason));
        }

        /**
         * Cancels a drain. A draining endpoint returns to service, unless it departs.
         *
         * @param reason who cancelled the drain and why
         */
        public void cancelDrain(String reason) {
            apply(mEndpoint, mEndpoint.cancelDrain(reason));
        }
    }
}
