package org.arbutuslock.internal.selection;

import java.util.List;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.WorkClass;

/**
 * Chooses an endpoint: the one of two random candidates that is expected to respond first, in the
 * nearest group that is not congested. Confined to one thread; snapshots, path statistics and link
 * budget are shared.
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
    private final long mRegionPenaltyNanos;

    /**
     * Creates a selector.
     *
     * @param clock time for the age of observations
     * @param random seeded source of the random choices
     * @param regionPenaltyNanos time that the price of a request to another region is worth
     * @param linkBudget bytes that may be sent to other regions
     */
    public EndpointSelector(
            Clock clock,
            RandomGenerator random,
            RegionLinkBudget linkBudget,
            long regionPenaltyNanos) {
        mRegionPenaltyNanos = regionPenaltyNanos;
        mClock = clock;
        mRandom = random;
        mLinkBudget = linkBudget;
    }

    /**
     * Chooses an endpoint for one attempt.
     *
     * @param candidates endpoints of the service
     * @param workClass class of the request
     * @param excluded endpoints that must not be chosen, because they were tried before
     * @param expectedBytes bytes of request and response, for the link between regions
     * @return the choice, or why there is none
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
        boolean mayAvoid = candidates.mayAvoidBadPaths(now);
        Candidate local = chooseInRegion(candidates, workClass, excluded, now, mayAvoid);
        if (local != null && !shouldConsiderRegions(local, workClass, now)) {
            return new SelectionResult.Chosen(local);
        }
        Candidate remote =
                chooseAt(
                        candidates.at(ZoneDistance.OTHER_REGION),
                        workClass,
                        excluded,
                        now,
                        mayAvoid);
        Candidate better = faster(local, remote, workClass, now);
        if (better == null) {
            return ALL_EXCLUDED;
        }
        if (better == local || mLinkBudget.tryTake(expectedBytes)) {
            return new SelectionResult.Chosen(better);
        }
        return local == null ? LINK_BUDGET : new SelectionResult.Chosen(local);
    }

    private boolean shouldConsiderRegions(Candidate local, WorkClass workClass, long now) {
        return workClass == WorkClass.SHORT
                && local.path().expectedNanos(workClass, now)
                        > ZoneDistance.OTHER_REGION.roundTripNanos() + mRegionPenaltyNanos;
    }

    private Candidate chooseInRegion(
            CandidateSet candidates,
            WorkClass workClass,
            List<EndpointId> excluded,
            long now,
            boolean mayAvoid) {
        Candidate near =
                chooseAt(candidates.at(ZoneDistance.SAME_ZONE), workClass, excluded, now, mayAvoid);
        if (near != null && near.path().isUncongested(workClass, now)) {
            return near;
        }
        Candidate regional =
                chooseAt(
                        candidates.at(ZoneDistance.SAME_REGION),
                        workClass,
                        excluded,
                        now,
                        mayAvoid);
        return faster(near, regional, workClass, now);
    }

    private Candidate faster(Candidate left, Candidate right, WorkClass workClass, long now) {
        if (left == null || right == null) {
            return left == null ? right : left;
        }
        return expected(left, workClass, now) <= expected(right, workClass, now) ? left : right;
    }

    private long expected(Candidate candidate, WorkClass workClass, long now) {
        long expected =
                candidate.path().expectedNanos(workClass, now)
                        + candidate.distance().roundTripNanos();
        return candidate.distance() == ZoneDistance.OTHER_REGION
                ? expected + mRegionPenaltyNanos
                : expected;
    }

    private Candidate chooseAt(
            Candidate[] group,
            WorkClass workClass,
            List<EndpointId> excluded,
            long now,
            boolean mayAvoid) {
        Candidate first = drawOne(group, excluded, null, now, mayAvoid);
        if (first == null) {
            return null;
        }
        Candidate second = drawOne(group, excluded, first, now, mayAvoid);
        boolean replace =
                second != null
                        && expected(second, workClass, now) < expected(first, workClass, now)
                        && keepsShare(first, second, now, mayAvoid);
        return replace ? second : first;
    }

    /** Without this, an idle endpoint of small weight would win most comparisons of a group. */
    private boolean keepsShare(Candidate first, Candidate second, long now, boolean mayAvoid) {
        double firstWeight = first.weight() * first.path().weightFactor(now, mayAvoid);
        double secondWeight = second.weight() * second.path().weightFactor(now, mayAvoid);
        return secondWeight >= firstWeight || mRandom.nextDouble() * firstWeight < secondWeight;
    }

    /** Draws a candidate with a probability in proportion to its weight, or null. */
    private Candidate drawOne(
            Candidate[] group,
            List<EndpointId> excluded,
            Candidate other,
            long now,
            boolean mayAvoid) {
        double total = 0;
        Candidate drawn = null;
        for (Candidate candidate : group) {
            double factor = candidate.path().weightFactor(now, mayAvoid);
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
