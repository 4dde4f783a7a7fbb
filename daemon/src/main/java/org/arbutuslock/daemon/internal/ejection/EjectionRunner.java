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
import org.arbutuslock.internal.ejection.PledgeEnvelope;
import org.arbutuslock.internal.ejection.PledgeEnvelopeCodec;
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
    /** Time between two calls of {@link #tick()}. */
    public static final long TICK_MILLIS = 100;

    private static final EventLogger LOGGER = EventLogger.forComponent("ejection");
    // One more than a group needs to be compared, so that one of them may be sick.
    private static final int FEWEST_NEAR_RECEIVERS = 3;

    private final EventLoop mEventLoop;
    private final Clock mClock;
    private final EjectionSettings mSettings;
    private final LocalNode mLocalNode;
    private final LocalEndpoints mEndpoints;
    private final Supplier<FleetSnapshot> mFleet;
    private final ConfigurationHolder mConfiguration;
    private final PeerLinks mLinks;
    private final HealthMonitors mHealth;
    private final Map<EndpointId, EndpointGuard> mGuards = new HashMap<>();

    /**
     * Creates guards for no endpoint.
     *
     * @param eventLoop event loop to which all coordinators are confined
     * @param clock time of the coordinators
     * @param settings times of the pledge protocol
     * @param localNode identity of this node
     * @param endpoints endpoints of this host
     * @param fleet nodes that this node knows
     * @param configuration configuration in force
     * @param links sessions to other nodes
     * @param home sends probes
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
    public void changed(LocalEndpoints.Change change) {
        switch (change) {
            case LocalEndpoints.Change.Announced(EndpointId id) ->
                    mEventLoop.execute(() -> addGuard(id));
            case LocalEndpoints.Change.Departing(EndpointId id) ->
                    mEventLoop.execute(() -> depart(id, "the backend server departs"));
            case LocalEndpoints.Change.Left(EndpointId id) ->
                    mEventLoop.execute(() -> removeGuard(id));
            case LocalEndpoints.Change.StateChanged changed -> {}
        }
    }

    /**
     * Takes a message for an endpoint of this host. Any thread.
     *
     * @param envelope the message
     */
    public void receive(PledgeEnvelope envelope) {
        mEventLoop.execute(
                () -> {
                    EndpointGuard guard = mGuards.get(envelope.destination());
                    if (guard != null) {
                        apply(guard, guard.coordinator().receive(envelope.message()));
                    }
                });
    }

    /**
     * Takes evidence of a request. Any thread.
     *
     * @param id endpoint that executed it
     * @param observation the evidence
     */
    public void observed(EndpointId id, Observation observation) {
        mHealth.observed(id, observation);
    }

    /**
     * Takes the digest of another endpoint. Any thread.
     *
     * @param report the digest
     */
    public void receive(HealthReport report) {
        mHealth.receive(report);
    }

    /** Starts the departure of all endpoints of this host. Any thread. */
    public void departAll() {
        mEventLoop.execute(
                () -> List.copyOf(mGuards.keySet()).forEach(id -> depart(id, "the node departs")));
    }

    /** Lets time pass. Call it on the event loop every {@link #TICK_MILLIS}. */
    public void tick() {
        for (EndpointGuard guard : List.copyOf(mGuards.values())) {
            updateService(guard);
            HealthAssessment verdict = mHealth.evaluate(guard.id(), guard.others());
            apply(guard, guard.coordinator().observeVerdict(verdict));
            finishDeparture(guard);
        }
    }

    /** Snapshots change rarely compared with ticks; their references tell when they did. */
    private void updateService(EndpointGuard guard) {
        FleetSnapshot fleet = mFleet.get();
        Configuration configuration = mConfiguration.current();
        if (guard.hasSeen(fleet, configuration)) {
            return;
        }
        List<EndpointId> others = others(guard.id());
        guard.remember(fleet, configuration, digestReceivers(guard.id(), others));
        apply(
                guard,
                guard.coordinator().updateService(others, floor(guard.id(), others.size() + 1)));
    }

    /**
     * Asks something of the coordinator of a local endpoint. Any thread.
     *
     * @param id the endpoint
     * @param question runs on the event loop
     * @param <T> type of the answer
     * @return the answer, or empty when the endpoint is not on this host
     */
    public <T> CompletableFuture<Optional<T>> submit(
            EndpointId id, Function<EndpointControl, T> question) {
        return CompletableFuture.supplyAsync(
                () ->
                        Optional.ofNullable(mGuards.get(id))
                                .map(guard -> question.apply(new EndpointControl(guard))),
                mEventLoop);
    }

    private void addGuard(EndpointId id) {
        EndpointGuard guard =
                new EndpointGuard(
                        id, mSettings, mClock, () -> ThreadLocalRandom.current().nextLong());
        mGuards.put(id, guard);
        mHealth.add(id);
        publish(guard);
    }

    private void removeGuard(EndpointId id) {
        mGuards.remove(id);
        mHealth.remove(id);
    }

    private void depart(EndpointId id, String reason) {
        EndpointGuard guard = mGuards.get(id);
        if (guard != null && !guard.isDeparting()) {
            apply(guard, guard.depart(reason));
        }
    }

    private void finishDeparture(EndpointGuard guard) {
        boolean draining = guard.coordinator().state() == EndpointState.DRAINING;
        boolean idle = mEndpoints.find(guard.id()).map(EndpointRuntime::unfinished).orElse(0) == 0;
        if (guard.isDeparting() && draining && idle) {
            apply(guard, guard.coordinator().completeDrain());
            mEndpoints.remove(guard.id(), "departed");
        }
    }

    private List<EndpointId> others(EndpointId self) {
        return mFleet.get().membersOf(self.service()).stream()
                .filter(member -> !member.node().draining())
                .map(member -> member.endpoint().id())
                .filter(id -> !id.equals(self))
                .toList();
    }

    /** Keeps digests in the region, whose links cost less, where enough endpoints compare. */
    private List<EndpointId> digestReceivers(EndpointId self, List<EndpointId> others) {
        List<EndpointId> near =
                mFleet.get().membersOf(self.service()).stream()
                        .filter(member -> member.node().region().equals(mLocalNode.region()))
                        .map(member -> member.endpoint().id())
                        .filter(others::contains)
                        .toList();
        return near.size() >= FEWEST_NEAR_RECEIVERS ? near : others;
    }

    private int floor(EndpointId self, int known) {
        return mConfiguration
                .current()
                .service(self.service())
                .map(service -> service.requiredEndpoints(known))
                // Without a configuration the floor is not known, so that nobody may leave.
                .orElse(Integer.MAX_VALUE);
    }

    private void apply(EndpointGuard guard, Collection<EjectionAction> actions) {
        for (EjectionAction action : actions) {
            switch (action) {
                case EjectionAction.Send(EndpointId destination, var message) ->
                        send(new PledgeEnvelope(destination, message));
                case EjectionAction.ChangeState change -> {
                    if (change.previous() != change.state()) {
                        startTrial(guard, change.state());
                        LOGGER.log(
                                Event.ENDPOINT_STATE_CHANGED,
                                guard.id(),
                                change.previous(),
                                change.state(),
                                change.reason(),
                                change.evidence());
                    }
                    publish(guard);
                }
            }
        }
    }

    private void startTrial(EndpointGuard guard, EndpointState state) {
        if (state == EndpointState.TRIAL) {
            mHealth.startTrial(guard.id());
        }
    }

    private void publish(EndpointGuard guard) {
        mEndpoints.setState(
                guard.id(), guard.coordinator().state(), guard.coordinator().weightPercent());
    }

    private void send(PledgeEnvelope envelope) {
        send(
                envelope.destination(),
                () -> receive(envelope),
                PeerMessage.Channel.PLEDGES,
                () -> PledgeEnvelopeCodec.encode(envelope));
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

    /** What operators may ask of the coordinator of an endpoint. */
    public final class EndpointControl {
        private final EndpointGuard mGuard;

        private EndpointControl(EndpointGuard guard) {
            mGuard = guard;
        }

        /**
         * Names the endpoint.
         *
         * @return the endpoint
         */
        public EndpointId id() {
            return mGuard.id();
        }

        /**
         * Lists the newest decisions.
         *
         * @return decisions with their evidence, newest last
         */
        public List<EjectionDecision> explain() {
            return mGuard.coordinator().explain();
        }

        /**
         * Returns the state.
         *
         * @return current state
         */
        public EndpointState state() {
            return mGuard.coordinator().state();
        }

        /**
         * Tells whether an operator's drain waits or is in effect.
         *
         * @return true until the drain is withdrawn
         */
        public boolean isDrainRequested() {
            return mGuard.isDrainRequested();
        }

        /**
         * Asks for a drain that waits until the floor allows it.
         *
         * @param reason who wants it and why
         */
        public void drain(String reason) {
            apply(mGuard, mGuard.requestDrain(reason));
        }

        /**
         * Withdraws a drain.
         *
         * @param reason who withdraws it and why
         */
        public void cancelDrain(String reason) {
            apply(mGuard, mGuard.cancelDrain(reason));
        }
    }
}
