package org.arbutuslock.internal.selection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.WorkClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests that are sent to a slow, failed or distant endpoint, because weight,
 * load, zone or link budget is ignored.
 */
public class EndpointSelectorTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 20_261_204L);
    private static final long MILLI = 1_000_000L;
    private static final LoadReport IDLE = new LoadReport(0, 5, 0, 0);
    private static final LoadReport BUSY = new LoadReport(40, 5, 200 * MILLI, 900 * MILLI);

    private ManualClock mClock;
    private EndpointSelector mSelector;
    private List<Candidate> mCandidates;

    @BeforeMethod
    public void createFixtures() {
        System.out.println("EndpointSelectorTest seed " + SEED);
        mClock = new ManualClock();
        mSelector = createSelector(DistancePenalties.NONE);
        mCandidates = new ArrayList<>();
    }

    private EndpointSelector createSelector(DistancePenalties penalties) {
        RegionLinkBudget budget = new RegionLinkBudget(mClock, 1000, Duration.ofSeconds(1));
        return new EndpointSelector(mClock, new SplittableRandom(SEED), budget, penalties);
    }

    private Candidate add(ZoneDistance distance, int weight, LoadReport report) {
        PathStatistics path = new PathStatistics(mClock);
        path.recordSubmit();
        path.recordResponse(WorkClass.SHORT, 20 * MILLI, report);
        String name = "server-" + mCandidates.size();
        Candidate candidate =
                new Candidate(
                        new EndpointId("order-hub", name),
                        name,
                        distance,
                        weight,
                        CandidateState.IN_SERVICE,
                        path);
        mCandidates.add(candidate);
        return candidate;
    }

    /** Guards against requests that leave their zone although waiting there costs less. */
    @Test
    public void should_stay_in_the_zone_until_waiting_costs_more_than_the_penalty() {
        mSelector = createSelector(DistancePenalties.ofMillis(300, 800));
        Candidate near = add(ZoneDistance.SAME_ZONE, 100, waiting(250));
        Candidate regional = add(ZoneDistance.SAME_REGION, 100, IDLE);
        add(ZoneDistance.OTHER_REGION, 100, IDLE);
        assertEquals(countChosen(near, 1), 1000);
        near.path().recordSubmit();
        near.path().recordResponse(WorkClass.SHORT, 20 * MILLI, waiting(350));
        assertEquals(countChosen(regional, 1), 1000);
    }

    /** Guards against work that waits in a region although another one has room. */
    @Test
    public void should_leave_the_region_when_waiting_costs_more_than_the_penalty() {
        mSelector = createSelector(DistancePenalties.ofMillis(300, 800));
        add(ZoneDistance.SAME_ZONE, 100, waiting(1_500));
        add(ZoneDistance.SAME_REGION, 100, waiting(1_500));
        Candidate remote = add(ZoneDistance.OTHER_REGION, 100, IDLE);
        assertEquals(select(WorkClass.SHORT, 1), new SelectionResult.Chosen(remote));
    }

    private static LoadReport waiting(long millis) {
        return new LoadReport(1, 5, millis * MILLI, millis * MILLI);
    }

    /** Guards against an endpoint that is never selected because it has no latency samples. */
    @Test
    public void should_try_endpoint_without_samples() {
        add(ZoneDistance.SAME_ZONE, 100, IDLE);
        Candidate unmeasured = addUnmeasured();
        assertTrue(countChosen(unmeasured, 1) > 900);
    }

    /** Guards against an endpoint that is never selected again because it was slow once. */
    @Test
    public void should_try_slow_endpoint_again_after_a_while() {
        Candidate slow = addUnmeasured();
        for (int sample = 0; sample < 100; sample++) {
            slow.path().recordSubmit();
            slow.path().recordResponse(WorkClass.SHORT, 2_000 * MILLI, IDLE);
        }
        Candidate fast = add(ZoneDistance.SAME_ZONE, 100, IDLE);
        assertEquals(countChosen(slow, 1), 0);
        mClock.advance(Duration.ofSeconds(100));
        for (int sample = 0; sample < 100; sample++) {
            fast.path().recordSubmit();
            fast.path().recordResponse(WorkClass.SHORT, 20 * MILLI, IDLE);
        }
        assertTrue(countChosen(slow, 1) > 0);
    }

    private Candidate addUnmeasured() {
        String name = "unmeasured-" + mCandidates.size();
        Candidate candidate =
                new Candidate(
                        new EndpointId("order-hub", name),
                        name,
                        ZoneDistance.SAME_ZONE,
                        100,
                        CandidateState.IN_SERVICE,
                        new PathStatistics(mClock));
        mCandidates.add(candidate);
        return candidate;
    }

    private SelectionResult select(WorkClass workClass, int floor, EndpointId... excluded) {
        CandidateSet set = new CandidateSet(mCandidates, floor);
        return mSelector.select(set, workClass, List.of(excluded), 600);
    }

    private int countChosen(Candidate wanted, int floor) {
        int count = 0;
        for (int round = 0; round < 1000; round++) {
            boolean chosen =
                    select(WorkClass.SHORT, floor).equals(new SelectionResult.Chosen(wanted));
            count += chosen ? 1 : 0;
        }
        return count;
    }

    /**
     * Guards against needless traffic between zones, and against a congested zone that keeps all
     * requests.
     */
    @Test
    public void should_leave_zone_only_when_it_is_congested() {
        Candidate near = add(ZoneDistance.SAME_ZONE, 100, IDLE);
        Candidate regional = add(ZoneDistance.SAME_REGION, 100, IDLE);
        assertEquals(countChosen(near, 1), 1000);
        near.path().recordSubmit();
        near.path().recordRefusal(BUSY);
        assertEquals(countChosen(regional, 1), 1000);
    }

    /**
     * Guards against traffic between regions that exceeds its budget, and against long requests to
     * other regions while the own region has an endpoint.
     */
    @Test
    public void should_cross_regions_for_short_work_within_budget() {
        Candidate near = add(ZoneDistance.SAME_ZONE, 100, BUSY);
        Candidate remote = add(ZoneDistance.OTHER_REGION, 100, IDLE);
        assertEquals(select(WorkClass.LONG, 1), new SelectionResult.Chosen(near));
        assertEquals(select(WorkClass.SHORT, 1), new SelectionResult.Chosen(remote));
        assertEquals(select(WorkClass.SHORT, 1), new SelectionResult.Chosen(near));
        assertEquals(
                select(WorkClass.SHORT, 1, near.endpoint()),
                new SelectionResult.NoneAvailable(SelectionResult.Reason.REGION_LINK_BUDGET));
        mClock.advance(Duration.ofSeconds(1));
        assertEquals(
                select(WorkClass.LONG, 1, near.endpoint()), new SelectionResult.Chosen(remote));
    }

    /**
     * Guards against an entry node that avoids so many paths that fewer endpoints than the floor
     * remain.
     */
    @Test
    public void should_reduce_bad_path_to_zero_only_above_floor() {
        Candidate bad = add(ZoneDistance.SAME_ZONE, 100, IDLE);
        add(ZoneDistance.SAME_ZONE, 100, IDLE);
        for (int failure = 0; failure < 3; failure++) {
            bad.path().recordConnectionFailure();
        }
        assertEquals(countChosen(bad, 1), 0);
        int chosenAtFloor = countChosen(bad, 2);
        assertTrue(chosenAtFloor > 0 && chosenAtFloor < 300, "chosen " + chosenAtFloor);
    }

    /**
     * Guards against a cold endpoint with a low weight that gets as many requests as the others.
     */
    @Test
    public void should_respect_weight_when_light_endpoint_is_faster() {
        add(ZoneDistance.SAME_ZONE, 100, new LoadReport(1, 5, 10 * MILLI, 0));
        Candidate light = add(ZoneDistance.SAME_ZONE, 10, IDLE);
        int chosen = countChosen(light, 1);
        assertTrue(chosen > 50 && chosen < 250, "chosen " + chosen);
    }

    /** Guards against a result with the wrong reason when no endpoint can be selected. */
    @Test
    public void should_return_reason_when_none_is_available() {
        assertEquals(
                select(WorkClass.SHORT, 1),
                new SelectionResult.NoneAvailable(SelectionResult.Reason.NO_ENDPOINTS));
        add(ZoneDistance.SAME_ZONE, 0, IDLE);
        assertEquals(
                select(WorkClass.SHORT, 1),
                new SelectionResult.NoneAvailable(SelectionResult.Reason.NONE_IN_SERVICE));
        Candidate only = add(ZoneDistance.SAME_ZONE, 100, IDLE);
        assertEquals(
                select(WorkClass.SHORT, 1, only.endpoint()),
                new SelectionResult.NoneAvailable(SelectionResult.Reason.ALL_EXCLUDED));
    }
}
