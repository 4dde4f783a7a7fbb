package org.arbutuslock.internal.ejection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.detection.HealthAssessment;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against violations of single rules of {@code docs/ejection.md}, in situations that {@link
 * FloorTest} with its random faults reaches only by chance.
 */
public class EjectionCoordinatorTest {
    private static final HealthAssessment UNHEALTHY =
            new HealthAssessment.Unhealthy(0.9, "median 5.0 times that of the group");
    private static final HealthAssessment HEALTHY = new HealthAssessment.Healthy(0, "");
    private static final EndpointId SELF = new EndpointId("orders", "self");
    private static final EndpointId PEER = new EndpointId("orders", "peer");
    private static final long PEER_INCARNATION = 7;

    private ManualClock mClock;
    private EjectionCoordinator mCoordinator;
    private List<EjectionAction> mActions;

    @BeforeMethod
    public void startUp() {
        mClock = new ManualClock();
        mActions = new ArrayList<>();
        mCoordinator =
                new EjectionCoordinator(
                        SELF, 1, EjectionSettings.standard(), mClock, new SplittableRandom(1));
        mCoordinator.updateService(List.of(PEER), 1);
        pass(Duration.ofSeconds(6));
        assertEquals(mCoordinator.state(), EndpointState.IN_SERVICE);
    }

    /** The reservations expire during the pause, and a message arrives before the next tick. */
    @Test
    public void should_return_before_it_takes_a_message_after_a_pause() {
        eject();
        ReservationMessage late = grantOf(lastRequest());
        mClock.advance(Duration.ofSeconds(30));
        mActions = new ArrayList<>(mCoordinator.receive(late));
        assertEquals(mCoordinator.state(), EndpointState.REDUCED);
    }

    @Test
    public void should_stay_in_service_while_bound_and_leave_afterwards() {
        receive(request(PEER_INCARNATION, 1));
        observe(UNHEALTHY);
        passWithoutReplies(Duration.ofMillis(5900));
        assertEquals(mCoordinator.state(), EndpointState.REDUCED);
        String reason = mCoordinator.explain().getLast().reason();
        assertTrue(reason.contains("bound by a reservation"), reason);
        pass(Duration.ofMillis(200));
        assertEquals(mCoordinator.state(), EndpointState.EJECTED);
    }

    /** The release of an earlier incarnation arrives late, after the request of a later one. */
    @Test
    public void should_not_free_a_reservation_by_the_release_of_an_earlier_incarnation() {
        receive(request(PEER_INCARNATION, 9));
        receive(request(PEER_INCARNATION + 1, 5));
        receive(new ReservationMessage.Release(PEER, PEER_INCARNATION, 9));
        observe(UNHEALTHY);
        pass(Duration.ofSeconds(1));
        assertEquals(mCoordinator.state(), EndpointState.REDUCED);
    }

    @Test
    public void should_not_free_a_renewed_reservation_by_an_earlier_release() {
        receive(request(PEER_INCARNATION, 3));
        receive(request(PEER_INCARNATION, 2));
        receive(new ReservationMessage.Release(PEER, PEER_INCARNATION, 2));
        observe(UNHEALTHY);
        pass(Duration.ofSeconds(1));
        assertEquals(mCoordinator.state(), EndpointState.REDUCED);
    }

    @Test
    public void should_double_the_backoff_up_to_five_minutes() {
        eject();
        List<Long> seconds = new ArrayList<>();
        for (int round = 0; round < 7; round++) {
            long start = mClock.nanoTime();
            passUntil(state -> state == EndpointState.TRIAL);
            seconds.add(Math.round((mClock.nanoTime() - start) / 1e9));
            observe(UNHEALTHY);
        }
        assertEquals(seconds, List.of(10L, 20L, 40L, 80L, 160L, 300L, 300L));
    }

    @Test
    public void should_return_by_trial_and_ramp() {
        eject();
        passUntil(state -> state == EndpointState.TRIAL);
        observe(HEALTHY);
        passUntil(state -> state == EndpointState.REDUCED);
        assertEquals(mCoordinator.weightPercent(), EjectionCoordinator.MINIMUM_WEIGHT_PERCENT);
        assertTrue(sends(ReservationMessage.Release.class), "no reservation was released");
        pass(Duration.ofSeconds(5));
        assertTrue(mCoordinator.weightPercent() >= 50, "weight does not rise");
        passUntil(state -> state == EndpointState.IN_SERVICE);
    }

    @Test
    public void should_revoke_and_depart_after_three_seconds() {
        receive(request(PEER_INCARNATION, 1));
        mActions.clear();
        mActions.addAll(mCoordinator.depart("host is replaced"));
        assertTrue(sends(ReservationMessage.Revoked.class), "no reservation was revoked");
        receive(request(PEER_INCARNATION, 2));
        assertFalse(((ReservationMessage.Reply) last(ReservationMessage.Reply.class)).granted());
        passWithoutReplies(Duration.ofMillis(2900));
        assertEquals(mCoordinator.state(), EndpointState.IN_SERVICE);
        passWithoutReplies(Duration.ofMillis(200));
        assertEquals(mCoordinator.state(), EndpointState.DRAINING);
    }

    private void eject() {
        observe(UNHEALTHY);
        pass(Duration.ofMillis(200));
        assertEquals(mCoordinator.state(), EndpointState.EJECTED);
    }

    private void observe(HealthAssessment assessment) {
        applyWithReplies(mCoordinator.observeAssessment(assessment));
    }

    private void receive(ReservationMessage message) {
        mActions.addAll(mCoordinator.receive(message));
    }

    private void pass(Duration duration) {
        long end = mClock.nanoTime() + duration.toNanos();
        while (mClock.nanoTime() < end) {
            stepWithReplies();
        }
    }

    private void passUntil(Predicate<EndpointState> reached) {
        for (int step = 0; step < 10_000 && !reached.test(mCoordinator.state()); step++) {
            stepWithReplies();
        }
        assertTrue(reached.test(mCoordinator.state()), mCoordinator.explain().toString());
    }

    private void stepWithReplies() {
        mClock.advance(Duration.ofMillis(100));
        applyWithReplies(mCoordinator.tick());
    }

    private void applyWithReplies(List<EjectionAction> actions) {
        mActions.addAll(actions);
        for (EjectionAction action : actions) {
            if (action
                    instanceof EjectionAction.Send(var peer, ReservationMessage.Request request)) {
                assertEquals(peer, PEER);
                receive(grantOf(request));
            }
        }
    }

    private void passWithoutReplies(Duration duration) {
        long end = mClock.nanoTime() + duration.toNanos();
        while (mClock.nanoTime() < end) {
            mClock.advance(Duration.ofMillis(100));
            mActions.addAll(mCoordinator.tick());
        }
    }

    private static ReservationMessage request(long incarnation, long number) {
        return new ReservationMessage.Request(PEER, incarnation, number, 6_000);
    }

    private static ReservationMessage grantOf(ReservationMessage.Request request) {
        return new ReservationMessage.Reply(
                PEER,
                PEER_INCARNATION,
                request.requester(),
                request.requesterIncarnation(),
                request.number(),
                true,
                "");
    }

    private ReservationMessage.Request lastRequest() {
        return (ReservationMessage.Request) last(ReservationMessage.Request.class);
    }

    private boolean sends(Class<? extends ReservationMessage> type) {
        return last(type) != null;
    }

    private ReservationMessage last(Class<? extends ReservationMessage> type) {
        ReservationMessage last = null;
        for (EjectionAction action : mActions) {
            if (action instanceof EjectionAction.Send send && type.isInstance(send.message())) {
                last = send.message();
            }
        }
        return last;
    }
}
