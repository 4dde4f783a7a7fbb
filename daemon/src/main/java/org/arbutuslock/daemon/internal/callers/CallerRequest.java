package org.arbutuslock.daemon.internal.callers;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.daemon.internal.callers.EndpointChooser.AttemptResult;
import org.arbutuslock.daemon.internal.callers.RequestObserver.RequestResult;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.exchange.Submission;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.selection.LoadReport;

/**
 * One request of a caller: attempts, retries and outcome queries until the caller has the whole
 * response, a refusal marked not run, or an unknown outcome. Confined to the event loop of the
 * caller's connection.
 */
final class CallerRequest {
    // Further endpoints of a service have most likely used up their part of the budget too.
    private static final int MAXIMUM_BUDGET_REFUSALS = 6;
    private static final long STARTING_PAUSE_MILLIS = 20;
    // The home node waits for the deadline too; its last word should arrive first.
    private static final long DEADLINE_GRACE_NANOS = Duration.ofMillis(20).toNanos();

    private final EntryServices mServices;
    private final EventLoop mEventLoop;
    private final CallerInput mInput;
    private final CallerResponse mResponse;
    private final long mStartNanos;
    private final long mDeadlineNanos;
    private final TriedEndpoints mTried;
    private final List<Attempt> mPossiblyRun = new ArrayList<>();
    private Optional<Attempt> mShed = Optional.empty();
    private final List<Attempt> mLive = new ArrayList<>();
    private Future<?> mDeadline;
    private String mLastRefusal = "no endpoint of the service is known";
    private String mLastUnknown = "";
    private int mAttempts;
    private int mBudgetRefusals;
    private int mSends;
    private boolean mDone;
    private Optional<SentResponse> mSent = Optional.empty();
    private final RequestLog mLog;
    private final RouteObjective mObjective;
    private int mAnsweredStatus;

    CallerRequest(
            EntryServices services,
            EventLoop eventLoop,
            CallerInput input,
            CallerResponse response) {
        mServices = services;
        mEventLoop = eventLoop;
        mInput = input;
        mResponse = response;
        mStartNanos = services.clock().nanoTime();
        mTried = new TriedEndpoints(input.idempotent());
        mObjective = new RouteObjective(input.route());
        mLog = new RequestLog(services.dialect().requestName(input.headers()));
        mDeadlineNanos = mStartNanos + TimeUnit.MILLISECONDS.toNanos(input.patienceMillis());
    }

    /** Starts the first attempt. */
    void start() {
        mDeadline =
                mEventLoop.schedule(
                        this::deadlinePassed,
                        mDeadlineNanos - mStartNanos + DEADLINE_GRACE_NANOS,
                        TimeUnit.NANOSECONDS);
        mServices.retries().recordFirstAttempt(route().service());
        startAttempt();
    }

    /** Withdraws the request because the caller has closed its connection. */
    void cancel() {
        if (!mDone) {
            cancelLive();
            finish(RequestResult.CANCELLED);
        }
    }

    /** Ends the request with what is known of it, because this node stops. */
    void endForShutdown() {
        giveUp("the entry node is shutting down");
    }

    private RouteDefinition route() {
        return mInput.route();
    }

    private void startAttempt() {
        if (mDone) {
            return;
        }
        if (isLastExecution()) {
            mTried.requireProven();
        }
        Optional<FleetSnapshot.Member> chosen =
                mTried.choose(mServices.chooser(), route(), mInput.idempotent());
        if (chosen.isEmpty() && mAttempts == 0 && mServices.isStarting()) {
            mEventLoop.schedule(this::startAttempt, STARTING_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (chosen.isEmpty() || mAttempts == mObjective.mostAttempts()) {
            if (mLive.isEmpty()) {
                refuse();
            }
            return;
        }
        boolean repetition = mSends + mLive.size() > 0;
        Attempt attempt = new Attempt(chosen.get(), mInput.id().withAttempt(mAttempts), repetition);
        mAttempts++;
        mLive.add(attempt);
        attempt.start();
    }

    private void cancelLive() {
        List.copyOf(mLive).forEach(Attempt::cancel);
    }

    private void retryOrElse(Runnable otherwise) {
        if (canStillComplete()
                && isTimeLeft()
                && attemptsLeft()
                && mServices.retries().tryRetry(route().service())) {
            startAttempt();
        } else {
            otherwise.run();
        }
    }

    /** Tells whether the request may be sent to one more endpoint. */
    private boolean attemptsLeft() {
        return mSends + mLive.size() < route().policy().maximumAttempts();
    }

    private boolean isLastExecution() {
        return mSends + mLive.size() + 1 >= route().policy().maximumAttempts();
    }

    /** Tells whether another execution could give the caller a whole response. */
    private boolean canStillComplete() {
        return mSent.isEmpty() || mInput.idempotent() && mSent.get().isContinuable();
    }

    /** Tries another endpoint. Only repetitions take from the retry budget. */
    private void retryRefused(RefusalReason reason) {
        switch (RefusalStep.after(reason)) {
            case ASK_ANOTHER -> startAttemptOrRefuse(isTimeLeft());
            case ASK_FOR_BUDGET ->
                    startAttemptOrRefuse(++mBudgetRefusals < MAXIMUM_BUDGET_REFUSALS);
            case REPEAT -> {
                mSends++;
                retryOrElse(this::refuse);
            }
            case REPEAT_EARLY -> {
                long age = mServices.clock().nanoTime() - mStartNanos;
                if (age <= TimeUnit.MILLISECONDS.toNanos(mObjective.latestRetryMillis())) {
                    retryOrElse(this::refuse);
                } else {
                    refuse();
                }
            }
        }
    }

    private void startAttemptOrRefuse(boolean allowed) {
        if (allowed) {
            startAttempt();
        } else {
            refuse();
        }
    }

    private boolean isTimeLeft() {
        return mServices.clock().nanoTime() < mDeadlineNanos;
    }

    /** Refuses the request, unless an earlier attempt may have been executed. */
    private void refuse() {
        if (mDone || !mLive.isEmpty()) {
            return;
        }
        if (mShed.isPresent()) {
            mShed.get().sendHeld();
            return;
        }
        if (!mPossiblyRun.isEmpty()) {
            reportUnknown(mLastUnknown + "; then " + mLastRefusal);
            return;
        }
        mResponse.sendWhole(TextResponses.notRun(mLastRefusal));
        finish(RequestResult.NOT_RUN);
    }

    private void reportUnknown(String detail) {
        if (mDone || !mLive.isEmpty()) {
            return;
        }
        if (mSent.isPresent()) {
            mResponse.abort();
            finish(RequestResult.ABORTED);
            return;
        }
        // The outcome of one attempt says nothing when another one may have been executed too.
        String reference = mPossiblyRun.size() == 1 ? mPossiblyRun.getFirst().reference() : "";
        mResponse.sendWhole(TextResponses.unknown(detail, reference));
        finish(RequestResult.UNKNOWN);
    }

    private void deadlinePassed() {
        giveUp("the deadline of " + mInput.patienceMillis() + " ms passed");
    }

    private void giveUp(String detail) {
        if (mDone) {
            return;
        }
        List<Attempt> live = List.copyOf(mLive);
        cancelLive();
        live.forEach(attempt -> attempt.noteSubmitted(detail));
        if (mShed.isPresent()) {
            mShed.get().sendHeld();
            return;
        }
        if (mPossiblyRun.isEmpty()) {
            mLastRefusal = detail;
            refuse();
        } else {
            reportUnknown(detail);
        }
    }

    private void finish(RequestResult result) {
        mDone = true;
        cancelLive();
        mDeadline.cancel(false);
        Duration latency = Duration.ofNanos(mServices.clock().nanoTime() - mStartNanos);
        mLog.finished(
                route(),
                result,
                mAnsweredStatus,
                mLastUnknown.isEmpty() ? mLastRefusal : mLastUnknown,
                mServices.revision(),
                mServices.clock().nanoTime(),
                latency.toMillis());
        mServices.observer().finished(route(), mInput.tenant(), latency, result);
    }

    /** One submission to one endpoint. */
    private final class Attempt implements OutcomeInquiry.Listener {
        private final FleetSnapshot.Member mMember;
        private final RequestId mId;
        private final boolean mRepetition;
        private final long mAttemptStartNanos = mServices.clock().nanoTime();
        private final HeldResponse mHeld = new HeldResponse();
        private Exchange mExchange;
        private Optional<Submission> mSubmission = Optional.empty();
        private Optional<RefusalReason> mRefusal = Optional.empty();
        private LoadReport mLoad = LoadReport.UNKNOWN;
        private long mBytes;
        private boolean mClosed;
        private Future<?> mOverdue;
        private Optional<SentResponse.Continuation> mContinuation = Optional.empty();

        private Attempt(FleetSnapshot.Member member, RequestId id, boolean repetition) {
            mMember = member;
            mId = id;
            mRepetition = repetition;
        }

        private void start() {
            mServices.chooser().started(mMember, route());
            ExecutionRequest request =
                    mInput.toRequest(
                            mId,
                            mMember,
                            mDeadlineNanos,
                            mObjective.expectation(mTried.requiredHealth(), mRepetition));
            mExchange =
                    mServices.homeNodes().submit(mMember.node(), request, this::handleOnEventLoop);
            if (mInput.idempotent() && mObjective.isStated()) {
                mOverdue =
                        mEventLoop.schedule(
                                this::hedge, mObjective.overdueMillis(), TimeUnit.MILLISECONDS);
            }
        }

        /** Starts a second submission elsewhere while this one is overdue. */
        private void hedge() {
            boolean waiting = !mClosed && !mHeld.hasBegun() && !mDone && mSent.isEmpty();
            if (waiting && mLive.size() == 1 && attemptsLeft()) {
                mTried.add(mMember.endpoint().id());
                if (mServices.retries().tryRetry(route().service())) {
                    startAttempt();
                }
            }
        }

        private void handleOnEventLoop(ResponseEvent event) {
            // Never inline, since an event may come before submit() has returned.
            mEventLoop.execute(() -> handle(event));
        }

        private void handle(ResponseEvent event) {
            if (mClosed) {
                return;
            }
            switch (event) {
                // A duplicated frame must not start another comparison.
                case ResponseEvent.Head duplicate when mHeld.hasBegun() -> {}
                case ResponseEvent.Head(int status, List<HeaderField> headers, LoadReport load) -> {
                    mHeld.begin(status, headers);
                    mLoad = load;
                    if (!mHeld.isServerFailure()) {
                        cancelOthers();
                    }
                    compareHead();
                }
                case ResponseEvent.Body(byte[] data, boolean last) -> handleBody(data, last);
                case ResponseEvent.Refused refused -> {
                    mLoad = refused.load();
                    mLastRefusal = refused.reason() + ": " + refused.detail();
                    mRefusal = Optional.of(refused.reason());
                    end(toResult(refused.reason()));
                    noteHealth(refused.reason());
                    acknowledge();
                    retryRefused(refused.reason());
                }
                case ResponseEvent.OutcomeUnknown(String detail, LoadReport load) -> {
                    mLoad = load;
                    end(AttemptResult.SERVER_FAILED);
                    acknowledge();
                    noteSubmitted(detail);
                    retryIfIdempotent(detail);
                }
                case ResponseEvent.SessionLost(Submission submission, String detail) -> {
                    mSubmission = Optional.of(submission);
                    end(AttemptResult.PATH_FAILED);
                    mTried.addPathFailure(mMember.endpoint().id());
                    noteSubmitted(detail);
                    recoverFromLostSession(detail);
                }
            }
        }

        private static AttemptResult toResult(RefusalReason reason) {
            return reason == RefusalReason.SUSPECT ? AttemptResult.SUSPECT : AttemptResult.REFUSED;
        }

        private void noteHealth(RefusalReason reason) {
            if (reason == RefusalReason.SUSPECT) {
                mTried.addSuspect(mMember.endpoint().id());
            } else if (reason == RefusalReason.UNPROVEN) {
                mTried.addUnproven(mMember.endpoint().id());
            }
        }

        /** Notes that this attempt may have been executed, if it was submitted at all. */
        private void noteSubmitted(String detail) {
            if (submission().isPresent() && !mPossiblyRun.contains(this)) {
                mPossiblyRun.add(this);
                mSends++;
            }
            mLastUnknown = detail;
        }

        private void recoverFromLostSession(String detail) {
            if (!mInput.idempotent()) {
                askForOutcome();
            } else if (canStillComplete() && isTimeLeft() && attemptsLeft()) {
                startAttempt();
            } else {
                reportUnknown(detail);
            }
        }

        /** Compares with the response of which an earlier attempt sent a part. */
        private void compareHead() {
            if (mSent.isPresent()) {
                mContinuation = mSent.get().continueWith(mHeld.status(), mHeld.headers());
                if (mContinuation.isEmpty()) {
                    rejectContinuation();
                }
            }
        }

        private void continueBody(
                SentResponse.Continuation continuation, byte[] data, boolean last) {
            Optional<byte[]> unsent = continuation.skipSent(data);
            if (unsent.isEmpty() || last && !continuation.isCompared()) {
                rejectContinuation();
                return;
            }
            int skipped = data.length - unsent.get().length;
            if (skipped > 0) {
                grant(skipped, last);
            }
            if (last || unsent.get().length > 0) {
                sendPart(unsent.get(), last);
            }
        }

        private void rejectContinuation() {
            cancel();
            reportUnknown("another execution gave another response");
        }

        private void handleBody(byte[] data, boolean last) {
            mBytes += data.length;
            if (mContinuation.isPresent()) {
                continueBody(mContinuation.get(), data, last);
            } else if (mSent.isPresent()) {
                sendPart(data, last);
            } else if (mHeld.fits(data)) {
                hold(data, last);
            } else {
                mSent = Optional.of(new SentResponse(mHeld.status(), mHeld.headers()));
                mResponse.start(mHeld.status(), mHeld.headers());
                sendPart(mHeld.body(), false);
                sendPart(data, last);
            }
            if (last && !mDone && !mClosed) {
                complete();
            }
        }

        /** Holds a small response, so that nothing is sent before it is complete. */
        private void hold(byte[] data, boolean last) {
            mHeld.add(data);
            if (last && shouldRetryShed()) {
                end(AttemptResult.REFUSED);
                acknowledge();
                mShed = Optional.of(this);
                mSends++;
                if (mLive.isEmpty()) {
                    retryOrElse(this::sendHeld);
                }
            } else if (last) {
                sendHeld();
            } else {
                mExchange.grantCredit(Math.max(1, data.length));
            }
        }

        private boolean shouldRetryShed() {
            boolean failure = mHeld.isShed() || mObjective.isStated() && mHeld.isServerFailure();
            return failure && mInput.idempotent();
        }

        private void cancelOthers() {
            for (Attempt other : List.copyOf(mLive)) {
                if (other != this) {
                    other.cancel();
                }
            }
        }

        private void sendHeld() {
            mResponse.sendWhole(mHeld.whole());
            if (mClosed) {
                finish(RequestResult.ANSWERED);
            }
        }

        private void sendPart(byte[] data, boolean last) {
            mSent.get().add(data);
            int bytes = data.length;
            mResponse.sendPart(data, last, () -> grant(bytes, last));
        }

        private void grant(int bytes, boolean last) {
            if (!last && bytes > 0 && !mClosed) {
                mExchange.grantCredit(bytes);
            }
        }

        private void complete() {
            end(AttemptResult.COMPLETE);
            acknowledge();
            finish(RequestResult.ANSWERED);
        }

        private void retryIfIdempotent(String detail) {
            if (mInput.idempotent()) {
                retryOrElse(() -> reportUnknown(detail));
            } else {
                reportUnknown(detail);
            }
        }

        private void askForOutcome() {
            new OutcomeInquiry(mServices, mEventLoop, mId, mSubmission.get(), this).ask();
        }

        @Override
        public boolean isDone() {
            return mDone;
        }

        @Override
        public void notRun() {
            mPossiblyRun.remove(this);
            mLastRefusal = "the session to the home node was lost";
            retryRefused(RefusalReason.CONNECT_FAILED);
        }

        @Override
        public void answered(BufferedResponse response) {
            acknowledge();
            if (mSent.isPresent()) {
                reportUnknown("the session was lost while the response was sent");
                return;
            }
            mResponse.sendWhole(response);
            finish(RequestResult.ANSWERED);
        }

        @Override
        public void unknown(String detail) {
            reportUnknown(detail);
        }

        private void acknowledge() {
            mServices.homeNodes().acknowledge(mId, mMember.node());
        }

        private void end(AttemptResult result) {
            mClosed = true;
            mLive.remove(this);
            if (mOverdue != null) {
                mOverdue.cancel(false);
            }
            mTried.add(mMember.endpoint().id());
            Duration latency = Duration.ofNanos(mServices.clock().nanoTime() - mAttemptStartNanos);
            mAnsweredStatus = mHeld.status();
            mLog.tried(
                    mMember.endpoint().id().backendServer(),
                    mMember.node().node(),
                    describe(result),
                    latency.toMillis());
            mServices.chooser().finished(mMember, route(), latency, result, mLoad, mBytes);
        }

        private String describe(AttemptResult result) {
            if (mHeld.hasBegun()) {
                return Integer.toString(mHeld.status());
            }
            return mRefusal.map(RefusalReason::name).orElse(result.name());
        }

        private void cancel() {
            if (!mClosed) {
                end(AttemptResult.SERVER_FAILED);
                mExchange.cancel();
            }
        }

        /** Returns where the request was submitted; empty when nothing was or will be sent. */
        private Optional<Submission> submission() {
            return mSubmission.or(mExchange::submission);
        }

        private String reference() {
            return submission()
                    .map(submission -> new OutcomeReference(mId, submission).format())
                    .orElse("");
        }
    }
}
