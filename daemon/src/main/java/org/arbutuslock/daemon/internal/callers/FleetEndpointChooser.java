package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.selection.Candidate;
import org.arbutuslock.internal.selection.CandidateSet;
import org.arbutuslock.internal.selection.CandidateState;
import org.arbutuslock.internal.selection.DistancePenalties;
import org.arbutuslock.internal.selection.EndpointSelector;
import org.arbutuslock.internal.selection.LoadReport;
import org.arbutuslock.internal.selection.PathStatistics;
import org.arbutuslock.internal.selection.RegionLinkBudget;
import org.arbutuslock.internal.selection.SelectionResult;
import org.arbutuslock.internal.selection.ZoneDistance;

/**
 * Chooses endpoints from the fleet snapshot, using the path statistics that this node has collected
 * itself. Thread safe.
 */
public final class FleetEndpointChooser implements EndpointChooser {
    private static final long EXPECTED_SHORT_BYTES = 4 * 1024;
    private static final long EXPECTED_LONG_BYTES = 1024 * 1024;
    // An endpoint on trial gets about one in 50 idempotent first attempts of this node.
    private static final int TRIAL_INTERVAL = 50;

    private final LocalNode mLocalNode;
    private final Clock mClock;
    private final Supplier<FleetSnapshot> mFleet;
    private final ConfigurationHolder mConfiguration;
    private final RegionLinkBudget mLinkBudget;
    private final ThreadLocal<SplittableRandom> mRandom;
    private final ThreadLocal<EndpointSelector> mSelector;
    private final ConcurrentHashMap<EndpointId, PathStatistics> mPaths = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, ServiceView> mViews = new ConcurrentHashMap<>();

    /**
     * Creates a chooser with empty path statistics.
     *
     * @param localNode identity of this node
     * @param clock clock of the path statistics
     * @param fleet supplies the nodes that this node knows
     * @param configuration configuration in force
     * @param linkBudget bytes that this node may transfer between regions
     * @param penalties latencies that are equivalent to the cost of distance
     * @param seed seed of the random choices
     */
    public FleetEndpointChooser(
            LocalNode localNode,
            Clock clock,
            Supplier<FleetSnapshot> fleet,
            ConfigurationHolder configuration,
            RegionLinkBudget linkBudget,
            DistancePenalties penalties,
            long seed) {
        mLocalNode = localNode;
        mClock = clock;
        mFleet = fleet;
        mConfiguration = configuration;
        mLinkBudget = linkBudget;
        mRandom =
                ThreadLocal.withInitial(
                        () -> new SplittableRandom(seed + Thread.currentThread().threadId()));
        mSelector =
                ThreadLocal.withInitial(
                        () ->
                                new EndpointSelector(
                                        clock, mRandom.get().split(), linkBudget, penalties));
    }

    @Override
    public Optional<FleetSnapshot.Member> choose(
            RouteDefinition route, boolean idempotent, Set<EndpointId> tried) {
        ServiceView view = currentView(route.service());
        if (idempotent && tried.isEmpty() && !view.mOnTrial.isEmpty()) {
            int draw = mRandom.get().nextInt(TRIAL_INTERVAL);
            if (draw < view.mOnTrial.size()) {
                FleetSnapshot.Member onTrial = view.mOnTrial.get(draw);
                if (isInOtherRegion(onTrial)) {
                    mLinkBudget.take(expectedBytes(route));
                }
                return Optional.of(onTrial);
            }
        }
        SelectionResult result =
                mSelector
                        .get()
                        .select(
                                view.mCandidates,
                                route.workClass(),
                                List.copyOf(tried),
                                expectedBytes(route));
        return switch (result) {
            case SelectionResult.Chosen(Candidate candidate) -> view.find(candidate.endpoint());
            case SelectionResult.NoneAvailable none -> Optional.empty();
        };
    }

    @Override
    public void started(FleetSnapshot.Member member, RouteDefinition route) {
        path(member.endpoint().id()).recordSubmit();
    }

    @Override
    public void finished(
            FleetSnapshot.Member member,
            RouteDefinition route,
            Duration latency,
            AttemptResult result,
            LoadReport load,
            long bytes) {
        PathStatistics path = path(member.endpoint().id());
        switch (result) {
            case COMPLETE -> path.recordResponse(route.workClass(), latency.toNanos(), load);
            case FAILURE_RESPONSE, REFUSED -> path.recordRefusal(load);
            case SUSPECT -> {
                path.recordSuspectRefusal();
                path.recordRefusal(load);
            }
            case PATH_FAILED -> path.recordPathFailure();
            case SERVER_FAILED -> path.recordInconclusive();
        }
        if (isInOtherRegion(member)) {
            mLinkBudget.settle(expectedBytes(route), bytes);
        }
    }

    private boolean isInOtherRegion(FleetSnapshot.Member member) {
        return distance(member.node()) == ZoneDistance.OTHER_REGION;
    }

    private PathStatistics path(EndpointId endpoint) {
        return mPaths.computeIfAbsent(endpoint, id -> new PathStatistics(mClock));
    }

    private ServiceView currentView(String service) {
        FleetSnapshot fleet = mFleet.get();
        Configuration configuration = mConfiguration.current();
        ServiceView view = mViews.get(service);
        if (view != null && view.mFleet == fleet && view.mConfiguration == configuration) {
            return view;
        }
        ServiceView fresh = new ServiceView(service, fleet, configuration);
        mViews.put(service, fresh);
        return fresh;
    }

    private ZoneDistance distance(NodeRecord node) {
        return mLocalNode.distanceTo(node.region(), node.availabilityZone());
    }

    private static long expectedBytes(RouteDefinition route) {
        return route.workClass() == WorkClass.SHORT ? EXPECTED_SHORT_BYTES : EXPECTED_LONG_BYTES;
    }

    /** Cached candidates of one service, valid for one fleet snapshot and one configuration. */
    private final class ServiceView {
        private final FleetSnapshot mFleet;
        private final Configuration mConfiguration;
        private final List<FleetSnapshot.Member> mMembers;
        private final List<FleetSnapshot.Member> mOnTrial = new ArrayList<>();
        private final CandidateSet mCandidates;

        private ServiceView(String service, FleetSnapshot fleet, Configuration configuration) {
            mFleet = fleet;
            mConfiguration = configuration;
            mMembers = fleet.membersOf(service);
            List<Candidate> candidates = new ArrayList<>();
            for (FleetSnapshot.Member member : mMembers) {
                candidates.add(toCandidate(member));
                if (member.endpoint().state() == EndpointState.TRIAL) {
                    mOnTrial.add(member);
                }
            }
            int floor =
                    configuration
                            .service(service)
                            .map(defined -> defined.requiredEndpoints(mMembers.size()))
                            .orElse(0);
            mCandidates = new CandidateSet(candidates, floor);
        }

        private Candidate toCandidate(FleetSnapshot.Member member) {
            EndpointState state = member.endpoint().state();
            boolean takesWork = state.takesWork() && !member.node().draining();
            CandidateState candidateState =
                    takesWork ? CandidateState.IN_SERVICE : CandidateState.EJECTED;
            return new Candidate(
                    member.endpoint().id(),
                    member.node().node(),
                    distance(member.node()),
                    member.endpoint().weightPercent(),
                    candidateState,
                    path(member.endpoint().id()));
        }

        private Optional<FleetSnapshot.Member> find(EndpointId id) {
            for (FleetSnapshot.Member member : mMembers) {
                if (member.endpoint().id().equals(id)) {
                    return Optional.of(member);
                }
            }
            return Optional.empty();
        }
    }
}
