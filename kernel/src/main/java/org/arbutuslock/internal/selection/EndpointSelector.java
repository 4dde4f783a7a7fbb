package org.arbutuslock.internal.selection;

import java.util.List;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.WorkClass;

/**
 * Selects an endpoint by the power of two choices: draws two weighted random candidates from the
 * nearest uncongested group (zone, region, other regions) and takes the one that is expected to
 * respond first. Confined to one thread; candidate sets, path statistics and link budget may be
 * shared between threads.
 *
 * <pre>{@code
 * switch (selector.select(candidates, WorkClass.SHORT, tried, bytes)) {
 *     case SelectionResult.Chosen(Candidate candidate) -> submit(candidate);
 *     case SelectionResult.NoneAvailable(var reason) -> refuse(reason);
 * }
 * }</pre>
 */
public final class EndpointSelector {
    private static final SelectionResult NO_ENDPOINTS =
            new SelectionResult.NoneAvailable(SelectionResult.Reason.NO_ENDPOINTS);
    private static final SelectionResult NONE_IN_SERVICE =
            new SelectionResult.NoneAvailable(SelectionResult.Reason.NONE_IN_SERVICE);
    private static final SelectionResult ALL_EXCLUDED =
            new SelectionResult.NoneAvailable(SelectionResult.Reason.ALL_EXCLUDED);
    private static final SelectionResult LINK_BUDGET =
            new SelectionResult.NoneAvailable(SelectionResult.Reason.REGION_LINK_BUDGET);

    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final RegionLinkBudget mLinkBudget;
    private final DistancePenalties mPenalties;

    /**
     * Creates a selector.
     *
     * @param clock clock for the age of path statistics
     * @param random seeded source of the random choices
     * @param linkBudget limit of the bytes exchanged with other regions
     * @param penalties latencies that are equivalent to the cost of distance
     */
    public EndpointSelector(
            Clock clock,
            RandomGenerator random,
            RegionLinkBudget linkBudget,
            DistancePenalties penalties) {
        mPenalties = penalties;
        mClock = clock;
        mRandom = random;
        mLinkBudget = linkBudget;
    }

    /**
     * Selects an endpoint for one attempt of a request.
     *
     * @param candidates endpoints of the service
     * @param workClass work class of the request
     * @param excluded endpoints that must not be selected, because they were already tried
     * @param expectedBytes expected bytes of request and response; counted against the link budget
     *     when an endpoint in another region is selected
     * @return the selected endpoint, or the reason why there is none
     */
    public SelectionResult select(
            CandidateSet candidates,
            WorkClass workClass,
            List<EndpointId> excluded,
            long expectedBytes) {
        if (candidates.selectableCount() == 0) {
            return candidates.isEmpty() ? NO_ENDPOINTS : NONE_IN_SERVICE;
        }
        long now = mClock.nanoTime();
        boolean canAvoid = candidates.canAvoidFailedPaths(now);
        Candidate local = chooseInRegion(candidates, workClass, excluded, now, canAvoid);
        if (local != null && !shouldConsiderOtherRegions(local, workClass, now)) {
            return new SelectionResult.Chosen(local);
        }
        Candidate remote =
                chooseAt(
                        candidates.at(ZoneDistance.OTHER_REGION),
                        workClass,
                        excluded,
                        now,
                        canAvoid);
        Candidate better = faster(local, remote, workClass, now);
        if (better == null) {
            return ALL_EXCLUDED;
        }
        if (better == local || mLinkBudget.tryTake(expectedBytes)) {
            return new SelectionResult.Chosen(better);
        }
        return local == null ? LINK_BUDGET : new SelectionResult.Chosen(local);
    }

    private boolean shouldConsiderOtherRegions(Candidate local, WorkClass workClass, long now) {
        return workClass == WorkClass.SHORT
                && local.path().expectedNanos(workClass, now)
                        > ZoneDistance.OTHER_REGION.roundTripNanos() + mPenalties.regionNanos();
    }

    private Candidate chooseInRegion(
            CandidateSet candidates,
            WorkClass workClass,
            List<EndpointId> excluded,
            long now,
            boolean canAvoid) {
        Candidate near =
                chooseAt(candidates.at(ZoneDistance.SAME_ZONE), workClass, excluded, now, canAvoid);
        if (near != null && near.path().isUncongested(workClass, now)) {
            return near;
        }
        Candidate regional =
                chooseAt(
                        candidates.at(ZoneDistance.SAME_REGION),
                        workClass,
                        excluded,
                        now,
                        canAvoid);
        return faster(near, regional, workClass, now);
    }

    private Candidate faster(Candidate left, Candidate right, WorkClass workClass, long now) {
        if (left == null || right == null) {
            return left == null ? right : left;
        }
        return expectedResponseNanos(left, workClass, now)
                        <= expectedResponseNanos(right, workClass, now)
                ? left
                : right;
    }

    private long expectedResponseNanos(Candidate candidate, WorkClass workClass, long now) {
        return candidate.path().expectedNanos(workClass, now)
                + candidate.distance().roundTripNanos()
                + mPenalties.nanosFor(candidate.distance());
    }

    private Candidate chooseAt(
            Candidate[] group,
            WorkClass workClass,
            List<EndpointId> excluded,
            long now,
            boolean canAvoid) {
        Candidate first = drawByWeight(group, excluded, null, now, canAvoid);
        if (first == null) {
            return null;
        }
        Candidate second = drawByWeight(group, excluded, first, now, canAvoid);
        boolean replace =
                second != null
                        && expectedResponseNanos(second, workClass, now)
                                < expectedResponseNanos(first, workClass, now)
                        && acceptsByWeight(first, second, now, canAvoid);
        return replace ? second : first;
    }

    /**
     * Decides whether the second candidate may replace the first: with a probability of the ratio
     * of their weights if it has the lower weight. Otherwise an idle endpoint with a low weight
     * would win most comparisons in its group.
     */
    private boolean acceptsByWeight(Candidate first, Candidate second, long now, boolean canAvoid) {
        double firstWeight = first.weight() * first.path().weightFactor(now, canAvoid);
        double secondWeight = second.weight() * second.path().weightFactor(now, canAvoid);
        return secondWeight >= firstWeight || mRandom.nextDouble() * firstWeight < secondWeight;
    }

    /**
     * Draws a candidate with a probability proportional to its weight. Returns null when there is
     * none.
     */
    private Candidate drawByWeight(
            Candidate[] group,
            List<EndpointId> excluded,
            Candidate other,
            long now,
            boolean canAvoid) {
        double total = 0;
        Candidate drawn = null;
        for (Candidate candidate : group) {
            double factor = candidate.path().weightFactor(now, canAvoid);
            if (candidate == other || factor == 0 || excluded.contains(candidate.endpoint())) {
                continue;
            }
            double weight = candidate.weight() * factor;
            total += weight;
            if (mRandom.nextDouble() * total < weight) {
                drawn = candidate;
            }
        }
        return drawn;
    }
}
