package org.arbutuslock.daemon.internal.home;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Result;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;
import org.arbutuslock.internal.admission.Completion;
import org.arbutuslock.internal.admission.Ticket;
import org.arbutuslock.internal.detection.Outcome;
import org.arbutuslock.internal.detection.TrafficClass;
import org.arbutuslock.internal.execution.ExecutionRecord;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.logging.LogRateLimiter;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.progress.ProgressMonitor;

/**
 * One admitted request at its home node, from the queue to the end of the response. Confined to the
 * event loop of its endpoint, but for {@link #grantCredit} and {@link #cancel}.
 */
final class HomeExchange implements Exchange {
    private static final EventLogger LOGGER = EventLogger.forComponent("home");
    // A line takes about 300 bytes.
    private static final int FAILURES_PER_SECOND = 20;
    private static final LogRateLimiter FAILURES = new LogRateLimiter(FAILURES_PER_SECOND);
    private static final int KEPT_BODY_BYTES = 64 * 1024;
    private static final int SHED_STATUS = 503;
    private static final int FIRST_SERVER_ERROR = 500;
    // A non-idempotent request is not cut off at its deadline, since its outcome could not be
    // known then. This is how much longer it may run.
    private static final long EXTRA_NANOS = Duration.ofSeconds(30).toNanos();
    // A backend server that gets an objective ends its work at the deadline by itself.
    private static final long OBJECTIVE_EXTRA_NANOS = Duration.ofMillis(500).toNanos();

    private final EndpointRuntime mEndpoint;
    private final Clock mClock;
    private final ExecutionRequest mRequest;
    private final ExecutionRecord mRecord;
    private final ResponseListener mListener;
    private final TrafficClass mLane;
    private final Ticket<HomeExchange> mTicket;
    private BackendConnection mConnection;
    private ProgressMonitor.InFlightRequest mRun;
    private long mDispatchNanos;
    private Future<?> mDeadline;
    private Optional<RequestObservation> mObservation = Optional.empty();
    private Future<?> mStallCheck;
    private long mCredit = INITIAL_CREDIT_BYTES;
    private boolean mDetached;
    private boolean mDone;
    private int mStatus;
    private List<HeaderField> mHeaders = List.of();
    private ByteArrayOutputStream mKeptBody;

    HomeExchange(
            EndpointRuntime endpoint,
            Clock clock,
            ExecutionRequest request,
            ExecutionRecord record,
            TrafficClass lane,
            ResponseListener listener) {
        mLane = lane;
        mEndpoint = endpoint;
        mClock = clock;
        mRequest = request;
        mRecord = record;
        mListener = listener;
        mTicket =
                new Ticket<>(
                        this,
                        request.workClass(),
                        request.priority(),
                        request.tenant(),
                        request.tenantWeight(),
                        request.deadlineNanos(),
                        usefulWaitNanos(request));
    }

    private static long usefulWaitNanos(ExecutionRequest request) {
        return request.requirements().hasObjective()
                ? TimeUnit.MILLISECONDS.toNanos(request.requirements().objectiveMillis())
                : 0;
    }

    Ticket<HomeExchange> ticket() {
        return mTicket;
    }

    ExecutionRequest request() {
        return mRequest;
    }

    /** Refuses a request that was not dispatched. */
    void refuse(RefusalReason reason, String detail) {
        mDone = true;
        if (mRecord.refuse(reason)) {
            mEndpoint.countRefusal(reason);
            emit(new ResponseEvent.Refused(reason, detail, mEndpoint.load()));
        }
    }

    /** Takes the connection on which the request shall be sent, or the reason for its lack. */
    void connected(Result<BackendConnection> result) {
        switch (result) {
            case Result.Success<BackendConnection>(BackendConnection connection) ->
                    dispatch(connection);
            case Result.Failed<BackendConnection>(var failure) -> {
                refuse(RefusalReason.CONNECT_FAILED, failure.toString());
                mEndpoint.observe(new Observation(mLane, 0, Outcome.WRONG));
                mEndpoint.finished(this, Completion.FAILED);
            }
        }
    }

    private void dispatch(BackendConnection connection) {
        // Fails when the request was cancelled or its outcome was asked for in the meantime.
        if (!mRecord.markDispatched()) {
            mDone = true;
            mEndpoint.release(connection);
            mEndpoint.finished(this, Completion.FAILED);
            return;
        }
        mConnection = connection;
        mDispatchNanos = mClock.nanoTime();
        mRun = mEndpoint.progress().dispatched(mRequest.requirements().overdueMillis());
        RequestObservation observation = new RequestObservation(mEndpoint, mClock, mLane);
        mObservation = Optional.of(observation);
        checkStall();
        long remaining = Math.max(0, mRequest.deadlineNanos() - mClock.nanoTime());
        mDeadline = mEndpoint.schedule(this::deadlinePassed, remaining);
        if (!mRequest.idempotent()) {
            mKeptBody = new ByteArrayOutputStream();
        }
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(remaining);
        connection.send(mRequest, remainingMillis, this::handle);
    }

    private void handle(BackendEvent event) {
        if (mDone) {
            return;
        }
        switch (event) {
            case BackendEvent.Head(int status, List<HeaderField> headers) -> {
                mStatus = status;
                mHeaders = headers;
                progressed();
                emit(new ResponseEvent.Head(status, headers, mEndpoint.load()));
            }
            case BackendEvent.Body(byte[] data, boolean last) -> handleBody(data, last);
            case BackendEvent.NotExecuted(boolean otherServer) -> refuseDispatched(otherServer);
            case BackendEvent.Broken(String reason) -> {
                failDispatched(reason, Outcome.TRUNCATED);
            }
        }
    }

    private void handleBody(byte[] data, boolean last) {
        keep(data);
        progressed();
        // Nobody reads the response of a probe, so that nobody grants credit for it.
        mCredit -= mLane == TrafficClass.PROBE ? 0 : data.length;
        if (last) {
            complete();
        } else if (mCredit <= 0 && !mDetached) {
            mConnection.setReading(false);
            mObservation.ifPresent(RequestObservation::slowedByCaller);
        }
        // Recorded before it is sent, so that a query never finds a response that is not recorded.
        emit(new ResponseEvent.Body(data, last));
    }

    private void keep(byte[] data) {
        if (mKeptBody == null) {
            return;
        }
        if (mKeptBody.size() + data.length > KEPT_BODY_BYTES) {
            mKeptBody = null;
        } else {
            mKeptBody.writeBytes(data);
        }
    }

    private void complete() {
        finish();
        if (mKeptBody == null) {
            mRecord.complete();
        } else {
            mRecord.complete(new BufferedResponse(mStatus, mHeaders, mKeptBody.toByteArray()));
        }
        mEndpoint
                .progress()
                .ended(
                        mRun,
                        classify(mStatus) == Outcome.OK
                                ? ProgressMonitor.Result.SUCCEEDED
                                : ProgressMonitor.Result.FAILED);
        mObservation.ifPresent(observation -> observation.ended(classify(mStatus)));
        mEndpoint.release(mConnection);
        mEndpoint.finished(this, toCompletion(classify(mStatus)));
    }

    /** Refuses a request that the backend server says it did not execute. */
    private void refuseDispatched(boolean otherServer) {
        finish();
        mObservation.ifPresent(observation -> observation.ended(Outcome.REFUSED));
        mEndpoint.progress().ended(mRun, ProgressMonitor.Result.CANCELLED);
        mRecord.refuseDispatched(RefusalReason.NOT_EXECUTED);
        mEndpoint.countRefusal(RefusalReason.NOT_EXECUTED);
        mEndpoint.release(mConnection);
        String detail =
                otherServer
                        ? "another backend server has the address"
                        : "the backend server did not execute the request";
        emit(new ResponseEvent.Refused(RefusalReason.NOT_EXECUTED, detail, mEndpoint.load()));
        mEndpoint.finished(this, Completion.SHED);
    }

    private void failDispatched(String reason, Outcome outcome) {
        finish();
        mEndpoint
                .progress()
                .ended(
                        mRun,
                        outcome == Outcome.OK
                                ? ProgressMonitor.Result.CANCELLED
                                : ProgressMonitor.Result.FAILED);
        mObservation.ifPresent(observation -> observation.ended(outcome));
        logFailure(reason, outcome);
        mRecord.fail();
        mConnection.abort();
        emit(new ResponseEvent.OutcomeUnknown(reason, mEndpoint.load()));
        mEndpoint.finished(this, Completion.FAILED);
    }

    private void logFailure(String reason, Outcome outcome) {
        long leftOut = FAILURES.tryAcquire(mClock.nanoTime());
        if (leftOut == LogRateLimiter.SUPPRESSED || outcome == Outcome.OK) {
            return;
        }
        LOGGER.log(
                Event.BACKEND_REQUEST_FAILED,
                mEndpoint.dialect().requestName(mRequest.headers()),
                mRequest.id().format(),
                mEndpoint.id(),
                outcome,
                TimeUnit.NANOSECONDS.toMillis(mClock.nanoTime() - mDispatchNanos),
                reason,
                leftOut);
    }

    private void finish() {
        mDone = true;
        mDeadline.cancel(false);
        mStallCheck.cancel(false);
    }

    private void checkStall() {
        long next = mObservation.orElseThrow().checkStall();
        mStallCheck = mEndpoint.schedule(this::checkStall, next);
    }

    private void progressed() {
        mObservation.ifPresent(RequestObservation::progressed);
    }

    private void deadlinePassed() {
        if (mDone) {
            return;
        }
        mObservation.ifPresent(observation -> observation.ended(Outcome.TIMEOUT));
        long overdue = mClock.nanoTime() - mRequest.deadlineNanos();
        if (mRequest.idempotent() || overdue >= extraNanos()) {
            failDispatched(
                    "the deadline passed while the backend server worked on the request",
                    Outcome.TIMEOUT);
        } else {
            mDeadline = mEndpoint.schedule(this::deadlinePassed, extraNanos());
        }
    }

    private long extraNanos() {
        return mRequest.requirements().hasObjective() ? OBJECTIVE_EXTRA_NANOS : EXTRA_NANOS;
    }

    @Override
    public void grantCredit(int bytes) {
        mEndpoint.execute(
                () -> {
                    mCredit += bytes;
                    if (mConnection != null && !mDone && mCredit > 0) {
                        mConnection.setReading(true);
                    }
                });
    }

    @Override
    public void cancel() {
        mEndpoint.execute(this::cancelNow);
    }

    private void cancelNow() {
        if (mDone) {
            return;
        }
        mDetached = true;
        mRecord.abandon();
        if (mConnection == null) {
            cancelUndispatched();
        } else if (mRequest.idempotent()) {
            // Says nothing about the backend server.
            mObservation.ifPresent(RequestObservation::withdraw);
            failDispatched("cancelled", Outcome.OK);
        } else {
            // Runs on, so that its outcome can be asked for later.
            mConnection.setReading(true);
        }
    }

    /** Tells the caller's node what is known before the process ends. Event loop only. */
    void endForShutdown() {
        if (mDone) {
            return;
        }
        String reason = "the home node is shutting down";
        if (mConnection == null) {
            refuse(RefusalReason.DRAINING, reason);
        } else {
            mObservation.ifPresent(RequestObservation::withdraw);
            failDispatched(reason, Outcome.OK);
        }
    }

    private void cancelUndispatched() {
        mRecord.refuse(RefusalReason.CANCELLED);
        if (mEndpoint.withdraw(this)) {
            mDone = true;
        }
    }

    private void emit(ResponseEvent event) {
        if (!mDetached) {
            mListener.handle(event);
        }
    }

    private static Outcome classify(int status) {
        if (status == SHED_STATUS) {
            return Outcome.REFUSED;
        }
        return status >= FIRST_SERVER_ERROR ? Outcome.WRONG : Outcome.OK;
    }

    private static Completion toCompletion(Outcome outcome) {
        return switch (outcome) {
            case OK, LATE -> Completion.SUCCESS;
            case REFUSED -> Completion.SHED;
            case WRONG, TRUNCATED, TIMEOUT, STALLED -> Completion.FAILED;
        };
    }
}
