package org.arbutuslock.internal.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.execution.RefusalReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an admission controller that shares a backend server unfairly, refuses requests
 * too late or queues more than it may.
 */
public class AdmissionControllerTest {
    private static final Duration RAMP = Duration.ofSeconds(2);

    private ManualClock mClock;

    @BeforeMethod
    public void createClock() {
        mClock = new ManualClock();
    }

    private AdmissionController<String> createWarm(int slots, int overcommit, int capacity) {
        int reserve = AdmissionSettings.forSlots(slots).shortReserve();
        Duration decision = Duration.ofMillis(40);
        AdmissionController<String> controller =
                new AdmissionController<>(
                        mClock,
                        new AdmissionSettings(
                                slots, overcommit, capacity, reserve, RAMP, decision));
        mClock.advance(RAMP);
        return controller;
    }

    private Ticket<String> ticket(WorkClass workClass, int priority, String tenant, int weight) {
        long deadline = mClock.nanoTime() + Duration.ofSeconds(1).toNanos();
        return new Ticket<>(tenant, "menu", workClass, priority, tenant, weight, deadline);
    }

    private Ticket<String> shortTicket(String tenant) {
        return ticket(WorkClass.SHORT, 5, tenant, 1);
    }

    private Ticket<String> dispatch(AdmissionController<String> controller) {
        Ticket<String> ticket = shortTicket("first");
        assertTrue(controller.offer(ticket) instanceof OfferResult.Dispatch);
        return ticket;
    }

    /** Guards against refusals of requests that could be queued and still meet their objective. */
    @Test
    public void should_let_work_wait_as_long_as_its_objective_allows() {
        AdmissionController<String> controller = createWarm(1, 0, 64);
        Ticket<String> running = withObjective(Duration.ZERO);
        controller.offer(running);
        mClock.advance(Duration.ofMillis(200));
        controller.finished(running, Completion.SUCCESS);
        assertTrue(controller.offer(withObjective(Duration.ZERO)) instanceof OfferResult.Dispatch);
        assertEquals(countQueued(controller, Duration.ZERO), 2);
        assertEquals(countQueued(controller, Duration.ofSeconds(2)), 3);
    }

    private int countQueued(AdmissionController<String> controller, Duration objective) {
        int queued = 0;
        while (controller.offer(withObjective(objective)) instanceof OfferResult.Queued) {
            queued++;
        }
        return queued;
    }

    private Ticket<String> withObjective(Duration objective) {
        long deadline = mClock.nanoTime() + Duration.ofSeconds(10).toNanos();
        return new Ticket<>(
                "any", "menu", WorkClass.SHORT, 5, "tenant", 1, deadline, objective.toNanos());
    }

    /** Guards against long requests that take every slot. */
    @Test
    public void should_keep_slots_for_short_work() {
        AdmissionController<String> controller = createWarm(5, 1, 10);
        int dispatched = 0;
        for (int count = 0; count < 8; count++) {
            OfferResult<String> result = controller.offer(ticket(WorkClass.LONG, 9, "bulk", 1));
            dispatched += result instanceof OfferResult.Dispatch ? 1 : 0;
        }
        assertEquals(dispatched, 3);
        dispatch(controller);
        dispatch(controller);
    }

    /** Guards against a tenant that fills the queue and delays the others. */
    @Test
    public void should_share_by_tenant_weight_after_priority() {
        AdmissionController<String> controller = createWarm(1, 0, 20);
        Ticket<String> current = dispatch(controller);
        for (int count = 0; count < 6; count++) {
            controller.offer(ticket(WorkClass.SHORT, 5, "heavy", 1));
        }
        for (int count = 0; count < 4; count++) {
            controller.offer(ticket(WorkClass.SHORT, 5, "light", 2));
        }
        controller.offer(ticket(WorkClass.SHORT, 7, "urgent", 1));
        List<String> order = new ArrayList<>();
        for (int count = 0; count < 7; count++) {
            current = controller.finished(current, Completion.SUCCESS).dispatch().getFirst();
            order.add(current.request());
        }
        assertEquals(order.getFirst(), "urgent");
        assertEquals(order.stream().filter("light"::equals).count(), 4);
    }

    /** Guards against a full queue that refuses a tenant that uses less than its share. */
    @Test
    public void should_displace_largest_tenant_when_queue_is_full() {
        AdmissionController<String> controller = createWarm(1, 0, 2);
        dispatch(controller);
        controller.offer(shortTicket("heavy"));
        controller.offer(shortTicket("heavy"));
        OfferResult<String> own = controller.offer(shortTicket("heavy"));
        assertEquals(
                ((OfferResult.Refused<String>) own).refusal().reason(), RefusalReason.QUEUE_FULL);
        OfferResult<String> other = controller.offer(shortTicket("light"));
        Refusal<String> displaced = ((OfferResult.Queued<String>) other).displaced().getFirst();
        assertEquals(displaced.ticket().request(), "heavy");
        assertEquals(displaced.reason(), RefusalReason.DISPLACED);
    }

    /** Guards against requests that are queued although they will miss their deadline. */
    @Test
    public void should_refuse_at_once_a_request_that_cannot_meet_its_deadline() {
        AdmissionController<String> controller = createWarm(1, 0, 20);
        Ticket<String> first = dispatch(controller);
        mClock.advance(Duration.ofMillis(400));
        controller.finished(first, Completion.SUCCESS);
        dispatch(controller);
        OfferResult<String> result = controller.offer(shortTicket("late"));
        Refusal<String> refusal = ((OfferResult.Refused<String>) result).refusal();
        assertEquals(refusal.reason(), RefusalReason.DEADLINE);
        assertEquals(refusal.retryAfterNanos(), Duration.ofMillis(400).toNanos());
    }

    /** Guards against a cold backend server that gets its full load at once. */
    @Test
    public void should_ramp_up_from_one_and_fall_when_load_is_shed() {
        AdmissionController<String> controller = createWarm(5, 1, 20);
        controller.startCold();
        assertEquals(controller.limit(), 1);
        mClock.advance(RAMP);
        assertEquals(controller.limit(), 6);
        Ticket<String> shed = dispatch(controller);
        controller.finished(shed, Completion.SHED);
        assertEquals(controller.limit(), 4);
    }

    /** Guards against requests that stay queued after a drain or a cancellation. */
    @Test
    public void should_refuse_waiting_requests_when_draining() {
        AdmissionController<String> controller = createWarm(1, 0, 20);
        dispatch(controller);
        Ticket<String> cancelled = shortTicket("gone");
        controller.offer(cancelled);
        controller.offer(shortTicket("waiting"));
        assertTrue(controller.cancel(cancelled));
        assertFalse(controller.cancel(cancelled));
        List<Refusal<String>> refused = controller.drain().refuse();
        assertEquals(refused.size(), 1);
        assertEquals(refused.getFirst().reason(), RefusalReason.DRAINING);
        assertTrue(controller.offer(shortTicket("new")) instanceof OfferResult.Refused);
    }
}
