package org.arbutuslock.internal.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.execution.RefusalReason;

/**
 * Admission control of one backend server: dispatches, queues or refuses each request. Confined to
 * one thread.
 *
 * <pre>{@code
 * switch (controller.offer(ticket)) {
 *     case OfferResult.Dispatch<Request>(var now) -> send(now);
 *     case OfferResult.Queued<Request>(var displaced) -> displaced.forEach(this::refuse);
 *     case OfferResult.Refused<Request>(var refusal) -> refuse(refusal);
 * }
 * apply(controller.finished(ticket, Completion.SUCCESS));
 * apply(controller.poll()); // every POLL_INTERVAL_MILLIS while requests are queued
 * }</pre>
 *
 * @param <T> type of the requests
 */
public final class AdmissionController<T> {
    /** Maximum milliseconds between two calls of {@link #poll()} while requests are queued. */
    public static final int POLL_INTERVAL_MILLIS = 5;

    private static final WorkClass[] CLASSES = WorkClass.values();
    // Shares of the slot time of short and long work when both are queued at the same priority.
    // With 2 to 1, queued long requests kept short work slow for more than 2 s after a drop in load
    // in 1 of 80 runs.
    private static final double[] CLASS_WEIGHTS = {4.0, 1.0};

    private final Clock mClock;
    private final AdmissionSettings mSettings;
    private final ConcurrencyLimit mLimit;
    private final DeadlineCheck mDeadlines;
    private final List<WaitingQueue<T>> mQueues = new ArrayList<>();
    // In the order of arrival. May contain tickets that are no longer queued.
    private final ArrayDeque<Ticket<T>> mUndecided = new ArrayDeque<>();
    private final TreeSet<Ticket<T>> mByDeadline = new TreeSet<>(Ticket::compareByDeadline);
    private final int[] mInFlight = new int[CLASSES.length];
    // Slot time of each work class divided by its weight, in nanoseconds. When both classes are
    // queued at the same priority, the class with the lower value is dispatched next.
    private final double[] mClassTime = new double[CLASSES.length];
    private long mSequence;
    private boolean mDraining;

    /**
     * Creates a controller for a cold backend server.
     *
     * @param clock clock of the deadlines and of the cold start ramp
     * @param settings limits of the endpoint
     */
    public AdmissionController(Clock clock, AdmissionSettings settings) {
        mClock = clock;
        mSettings = settings;
        mLimit = new ConcurrencyLimit(clock, settings);
        mDeadlines = new DeadlineCheck(clock, mLimit);
        for (WorkClass workClass : CLASSES) {
            mQueues.add(new WaitingQueue<>());
        }
    }

    /**
     * Decides on a new request.
     *
     * @param ticket ticket that was not offered before
     * @return whether to dispatch the request now, or whether it was queued or refused
     * @throws IllegalStateException when the ticket was offered before
     */
    public OfferResult<T> offer(Ticket<T> ticket) {
        long now = mClock.nanoTime();
        ticket.markOffered(now, mSequence++);
        if (mDraining) {
            return new OfferResult.Refused<>(close(ticket, RefusalReason.DRAINING));
        }
        if (queue(ticket.workClass()).size() == 0 && hasSlot(ticket.workClass())) {
            return dispatchOrRefuse(ticket, now);
        }
        if (!mayWait(ticket, now)) {
            return new OfferResult.Refused<>(close(ticket, RefusalReason.DEADLINE));
        }
        return enqueue(ticket);
    }

    private OfferResult<T> dispatchOrRefuse(Ticket<T> ticket, long now) {
        if (!mDeadlines.mayDispatch(ticket, now)) {
            return new OfferResult.Refused<>(close(ticket, RefusalReason.DEADLINE));
        }
        occupy(ticket, now);
        return new OfferResult.Dispatch<>(ticket);
    }

    private OfferResult<T> enqueue(Ticket<T> ticket) {
        List<Refusal<T>> displaced = List.of();
        if (mByDeadline.size() >= mSettings.queueCapacity()) {
            Ticket<T> victim = findDisplaced(ticket);
            if (victim == null) {
                return new OfferResult.Refused<>(close(ticket, RefusalReason.QUEUE_FULL));
            }
            removeQueued(victim);
            displaced = List.of(close(victim, RefusalReason.DISPLACED));
        }
        addQueued(ticket);
        return new OfferResult.Queued<>(displaced);
    }

    private Ticket<T> findDisplaced(Ticket<T> newcomer) {
        Ticket<T> victim = queue(newcomer.workClass()).findDisplaced(newcomer);
        if (victim != null) {
            return victim;
        }
        // Long requests wait longer and could fill the queue, so short work may displace them.
        return newcomer.workClass() == WorkClass.SHORT
                ? queue(WorkClass.LONG).findDisplaced(newcomer)
                : null;
    }

    private void addQueued(Ticket<T> ticket) {
        int index = ticket.workClass().ordinal();
        if (queue(ticket.workClass()).size() == 0) {
            // A class gets no credit for the time in which none of its requests was queued.
            mClassTime[index] = Math.max(mClassTime[index], mClassTime[1 - index]);
        }
        queue(ticket.workClass()).add(ticket);
        mByDeadline.add(ticket);
        mUndecided.add(ticket);
        ticket.enter(Ticket.Stage.QUEUED);
    }

    private void removeQueued(Ticket<T> ticket) {
        queue(ticket.workClass()).remove(ticket);
        mByDeadline.remove(ticket);
    }

    /**
     * Ends a dispatched request and fills the free slots.
     *
     * @param ticket ticket of the request; each dispatched ticket is passed once
     * @param completion how the request ended
     * @return queued requests to dispatch and to refuse now
     * @throws IllegalStateException when the request is not dispatched or was already ended
     */
    public Decisions<T> finished(Ticket<T> ticket, Completion completion) {
        if (ticket.stage() != Ticket.Stage.DISPATCHED) {
            throw new IllegalStateException(
                    "a ticket in stage "
                            + ticket.stage()
                            + " cannot finish; call finished() once for each dispatched ticket");
        }
        long now = mClock.nanoTime();
        long latency = ticket.inFlightNanos(now);
        mDeadlines.record(ticket, latency, completion);
        mLimit.record(ticket, latency, completion, inFlight());
        mInFlight[ticket.workClass().ordinal()]--;
        end(ticket);
        return fillSlots(new Decisions<>(), now);
    }

    private void end(Ticket<T> ticket) {
        ticket.enter(Ticket.Stage.CLOSED);
        mDeadlines.ended(ticket);
    }

    /**
     * Removes a request from the queue. A dispatched request is ended by {@link #finished} instead.
     *
     * @param ticket ticket of the request
     * @return true when the request was queued; false has no effect
     */
    public boolean cancel(Ticket<T> ticket) {
        boolean waiting = ticket.stage() == Ticket.Stage.QUEUED;
        if (waiting) {
            removeQueued(ticket);
            end(ticket);
        }
        return waiting;
    }

    /**
     * Fills free slots and refuses queued requests that cannot meet their deadline any more.
     *
     * @return queued requests to dispatch and to refuse now
     */
    public Decisions<T> poll() {
        long now = mClock.nanoTime();
        Decisions<T> decisions = fillSlots(new Decisions<>(), now);
        refuseExpired(decisions, now);
        decideAtDecisionTime(decisions, now);
        return decisions;
    }

    private void refuseExpired(Decisions<T> decisions, long now) {
        while (!mByDeadline.isEmpty() && mByDeadline.first().remainingNanos(now) <= 0) {
            Ticket<T> expired = mByDeadline.first();
            removeQueued(expired);
            decisions.refuse().add(close(expired, RefusalReason.DEADLINE));
        }
    }

    /**
     * Decides on requests that reach the decision time: refuses those that would miss their
     * deadline, and protects the others from being displaced.
     */
    private void decideAtDecisionTime(Decisions<T> decisions, long now) {
        long decisionNanos = mSettings.decisionTime().toNanos();
        while (!mUndecided.isEmpty() && mUndecided.peek().ageNanos(now) >= decisionNanos) {
            Ticket<T> aged = mUndecided.poll();
            if (aged.stage() != Ticket.Stage.QUEUED) {
                continue;
            }
            if (mayWait(aged, now)) {
                aged.commit();
            } else {
                removeQueued(aged);
                decisions.refuse().add(close(aged, RefusalReason.DEADLINE));
            }
        }
    }

    /**
     * Estimates how long a request of average priority would wait.
     *
     * @param workClass work class of the request
     * @return nanoseconds, 0 when a slot is free
     */
    public long expectedWaitNanos(WorkClass workClass) {
        int waiting = queue(workClass).size();
        return waiting == 0 && hasSlot(workClass) ? 0 : (long) waitNanos(workClass, waiting);
    }

    private double waitNanos(WorkClass workClass, int ahead) {
        return (ahead + 1) * mLimit.latencyNanos(workClass) / slotsFor(workClass);
    }

    private boolean mayWait(Ticket<T> ticket, long now) {
        WorkClass workClass = ticket.workClass();
        int ahead = queue(workClass).countAhead(ticket);
        return mDeadlines.mayWait(ticket, waitNanos(workClass, ahead), now);
    }

    private int slotsFor(WorkClass workClass) {
        return switch (workClass) {
            case SHORT -> Math.max(1, mLimit.limit() - mInFlight[WorkClass.LONG.ordinal()]);
            case LONG -> longLimit();
        };
    }

    /**
     * Refuses all queued and all new requests until {@link #startCold()}. Dispatched requests
     * continue.
     *
     * @return queued requests to refuse now
     */
    public Decisions<T> drain() {
        mDraining = true;
        return refuseQueued();
    }

    /**
     * Refuses all queued requests. New requests are still accepted.
     *
     * @return queued requests to refuse now
     */
    public Decisions<T> refuseQueued() {
        Decisions<T> decisions = new Decisions<>();
        while (!mByDeadline.isEmpty()) {
            Ticket<T> waiting = mByDeadline.first();
            removeQueued(waiting);
            decisions.refuse().add(close(waiting, RefusalReason.DRAINING));
        }
        return decisions;
    }

    /**
     * Restarts the cold start ramp after a restart of the backend server, and accepts new requests
     * again after {@link #drain()}.
     */
    public void startCold() {
        mDraining = false;
        mLimit.restart();
        mDeadlines.restart();
    }

    private Decisions<T> fillSlots(Decisions<T> decisions, long now) {
        WorkClass next = nextClass();
        while (next != null) {
            Ticket<T> ticket = queue(next).poll();
            mByDeadline.remove(ticket);
            if (!mDeadlines.mayDispatch(ticket, now)) {
                decisions.refuse().add(close(ticket, RefusalReason.DEADLINE));
            } else {
                addClassTime(next);
                occupy(ticket, now);
                decisions.dispatch().add(ticket);
            }
            next = nextClass();
        }
        return decisions;
    }

    private void addClassTime(WorkClass workClass) {
        int index = workClass.ordinal();
        mClassTime[index] += mLimit.latencyNanos(workClass) / CLASS_WEIGHTS[index];
    }

    /**
     * Returns the work class whose next request is dispatched now, or null when no request can be.
     */
    private WorkClass nextClass() {
        boolean shortReady = isReady(WorkClass.SHORT);
        boolean longReady = isReady(WorkClass.LONG);
        if (!shortReady || !longReady) {
            return shortReady ? WorkClass.SHORT : longReady ? WorkClass.LONG : null;
        }
        int shortPriority = queue(WorkClass.SHORT).highestPriority();
        int longPriority = queue(WorkClass.LONG).highestPriority();
        if (shortPriority != longPriority) {
            return shortPriority > longPriority ? WorkClass.SHORT : WorkClass.LONG;
        }
        return mClassTime[0] <= mClassTime[1] ? WorkClass.SHORT : WorkClass.LONG;
    }

    private boolean isReady(WorkClass workClass) {
        return queue(workClass).size() > 0 && hasSlot(workClass);
    }

    private boolean hasSlot(WorkClass workClass) {
        boolean belowLimit = inFlight() < mLimit.limit();
        int shortInFlight = mInFlight[WorkClass.SHORT.ordinal()];
        int longInFlight = mInFlight[WorkClass.LONG.ordinal()];
        return switch (workClass) {
            // The reserve applies even while long work uses up a limit that has fallen.
            case SHORT ->
                    belowLimit || longInFlight > 0 && shortInFlight < mSettings.shortReserve();
            case LONG -> belowLimit && longInFlight < longLimit();
        };
    }

    /** Returns the slots for long work: all but the reserve, and without the overcommit. */
    private int longLimit() {
        int usable = Math.min(mLimit.limit(), mSettings.slots());
        return Math.max(1, usable - mSettings.shortReserve());
    }

    private void occupy(Ticket<T> ticket, long now) {
        ticket.markDispatched(now);
        mInFlight[ticket.workClass().ordinal()]++;
    }

    private Refusal<T> close(Ticket<T> ticket, RefusalReason reason) {
        end(ticket);
        return new Refusal<>(
                ticket, reason, expectedWaitNanos(ticket.workClass()), estimate(ticket));
    }

    private AdmissionEstimate estimate(Ticket<T> ticket) {
        WorkClass workClass = ticket.workClass();
        int ahead = queue(workClass).countAhead(ticket);
        boolean free = ahead == 0 && hasSlot(workClass);
        return new AdmissionEstimate(
                ticket.remainingNanos(mClock.nanoTime()),
                free ? 0 : (long) waitNanos(workClass, ahead),
                (long) mDeadlines.latencyNanos(ticket),
                waiting(),
                inFlight(),
                limit());
    }

    private WaitingQueue<T> queue(WorkClass workClass) {
        return mQueues.get(workClass.ordinal());
    }

    /**
     * Returns the current concurrency limit.
     *
     * @return 1 up to {@link AdmissionSettings#maximumLimit()}
     */
    public int limit() {
        return mLimit.limit();
    }

    /**
     * Returns the number of dispatched requests that have not finished.
     *
     * @return requests of both work classes
     */
    public int inFlight() {
        return mInFlight[0] + mInFlight[1];
    }

    /**
     * Returns the number of queued requests.
     *
     * @return requests of both work classes
     */
    public int waiting() {
        return mByDeadline.size();
    }
}
