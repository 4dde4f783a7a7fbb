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
 * Handles one request of a caller. Makes attempts, retries and outcome queries until the caller has
 * a complete response, a refusal marked as not run, or a report that the outcome is unknown.
 * Confined to the event loop of the caller's connection.
 */
final class CallerRequest {
    private static final long STARTUP_RETRY_DELAY_MILLIS = 20;
    // The home node ends the request at the same deadline. Its final response should arrive before
    // this node gives up.
    private static final long DEADLINE_GRACE_NANOS = Duration.ofMillis(20).toNanos();

    private final EntryServices mServices;
    private final EventLoop mEventLoop;
    private final RoutedRequest mRequest;
    private final CallerResponse mResponse;
    private final long mStartNanos;
    private final long mDeadlineNanos;
    private final TriedEndpoints mTried;
    private final List<Attempt> mPossiblyExecuted = new ArrayList<>();
    // Attempt whose buffered failure response is sent when no retry succeeds.
    private Optional<Attempt> mFallback = Optional.empty();
    private final List<Attempt> mActiveAttempts = new ArrayList<>();
    private Future<?> mDeadlineTimer;
    private String mLastRefusalDetail = "no endpoint of the service is known";
    private String mLastUnknownDetail = "";
    private boolean mDone;
    private final RequestLog mLog;
    private final AttemptPolicy mAttemptPolicy;
    private final AttemptCounter mCounter;

    CallerRequest(
            EntryServices services,
            EventLoop eventLoop,
            RoutedRequest request,
            ResponseWriter responseWriter) {
        mServices = services;
        mEventLoop = eventLoop;
        mRequest = request;
        mResponse = new CallerResponse(responseWriter, services.dialect().sealField());
        mStartNanos = request.arrivalNanos();
        mTried = new TriedEndpoints(request.idempotent());
        mAttemptPolicy = new AttemptPolicy(request.route());
        mCounter = new AttemptCounter(mAttemptPolicy, request.route().policy().maximumAttempts());
        mLog = new RequestLog(services.dialect().requestName(request.headers()));
        mDeadlineNanos = mStartNanos + TimeUnit.MILLISECONDS.toNanos(request.timeoutMillis());
    }

    /** Starts the first attempt, unless the request waited on its connection until its deadline. */
    void start() {
        mDeadlineTimer =
                mEventLoop.schedule(
                        this::deadlinePassed,
                        mDeadlineNanos - mServices.clock().nanoTime() + DEADLINE_GRACE_NANOS,
                        TimeUnit.NANOSECONDS);
        if (!isTimeLeft()) {
            deadlinePassed();
            return;
        }
        mServices.retries().recordFirstAttempt(route().service());
        startAttempt();
    }

    /** Cancels the request because the caller has closed its connection. */
    void cancel() {
        if (!mDone) {
            cancelAttempts();
            finish(RequestResult.CANCELLED);
        }
    }

    /** Starts no further attempts and withdraws those that wait, because this node is stopping. */
    void withdrawForShutdown() {
        mCounter.stop();
        mActiveAttempts.forEach(Attempt::withdraw);
    }

    /** Answers the request with its currently known outcome because this node is stopping. */
    void abortForShutdown() {
        giveUp("the entry node is shutting down");
    }

    private RouteDefinition route() {
        return mRequest.route();
    }

    private void startAttempt() {
        if (mDone) {
            return;
        }
        if (mCounter.isLastExecution(mActiveAttempts.size())) {
            mTried.requireProven();
        }
        Optional<FleetSnapshot.Member> next =
                mTried.choose(mServices.chooser(), route(), mRequest.idempotent());
        if (next.isEmpty() && mCounter.isFirst() && mServices.isStarting()) {
            mEventLoop.schedule(
                    this::startAttempt, STARTUP_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (next.isEmpty() || !mCounter.mayStart()) {
            if (mActiveAttempts.isEmpty()) {
                refuse();
            }
            return;
        }
        boolean repetition = mCounter.isRepetition(mActiveAttempts.size());
        RequestId id = mRequest.id().withAttempt(mCounter.start());
        Attempt attempt = new Attempt(next.get(), id, repetition);
        mActiveAttempts.add(attempt);
        attempt.start();
    }

    private void cancelAttempts() {
        List.copyOf(mActiveAttempts).forEach(Attempt::cancel);
    }

    private void retryOrElse(Runnable otherwise) {
        if (isTimeLeft() && attemptsLeft() && mServices.retries().tryRetry(route().service())) {
            startAttempt();
        } else {
            otherwise.run();
        }
    }

    private boolean attemptsLeft() {
        return mCounter.isExecutionLeft(mActiveAttempts.size());
    }

    /**
     * Tries another endpoint or refuses the request. Only {@link RefusalAction#RETRY} and {@link
     * RefusalAction#RETRY_IF_EARLY} use the retry budget.
     */
    private void retryAfterRefusal(RefusalReason reason) {
        switch (RefusalAction.forReason(reason)) {
            case REFUSE -> refuse();
            case TRY_ANOTHER -> startAttemptOrRefuse(isTimeLeft());
            case TRY_ANOTHER_BUDGET -> startAttemptOrRefuse(mCounter.addBudgetRefusal());
            case RETRY -> {
                mCounter.endExecution();
                retryOrElse(this::refuse);
            }
            case RETRY_IF_EARLY -> {
                long age = mServices.clock().nanoTime() - mStartNanos;
                if (age <= TimeUnit.MILLISECONDS.toNanos(mAttemptPolicy.latestRetryMillis())) {
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
        if (mDone || !mActiveAttempts.isEmpty() || endWithReceived()) {
            return;
        }
        if (!mPossiblyExecuted.isEmpty()) {
            reportUnknown(mLastUnknownDetail + "; then " + mLastRefusalDetail);
            return;
        }
        mResponse.sendOwn(TextResponses.notRun(mLastRefusalDetail));
        finish(RequestResult.NOT_RUN);
    }

    private void reportUnknown(String detail) {
        if (mDone || !mActiveAttempts.isEmpty()) {
            return;
        }
        // Status 503 promises that the request has not run, which is not known here.
        mFallback = mFallback.filter(attempt -> !attempt.mBuffer.isServiceUnavailable());
        if (endWithReceived()) {
            return;
        }
        // With several possibly executed attempts, the outcome of one of them does not tell the
        // caller whether the request was executed.
        String reference =
                mPossiblyExecuted.size() == 1 ? mPossiblyExecuted.getFirst().reference() : "";
        mResponse.sendOwn(TextResponses.unknown(detail, reference));
        finish(RequestResult.UNKNOWN);
    }

    /**
     * Breaks off a response that has started, or sends a failure that a backend server returned
     * earlier. Returns false if there is neither.
     */
    private boolean endWithReceived() {
        if (mResponse.hasStarted()) {
            breakOff();
            return true;
        }
        mFallback.ifPresent(Attempt::sendBuffered);
        return mFallback.isPresent();
    }

    /** Ends a response that has started, whose rest only the attempt that started it could send. */
    private void breakOff() {
        mResponse.breakOff();
        finish(RequestResult.ABORTED);
    }

    private void deadlinePassed() {
        giveUp("the deadline of " + mRequest.timeoutMillis() + " ms passed");
    }

    private void giveUp(String detail) {
        if (mDone) {
            return;
        }
        List<Attempt> activeAttempts = List.copyOf(mActiveAttempts);
        cancelAttempts();
        activeAttempts.forEach(attempt -> attempt.recordPossibleExecution(detail));
        if (endWithReceived()) {
            return;
        }
        if (mPossiblyExecuted.isEmpty()) {
            mLastRefusalDetail = detail;
            refuse();
        } else {
            reportUnknown(detail);
        }
    }

    private void finish(RequestResult result) {
        mDone = true;
        cancelAttempts();
        mDeadlineTimer.cancel(false);
        Duration latency = Duration.ofNanos(mServices.clock().nanoTime() - mStartNanos);
        mLog.write(
                route(),
                result,
                mResponse,
                mLastUnknownDetail.isEmpty() ? mLastRefusalDetail : mLastUnknownDetail,
                mServices.revision(),
                mServices.clock().nanoTime(),
                latency.toMillis());
        mServices.observer().finished(route(), mRequest.tenant(), latency, result);
    }

    /** Submits the request to one endpoint and handles the response events. */
    private final class Attempt implements OutcomePoller.Listener {
        private final FleetSnapshot.Member mMember;
        private final RequestId mId;
        private final boolean mRepetition;
        private final long mAttemptStartNanos = mServices.clock().nanoTime();
        private final ResponseBuffer mBuffer = new ResponseBuffer(mRequest.idempotent());
        private Exchange mExchange;
        private Optional<Submission> mSubmission = Optional.empty();
        private Optional<RefusalReason> mRefusal = Optional.empty();
        private LoadReport mLoad = LoadReport.UNKNOWN;
        private long mBodyBytes;
        private boolean mClosed;
        private Future<?> mHedgeTimer;
        private Optional<CallerResponse.Body> mSentBody = Optional.empty();

        private Attempt(FleetSnapshot.Member member, RequestId id, boolean repetition) {
            mMember = member;
            mId = id;
            mRepetition = repetition;
        }

        private void start() {
            mTried.add(mMember.endpoint().id());
            mServices.chooser().started(mMember, route());
            ExecutionRequest request =
                    mRequest.toExecutionRequest(
                            mId,
                            mMember,
                            mDeadlineNanos,
                            mAttemptPolicy.requirements(mTried.requiredHealth(), mRepetition));
            mExchange =
                    mServices
                            .homeNodeClient()
                            .submit(
                                    mMember.node(),
                                    request,
                                    mCounter.isIsolated(),
                                    this::handleOnEventLoop);
            if (mRequest.idempotent() && mAttemptPolicy.hasObjective()) {
                mHedgeTimer =
                        mEventLoop.schedule(
                                this::hedge, mAttemptPolicy.overdueMillis(), TimeUnit.MILLISECONDS);
            }
        }

        /** Starts a second attempt at another endpoint when this one is overdue. */
        private void hedge() {
            boolean waiting = !mClosed && !mBuffer.hasHead() && !mDone && !mResponse.hasStarted();
            if (waiting
                    && mActiveAttempts.size() == 1
                    && attemptsLeft()
                    && mServices.retries().tryRetry(route().service())) {
                startAttempt();
            }
        }

        private void handleOnEventLoop(ResponseEvent event) {
            // Never handled inline, because an event may arrive before submit() has returned.
            mEventLoop.execute(() -> handle(event));
        }

        private void handle(ResponseEvent event) {
            if (mClosed) {
                return;
            }
            switch (event) {
                case ResponseEvent.Head duplicate when mBuffer.hasHead() -> {}
                case ResponseEvent.Head(int status, List<HeaderField> headers, LoadReport load) -> {
                    mBuffer.setHead(status, headers);
                    mLoad = load;
                    if (!mBuffer.isServerFailure()) {
                        cancelOtherAttempts();
                    }
                }
                case ResponseEvent.Body(byte[] data, boolean last) -> handleBody(data, last);
                case ResponseEvent.Refused refused -> {
                    mLoad = refused.load();
                    mLastRefusalDetail = refused.reason() + ": " + refused.detail();
                    mRefusal = Optional.of(refused.reason());
                    end(AttemptResult.ofRefusal(refused.reason()));
                    mTried.addRefusal(mMember.endpoint().id(), refused.reason());
                    acknowledge();
                    recover(() -> retryAfterRefusal(refused.reason()));
                }
                case ResponseEvent.OutcomeUnknown(String detail, LoadReport load) -> {
                    mLoad = load;
                    end(AttemptResult.SERVER_FAILED);
                    acknowledge();
                    recordPossibleExecution(detail);
                    recover(() -> retryIfIdempotent(detail));
                }
                case ResponseEvent.SessionLost(Submission submission, String detail) -> {
                    mSubmission = Optional.of(submission);
                    end(AttemptResult.PATH_FAILED);
                    mTried.addPathFailure(mMember.endpoint().id());
                    recordPossibleExecution(detail);
                    mCounter.loseSession();
                    recover(() -> recoverFromLostSession(detail));
                }
            }
        }

        /**
         * Continues the request after this attempt ended without a complete response. A response
         * that has started breaks off at once, so that the caller can repeat its request in time.
         */
        private void recover(Runnable retry) {
            if (mSentBody.isPresent()) {
                breakOff();
            } else {
                retry.run();
            }
        }

        /** Records that this attempt may have been executed, unless it was never submitted. */
        private void recordPossibleExecution(String detail) {
            if (submission().isPresent() && !mPossiblyExecuted.contains(this)) {
                mPossiblyExecuted.add(this);
                mCounter.endExecution();
            }
            mLastUnknownDetail = detail;
        }

        private void recoverFromLostSession(String detail) {
            if (!mRequest.idempotent()) {
                pollOutcome();
            } else if (isTimeLeft() && attemptsLeft()) {
                startAttempt();
            } else {
                reportUnknown(detail);
            }
        }

        private void handleBody(byte[] data, boolean last) {
            mBodyBytes += data.length;
            if (mSentBody.isPresent()) {
                sendPart(mSentBody.get(), data, last);
            } else if (mBuffer.fits(data)) {
                bufferBody(data, last);
            } else {
                // A failure does not end the other attempts at its head; its body must not mix with
                // theirs.
                cancelOtherAttempts();
                CallerResponse.Body body =
                        mResponse.start(mId, mBuffer.status(), mBuffer.headers());
                mSentBody = Optional.of(body);
                sendPart(body, mBuffer.takeBody(), false);
                sendPart(body, data, last);
            }
            if (last && !mDone && !mClosed) {
                complete();
            }
        }

        /** Buffers a small response, so that nothing is sent before it is complete. */
        private void bufferBody(byte[] data, boolean last) {
            mBuffer.append(data);
            if (!last && mBuffer.hasDroppedLongBody()) {
                cancel();
                sendBuffered();
            } else if (last && shouldRetryFailure()) {
                end(AttemptResult.REFUSED);
                acknowledge();
                mFallback = Optional.of(this);
                mCounter.endExecution();
                if (mActiveAttempts.isEmpty()) {
                    retryOrElse(this::sendBuffered);
                }
            } else if (last) {
                sendBuffered();
            } else {
                mExchange.grantCredit(Math.max(1, data.length));
            }
        }

        private boolean shouldRetryFailure() {
            boolean failure =
                    mBuffer.isServiceUnavailable()
                            || mAttemptPolicy.hasObjective() && mBuffer.isServerFailure();
            return failure && mRequest.idempotent();
        }

        private void cancelOtherAttempts() {
            List.copyOf(mActiveAttempts).stream()
                    .filter(other -> other != this)
                    .forEach(Attempt::cancel);
        }

        private void sendBuffered() {
            mResponse.sendComplete(mId, mBuffer.toResponse(), mRequest.idempotent());
            if (mClosed) {
                finish(RequestResult.ANSWERED);
            }
        }

        private void sendPart(CallerResponse.Body body, byte[] data, boolean last) {
            int bytes = data.length;
            body.sendPart(data, last, () -> grant(bytes, last));
        }

        private void grant(int bytes, boolean last) {
            if (!last && bytes > 0 && !mClosed) {
                mExchange.grantCredit(bytes);
            }
        }

        private void complete() {
            end(AttemptResult.ofResponse(mBuffer));
            acknowledge();
            finish(RequestResult.ANSWERED);
        }

        private void retryIfIdempotent(String detail) {
            if (mRequest.idempotent()) {
                retryOrElse(() -> reportUnknown(detail));
            } else {
                reportUnknown(detail);
            }
        }

        private void pollOutcome() {
            new OutcomePoller(mServices, mEventLoop, mId, mSubmission.get(), this).poll();
        }

        @Override
        public boolean isDone() {
            return mDone;
        }

        @Override
        public void notRun() {
            mPossiblyExecuted.remove(this);
            mLastRefusalDetail = "the session to the home node was lost";
            retryAfterRefusal(RefusalReason.CONNECT_FAILED);
        }

        @Override
        public void answered(BufferedResponse response) {
            acknowledge();
            mResponse.sendComplete(mId, response, mRequest.idempotent());
            finish(RequestResult.ANSWERED);
        }

        @Override
        public void unknown(String detail) {
            reportUnknown(detail);
        }

        private void acknowledge() {
            mServices.homeNodeClient().acknowledge(mId, mMember.node());
        }

        private void end(AttemptResult result) {
            mClosed = true;
            mActiveAttempts.remove(this);
            if (mHedgeTimer != null) {
                mHedgeTimer.cancel(false);
            }
            Duration latency = Duration.ofNanos(mServices.clock().nanoTime() - mAttemptStartNanos);
            mLog.addAttempt(
                    mMember.endpoint().id().backendServer(),
                    mMember.node().node(),
                    describe(result),
                    latency.toMillis());
            mServices.chooser().finished(mMember, route(), latency, result, mLoad, mBodyBytes);
        }

        private String describe(AttemptResult result) {
            if (mBuffer.hasHead()) {
                return Integer.toString(mBuffer.status());
            }
            return mRefusal.map(RefusalReason::name).orElse(result.name());
        }

        private void withdraw() {
            AttemptWithdrawal.send(mServices, mEventLoop, mId, submission(), this::handle);
        }

        private void cancel() {
            if (!mClosed) {
                end(AttemptResult.SERVER_FAILED);
                mExchange.cancel();
            }
        }

        /** Returns where this attempt was submitted; empty if it was not and will not be. */
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
