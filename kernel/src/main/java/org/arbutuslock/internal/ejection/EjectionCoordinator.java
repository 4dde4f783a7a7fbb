package org.arbutuslock.internal.ejection;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.detection.HealthAssessment;

/**
 * Decides when one local endpoint leaves service and when it returns. Not thread-safe: all calls
 * must come from one thread, which must call {@link #tick()} at least every 100 ms.
 *
 * <pre>{@code
 * for (EjectionAction action : coordinator.observeAssessment(detector.evaluate())) {
 *     switch (action) {
 *         case EjectionAction.Send send -> sessions.send(send.destination(), send.message());
 *         case EjectionAction.ChangeState change -> membership.publish(endpoint, change);
 *     }
 * }
 * }</pre>
 *
 * <p>{@code docs/ejection.md} describes the protocol and proves that it maintains the floor, which
 * is the number of endpoints of the service that must stay in service.
 */
public final class EjectionCoordinator {
    /** Weight of an unhealthy endpoint that must stay in service, and initial weight of a ramp. */
    public static final int MINIMUM_WEIGHT_PERCENT = 10;

    /** Weight during a trial, in which only idempotent requests are sent to the endpoint. */
    public static final int TRIAL_WEIGHT_PERCENT = 5;

    private static final long MINIMUM_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MAXIMUM_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);
    private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EjectionSettings mSettings;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final ActionList mActions = new ActionList();
    private final ReservationGrantor mGrantor;
    private final ReservationRequester mRequester;
    private final RampingWeight mWeight;
    private final ReturnBackoff mBackoff;
    private final DecisionHistory mHistory;

    private HealthAssessment mAssessment = new HealthAssessment.Healthy(0, "no observations yet");
    private EndpointState mState = EndpointState.STARTING;
    private int mWeightPercent = MINIMUM_WEIGHT_PERCENT;
    private String mDrainReason;
    private boolean mDeparting;
    private boolean mAttempting;
    private boolean mRoundSent;
    private long mNowNanos;
    private long mStateSinceNanos;
    private long mEjectedSinceNanos;
    private long mRetryNanos;
    private long mAttemptEndNanos;
    private long mDepartureNanos;

    /**
     * Creates the coordinator of a newly announced endpoint.
     *
     * @param self the local endpoint
     * @param incarnation identifies this run of the endpoint; every run has another one
     * @param settings durations of the protocol
     * @param clock clock whose monotonic time must advance while the process is paused
     * @param random seeded source of retry delays, the first request number and the choice of
     *     reservations to release
     * @throws IllegalArgumentException when the settings are not safe, see {@link
     *     EjectionSettings#requireSafe}
     */
    public EjectionCoordinator(
            EndpointId self,
            long incarnation,
            EjectionSettings settings,
            Clock clock,
            RandomGenerator random) {
        this(self, incarnation, settings, clock, random, true);
    }

    EjectionCoordinator(
            EndpointId self,
            long incarnation,
            EjectionSettings settings,
            Clock clock,
            RandomGenerator random,
            boolean requireSafeSettings) {
        if (requireSafeSettings) {
            settings.requireSafe();
        }
        mSettings = settings;
        mClock = clock;
        mRandom = random;
        mGrantor = new ReservationGrantor(self, incarnation, settings, mActions);
        mRequester = new ReservationRequester(self, incarnation, settings, random, mActions);
        mWeight = new RampingWeight(settings.rampDuration().toNanos());
        mBackoff =
                new ReturnBackoff(
                        settings.initialBackoff().toNanos(), settings.maximumBackoff().toNanos());
        mHistory = new DecisionHistory(clock);
        mNowNanos = clock.nanoTime();
        mStateSinceNanos = mNowNanos;
        mRetryNanos = mNowNanos;
        mHistory.add(mState, mWeightPercent, "started", "");
    }

    /**
     * Handles the passing of time: expires and renews reservations, changes the weight of a ramp
     * and ends periods such as the back-off.
     *
     * @return what must be done
     */
    public List<EjectionAction> tick() {
        return handle(() -> {});
    }

    /**
     * Handles an assessment of the health detector.
     *
     * @param assessment newest assessment of the local endpoint
     * @return what must be done
     */
    public List<EjectionAction> observeAssessment(HealthAssessment assessment) {
        return handle(() -> mAssessment = assessment);
    }

    /**
     * Handles a change in the membership of the service.
     *
     * @param others other endpoints of the service that are not known to be dead or to have left
     * @param floor number of endpoints that must stay in service, at least 0
     * @return what must be done
     */
    public List<EjectionAction> updateService(Collection<EndpointId> others, int floor) {
        return handle(
                () -> {
                    mRequester.updateService(others, floor);
                    returnWhenReservationsMissing();
                });
    }

    /**
     * Handles a message from the home node of another endpoint.
     *
     * @param message the message
     * @return what must be done
     */
    public List<EjectionAction> receive(ReservationMessage message) {
        return handle(
                () -> {
                    switch (message) {
                        case ReservationMessage.Request request ->
                                mGrantor.answer(request, refusalReason());
                        case ReservationMessage.Reply reply -> mRequester.handleReply(reply);
                        case ReservationMessage.Release release -> mGrantor.handleRelease(release);
                        case ReservationMessage.Revoked revoked ->
                                mRequester.handleRevocation(revoked, reliesOnReservations());
                    }
                });
    }

    /**
     * Requests a drain, which starts when the floor allows it.
     *
     * @param reason who requested the drain and why
     * @return what must be done
     */
    public List<EjectionAction> requestDrain(String reason) {
        return handle(() -> mDrainReason = reason);
    }

    /**
     * Cancels a drain. A draining endpoint returns to service, unless it departs.
     *
     * @param reason who cancelled the drain and why
     * @return what must be done
     */
    public List<EjectionAction> cancelDrain(String reason) {
        return handle(
                () -> {
                    mDrainReason = null;
                    if (mState == EndpointState.DRAINING && !mDeparting) {
                        returnToService("drain cancelled: " + reason);
                    }
                });
    }

    /**
     * Announces a departure, which happens regardless of the floor. An endpoint that takes work
     * departs after the departure notice, any other endpoint at once.
     *
     * @param reason who requested the departure and why
     * @return what must be done
     */
    public List<EjectionAction> depart(String reason) {
        return handle(() -> startDeparture(reason));
    }

    /**
     * Informs the coordinator that a draining endpoint has completed its last request. It does
     * nothing in any other state.
     *
     * @return what must be done
     */
    public List<EjectionAction> completeDrain() {
        return handle(
                () -> {
                    if (mState == EndpointState.DRAINING) {
                        changeState(EndpointState.LEFT, 0, "drained", "");
                        mRequester.releaseAll();
                    }
                });
    }

    /**
     * Returns the state after the last call.
     *
     * @return current state
     */
    public EndpointState state() {
        return mState;
    }

    /**
     * Returns the weight after the last call.
     *
     * @return 0 to 100
     */
    public int weightPercent() {
        return mWeightPercent;
    }

    /**
     * Returns the last decisions, at most 64.
     *
     * @return decisions with their evidence, oldest first
     */
    public List<EjectionDecision> explain() {
        return mHistory.newestLast();
    }

    private List<EjectionAction> handle(Runnable input) {
        advanceClock();
        input.run();
        proceed();
        return mActions.pollAll();
    }

    /**
     * Advances the time and expires reservations. Must run before every input is handled, because
     * the reservations may have expired during a pause of the process.
     */
    private void advanceClock() {
        long nowNanos = mClock.nanoTime();
        long gapNanos = nowNanos - mNowNanos;
        mNowNanos = nowNanos;
        if (gapNanos > PAUSE_THRESHOLD_NANOS) {
            long gapMillis = TimeUnit.NANOSECONDS.toMillis(gapNanos);
            recordDecision(
                    "resumed after a pause of the process", "no call for " + gapMillis + " ms");
        }
        mRequester.advance(nowNanos);
        mGrantor.advance(nowNanos);
        returnWhenReservationsMissing();
    }

    private void proceed() {
        switch (mState) {
            case STARTING -> proceedStarting();
            case IN_SERVICE, REDUCED -> proceedInService();
            case EJECTED -> proceedEjected();
            case TRIAL -> proceedTrial();
            case DRAINING -> renewReservations();
            case LEFT -> {}
        }
    }

    private void proceedStarting() {
        long elapsedNanos = mNowNanos - mStateSinceNanos;
        long durationNanos = mSettings.reservationDuration().toNanos();
        if (mDeparting) {
            departWhenDue();
        } else if (elapsedNanos >= durationNanos) {
            adjustWeight("started up");
        } else {
            int ramped = RampingWeight.ramp(elapsedNanos, durationNanos);
            int weight = isUnhealthy() ? MINIMUM_WEIGHT_PERCENT : ramped;
            changeState(EndpointState.STARTING, weight, "starting", mAssessment.evidence());
        }
    }

    private void proceedInService() {
        if (mDeparting) {
            departWhenDue();
            return;
        }
        adjustWeight("healthy");
        boolean wantsToLeave = mDrainReason != null || isUnhealthy();
        if (!wantsToLeave) {
            abandonAttempt("no longer needs to leave");
        } else if (mAttempting) {
            continueAttempt();
        } else if (mNowNanos - mRetryNanos >= 0) {
            mAttempting = true;
            mRoundSent = false;
            continueAttempt();
        }
    }

    private void adjustWeight(String reason) {
        if (isUnhealthy()) {
            mWeight.stopRamp();
            changeState(
                    EndpointState.REDUCED,
                    MINIMUM_WEIGHT_PERCENT,
                    "sick, still in service",
                    mAssessment.evidence());
            return;
        }
        if (mState == EndpointState.REDUCED && !mWeight.isRamping()) {
            mWeight.startRamp(mNowNanos);
        }
        int percent = mWeight.percentAt(mNowNanos);
        if (mWeight.isRamping()) {
            changeState(EndpointState.REDUCED, percent, "ramping", mAssessment.evidence());
        } else {
            changeState(EndpointState.IN_SERVICE, percent, reason, mAssessment.evidence());
        }
    }

    private void continueAttempt() {
        if (mGrantor.isBound()) {
            recordDecision("stays in service: bound by a reservation", mGrantor.describe());
            return;
        }
        if (!mRoundSent) {
            mRoundSent = true;
            mAttemptEndNanos = mNowNanos + mSettings.replyTimeout().toNanos();
            mRequester.requestFromAll();
        }
        if (mRequester.holdsEnough()) {
            leave();
        } else if (mNowNanos - mAttemptEndNanos >= 0) {
            abandonAttempt("stays in service: too few reservations");
        }
    }

    private void leave() {
        mAttempting = false;
        if (mDrainReason != null) {
            changeState(EndpointState.DRAINING, 0, mDrainReason, mRequester.describe());
        } else {
            mBackoff.recordEjection(mNowNanos);
            mEjectedSinceNanos = mNowNanos;
            changeState(
                    EndpointState.EJECTED,
                    0,
                    "sick",
                    mAssessment.evidence() + "; " + mRequester.describe());
        }
        mRequester.releaseSurplus();
    }

    private void abandonAttempt(String reason) {
        if (!mAttempting) {
            return;
        }
        mAttempting = false;
        recordDecision(reason, mRequester.describe());
        mRequester.releaseAll();
        mRetryNanos =
                mNowNanos + mRandom.nextLong(MINIMUM_RETRY_DELAY_NANOS, MAXIMUM_RETRY_DELAY_NANOS);
    }

    private void proceedEjected() {
        if (mDrainReason != null) {
            changeState(EndpointState.DRAINING, 0, mDrainReason, mRequester.describe());
        } else if (mNowNanos - mEjectedSinceNanos >= mBackoff.currentNanos()) {
            // Replaces the assessment that caused the ejection, which would fail the trial at once.
            mAssessment = new HealthAssessment.Suspect(0, "trial");
            changeState(EndpointState.TRIAL, TRIAL_WEIGHT_PERCENT, "back-off has ended", "");
        }
        renewReservations();
    }

    private void proceedTrial() {
        long elapsedNanos = mNowNanos - mStateSinceNanos;
        long trialNanos = mSettings.trialDuration().toNanos();
        boolean healthy = mAssessment instanceof HealthAssessment.Healthy;
        if (mDrainReason != null) {
            changeState(EndpointState.DRAINING, 0, mDrainReason, mRequester.describe());
        } else if (isUnhealthy()) {
            mBackoff.recordFailedTrial();
            mEjectedSinceNanos = mNowNanos;
            changeState(EndpointState.EJECTED, 0, "trial failed", mAssessment.evidence());
        } else if (elapsedNanos >= (healthy ? trialNanos : 3 * trialNanos)) {
            mBackoff.recordReturn(mNowNanos);
            returnToService("trial passed");
            return;
        }
        renewReservations();
    }

    private boolean reliesOnReservations() {
        return switch (mState) {
            case EJECTED, TRIAL -> true;
            case DRAINING -> !mDeparting;
            case STARTING, IN_SERVICE, REDUCED, LEFT -> false;
        };
    }

    private void returnWhenReservationsMissing() {
        if (reliesOnReservations() && !mRequester.holdsEnough()) {
            returnToService(
                    "returned to service because too few reservations remain, "
                            + mRequester.describe());
        }
    }

    private void returnToService(String reason) {
        mWeight.startRamp(mNowNanos);
        changeState(EndpointState.REDUCED, MINIMUM_WEIGHT_PERCENT, reason, mAssessment.evidence());
        mRequester.releaseAll();
        mRetryNanos =
                mNowNanos + mRandom.nextLong(MINIMUM_RETRY_DELAY_NANOS, MAXIMUM_RETRY_DELAY_NANOS);
    }

    private void renewReservations() {
        if (reliesOnReservations()) {
            mRequester.renewWhenDue();
        }
    }

    private String refusalReason() {
        if (mState != EndpointState.IN_SERVICE) {
            return "its state is " + mState;
        }
        if (mDeparting) {
            return "it is departing";
        }
        if (mAttempting) {
            return "it is requesting reservations itself";
        }
        return mAssessment instanceof HealthAssessment.Healthy ? "" : "it is not healthy";
    }

    private void startDeparture(String reason) {
        if (mDeparting || mState == EndpointState.LEFT) {
            return;
        }
        mDeparting = true;
        mDepartureNanos = mNowNanos + mSettings.departureNotice().toNanos();
        abandonAttempt("departs");
        mGrantor.revokeAll();
        recordDecision("departure announced: " + reason, "");
        if (!mState.takesWork()) {
            changeState(EndpointState.DRAINING, 0, "departs: " + reason, "");
            mRequester.releaseAll();
        }
    }

    private void departWhenDue() {
        if (mNowNanos - mDepartureNanos >= 0) {
            changeState(EndpointState.DRAINING, 0, "departure notice has ended", "");
        }
    }

    private boolean isUnhealthy() {
        return mAssessment instanceof HealthAssessment.Unhealthy;
    }

    private void changeState(EndpointState state, int weight, String reason, String evidence) {
        if (state == mState && weight == mWeightPercent) {
            return;
        }
        EndpointState previous = mState;
        if (state != previous) {
            mStateSinceNanos = mNowNanos;
        }
        mState = state;
        mWeightPercent = weight;
        mActions.add(new EjectionAction.ChangeState(previous, state, weight, reason, evidence));
        recordDecision(reason, evidence);
    }

    private void recordDecision(String reason, String evidence) {
        mHistory.add(mState, mWeightPercent, reason, evidence);
    }
}
