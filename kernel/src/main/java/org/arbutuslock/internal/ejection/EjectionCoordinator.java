package org.arbutuslock.internal.ejection;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.detection.HealthAssessment;

/**
 * Decides for one local endpoint when it leaves service and when it returns. Not thread-safe; one
 * thread calls it, and calls {@link #tick()} at least every 100 ms.
 *
 * <pre>{@code
 * for (EjectionAction action : coordinator.observeVerdict(detector.evaluate())) {
 *     switch (action) {
 *         case EjectionAction.Send send -> sessions.send(send.destination(), send.message());
 *         case EjectionAction.ChangeState change -> membership.publish(endpoint, change);
 *     }
 * }
 * }</pre>
 *
 * <p>{@code docs/ejection.md} has the protocol and the proof that it maintains the floor.
 */
public final class EjectionCoordinator {
    /** Weight of a sick endpoint that may not leave, and the first weight of a ramp. */
    public static final int LOWEST_WEIGHT_PERCENT = 10;

    /** Weight during trials, for idempotent requests only. */
    public static final int TRIAL_WEIGHT_PERCENT = 5;

    private static final long SHORTEST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long LONGEST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EjectionSettings mSettings;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final ActionList mActions = new ActionList();
    private final PledgeGiver mGiver;
    private final PledgeRequester mRequester;
    private final ServiceWeight mWeight;
    private final ReturnBackoff mBackoff;
    private final DecisionHistory mHistory;

    private HealthAssessment mVerdict = new HealthAssessment.Healthy(0, "no observations yet");
    private EndpointState mState = EndpointState.STARTING;
    private int mWeightPercent = LOWEST_WEIGHT_PERCENT;
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
     * Creates the coordinator of an endpoint that has just been announced.
     *
     * @param self the local endpoint
     * @param incarnation number of this run; a later run of the same endpoint has another one
     * @param settings times of the protocol
     * @param clock monotonic time; must advance while the process is paused
     * @param random seeded source for retries and for the first pledge number
     * @throws IllegalArgumentException when the settings would not maintain the floor
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
        mGiver = new PledgeGiver(self, incarnation, settings, mActions);
        mRequester = new PledgeRequester(self, incarnation, settings, random, mActions);
        mWeight = new ServiceWeight(settings.rampDuration().toNanos());
        mBackoff =
                new ReturnBackoff(
                        settings.firstBackoff().toNanos(), settings.longestBackoff().toNanos());
        mHistory = new DecisionHistory(clock);
        mNowNanos = clock.nanoTime();
        mStateSinceNanos = mNowNanos;
        mRetryNanos = mNowNanos;
        mHistory.add(mState, mWeightPercent, "started", "");
    }

    /**
     * Lets time pass.
     *
     * @return what must be done
     */
    public List<EjectionAction> tick() {
        return handle(() -> {});
    }

    /**
     * Takes a judgement of the detector.
     *
     * @param verdict newest judgement
     * @return what must be done
     */
    public List<EjectionAction> observeVerdict(HealthAssessment verdict) {
        return handle(() -> mVerdict = verdict);
    }

    /**
     * Takes the membership's current view of the service.
     *
     * @param others other endpoints of the service that are not known to be dead or gone
     * @param floor endpoints that must stay in service, at least 0
     * @return what must be done
     */
    public List<EjectionAction> updateService(Collection<EndpointId> others, int floor) {
        return handle(
                () -> {
                    mRequester.updateService(others, floor);
                    returnWhenShort();
                });
    }

    /**
     * Takes a message from another endpoint's home node.
     *
     * @param message the message
     * @return what must be done
     */
    public List<EjectionAction> receive(PledgeMessage message) {
        return handle(
                () -> {
                    switch (message) {
                        case PledgeMessage.Request request ->
                                mGiver.answer(request, refusalReason());
                        case PledgeMessage.Reply reply -> mRequester.takeReply(reply);
                        case PledgeMessage.Release release -> mGiver.takeRelease(release);
                        case PledgeMessage.Revoked revoked ->
                                mRequester.takeRevocation(revoked, reliesOnPledges());
                    }
                });
    }

    /**
     * Asks for a drain that waits until the floor allows it.
     *
     * @param reason who wants it and why
     * @return what must be done
     */
    public List<EjectionAction> requestDrain(String reason) {
        return handle(() -> mDrainReason = reason);
    }

    /**
     * Withdraws a drain. An endpoint that is draining returns to service.
     *
     * @param reason who withdraws it and why
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
     * Announces a departure that cannot be refused. It takes effect after the departure notice.
     *
     * @param reason who wants it and why
     * @return what must be done
     */
    public List<EjectionAction> depart(String reason) {
        return handle(() -> startDeparture(reason));
    }

    /**
     * Reports that a draining endpoint has finished its last request.
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
     * Lists the newest decisions, at most 64.
     *
     * @return decisions with their evidence, newest last
     */
    public List<EjectionDecision> explain() {
        return mHistory.newestLast();
    }

    private List<EjectionAction> handle(Runnable input) {
        advanceClock();
        input.run();
        proceed();
        return mActions.take();
    }

    /** Comes before every input: after a pause the pledges may have ended long ago. */
    private void advanceClock() {
        long nowNanos = mClock.nanoTime();
        long gapNanos = nowNanos - mNowNanos;
        mNowNanos = nowNanos;
        if (gapNanos > PAUSE_NANOS) {
            long gapMillis = TimeUnit.NANOSECONDS.toMillis(gapNanos);
            explain("resumed after a pause", "no call for " + gapMillis + " ms");
        }
        mRequester.advance(nowNanos);
        mGiver.advance(nowNanos);
        returnWhenShort();
    }

    private void proceed() {
        switch (mState) {
            case STARTING -> proceedStarting();
            case IN_SERVICE, REDUCED -> proceedInService();
            case EJECTED -> proceedEjected();
            case TRIAL -> proceedTrial();
            case DRAINING -> renewPledges();
            case LEFT -> {}
        }
    }

    private void proceedStarting() {
        long elapsedNanos = mNowNanos - mStateSinceNanos;
        long durationNanos = mSettings.pledgeDuration().toNanos();
        if (mDeparting) {
            departWhenDue();
        } else if (elapsedNanos >= durationNanos) {
            adjustWeight("started up");
        } else {
            int ramped = ServiceWeight.ramp(elapsedNanos, durationNanos);
            int weight = isSick() ? LOWEST_WEIGHT_PERCENT : ramped;
            changeState(EndpointState.STARTING, weight, "starting", mVerdict.evidence());
        }
    }

    private void proceedInService() {
        if (mDeparting) {
            departWhenDue();
            return;
        }
        adjustWeight("healthy");
        boolean wantsToLeave = mDrainReason != null || isSick();
        if (!wantsToLeave) {
            withdraw("no reason to leave any more");
        } else if (mAttempting) {
            continueAttempt();
        } else if (mNowNanos - mRetryNanos >= 0) {
            mAttempting = true;
            mRoundSent = false;
            continueAttempt();
        }
    }

    private void adjustWeight(String reason) {
        if (isSick()) {
            mWeight.stopRamp();
            changeState(
                    EndpointState.REDUCED,
                    LOWEST_WEIGHT_PERCENT,
                    "sick, still in service",
                    mVerdict.evidence());
            return;
        }
        if (mState == EndpointState.REDUCED && !mWeight.isRamping()) {
            mWeight.startRamp(mNowNanos);
        }
        int percent = mWeight.percentAt(mNowNanos);
        if (mWeight.isRamping()) {
            changeState(EndpointState.REDUCED, percent, "ramping", mVerdict.evidence());
        } else {
            changeState(EndpointState.IN_SERVICE, percent, reason, mVerdict.evidence());
        }
    }

    private void continueAttempt() {
        if (mGiver.isBound()) {
            explain("stays in service: bound by a pledge", mGiver.describe());
            return;
        }
        if (!mRoundSent) {
            mRoundSent = true;
            mAttemptEndNanos = mNowNanos + mSettings.replyTimeout().toNanos();
            mRequester.askAll();
        }
        if (mRequester.holdsEnough()) {
            leave();
        } else if (mNowNanos - mAttemptEndNanos >= 0) {
            withdraw("stays in service: too few pledges");
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
                    mVerdict.evidence() + "; " + mRequester.describe());
        }
        mRequester.releaseSurplus();
    }

    private void withdraw(String reason) {
        if (!mAttempting) {
            return;
        }
        mAttempting = false;
        explain(reason, mRequester.describe());
        mRequester.releaseAll();
        mRetryNanos = mNowNanos + mRandom.nextLong(SHORTEST_RETRY_NANOS, LONGEST_RETRY_NANOS);
    }

    private void proceedEjected() {
        if (mDrainReason != null) {
            changeState(EndpointState.DRAINING, 0, mDrainReason, mRequester.describe());
        } else if (mNowNanos - mEjectedSinceNanos >= mBackoff.currentNanos()) {
            mVerdict = new HealthAssessment.Suspect(0, "trial");
            changeState(EndpointState.TRIAL, TRIAL_WEIGHT_PERCENT, "back-off has ended", "");
        }
        renewPledges();
    }

    private void proceedTrial() {
        long elapsedNanos = mNowNanos - mStateSinceNanos;
        long trialNanos = mSettings.trialDuration().toNanos();
        boolean healthy = mVerdict instanceof HealthAssessment.Healthy;
        if (mDrainReason != null) {
            changeState(EndpointState.DRAINING, 0, mDrainReason, mRequester.describe());
        } else if (isSick()) {
            mBackoff.recordFailedTrial();
            mEjectedSinceNanos = mNowNanos;
            changeState(EndpointState.EJECTED, 0, "trial failed", mVerdict.evidence());
        } else if (elapsedNanos >= (healthy ? trialNanos : 3 * trialNanos)) {
            mBackoff.recordReturn(mNowNanos);
            returnToService("trial passed");
            return;
        }
        renewPledges();
    }

    private boolean reliesOnPledges() {
        return switch (mState) {
            case EJECTED, TRIAL -> true;
            case DRAINING -> !mDeparting;
            case STARTING, IN_SERVICE, REDUCED, LEFT -> false;
        };
    }

    private void returnWhenShort() {
        if (reliesOnPledges() && !mRequester.holdsEnough()) {
            returnToService("returns because too few pledges remain, " + mRequester.describe());
        }
    }

    private void returnToService(String reason) {
        mWeight.startRamp(mNowNanos);
        changeState(EndpointState.REDUCED, LOWEST_WEIGHT_PERCENT, reason, mVerdict.evidence());
        mRequester.releaseAll();
        mRetryNanos = mNowNanos + mRandom.nextLong(SHORTEST_RETRY_NANOS, LONGEST_RETRY_NANOS);
    }

    private void renewPledges() {
        if (reliesOnPledges()) {
            mRequester.renewWhenDue();
        }
    }

    private String refusalReason() {
        if (mState != EndpointState.IN_SERVICE) {
            return "state is " + mState;
        }
        if (mDeparting) {
            return "departing";
        }
        if (mAttempting) {
            return "asks for pledges itself";
        }
        return mVerdict instanceof HealthAssessment.Healthy ? "" : "not healthy";
    }

    private void startDeparture(String reason) {
        if (mDeparting || mState == EndpointState.LEFT) {
            return;
        }
        mDeparting = true;
        mDepartureNanos = mNowNanos + mSettings.departureNotice().toNanos();
        withdraw("departs");
        mGiver.revokeAll();
        explain("departure announced: " + reason, "");
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

    private boolean isSick() {
        return mVerdict instanceof HealthAssessment.Unhealthy;
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
        explain(reason, evidence);
    }

    private void explain(String reason, String evidence) {
        mHistory.add(mState, mWeightPercent, reason, evidence);
    }
}
