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
 * One request at its home node, from its wait in the admission queue to the end of its response.
 * Confined to the event loop of its endpoint, except {@link #grantCredit} and {@link #cancel},
 * which any thread may call.
 */
final class HomeExchange implements Exchange {
    private static final EventLogger LOGGER = EventLogger.forComponent("home");
    // Limits the log to about 6 kB/s, since a line takes about 300 bytes.
    private static final int FAILURE_LINES_PER_SECOND = 20;
    private static final LogRateLimiter FAILURE_LINE_LIMIT =
            new LogRateLimiter(FAILURE_LINES_PER_SECOND);
    private static final int ANSWER_LINES_PER_SECOND = 10;
    private static final LogRateLimiter ANSWER_LINE_LIMIT =
            new LogRateLimiter(ANSWER_LINES_PER_SECOND);
    private static final int MAXIMUM_KEPT_BODY_BYTES = 64 * 1024;
    // A body without a reader may have no end; reading it takes time from other requests.
    private static final int MAXIMUM_UNREAD_BODY_BYTES = 1024 * 1024;
    private static final int SHED_STATUS = 503;
    private static final int FIRST_SERVER_ERROR = 500;
    // Time that a non-idempotent request may run past its deadline. Aborting it at the deadline
    // would leave its outcome unknown.
    private static final long NON_IDEMPOTENT_GRACE_NANOS = Duration.ofSeconds(30).toNanos();
    // Time that a non-idempotent request with a latency objective may run past its deadline. It is
    // shorter because the backend server stops such work at the deadline by itself.
    private static final long OBJECTIVE_GRACE_NANOS = Duration.ofMillis(500).toNanos();

    private final EndpointRuntime mEndpoint;
    private final Clock mClock;
    private final ExecutionRequest mRequest;
    private final ExecutionRecord mRecord;
    private final ResponseListener mListener;
    private final TrafficClass mTrafficClass;
    private final Ticket<HomeExchange> mTicket;
    private BackendConnection mConnection;
    private ProgressMonitor.InFlightRequest mInFlightRequest;
    private long mDispatchNanos;
    private Future<?> mDeadline;
    private Optional<RequestObservation> mObservation = Optional.empty();
    private Future<?> mStallCheck;
    private final ResponseCredit mCredit;
    private long mUnreadBytes;
    private boolean mCancelled;
    private boolean mDone;
    private int mStatus;
    private List<HeaderField> mHeaders = List.of();
    private ByteArrayOutputStream mKeptBody;

    HomeExchange(
            EndpointRuntime endpoint,
            Clock clock,
            ExecutionRequest request,
            ExecutionRecord record,
            TrafficClass trafficClass,
            ResponseCredit credit,
            ResponseListener listener) {
        mCredit = credit;
        mTrafficClass = trafficClass;
        mEndpoint = endpoint;
        mClock = clock;
        mRequest = request;
        mRecord = record;
        mListener = listener;
        mTicket =
                new Ticket<>(
                        this,
                        request.route(),
                        request.workClass(),
                        request.priority(),
                        request.tenant(),
                        request.tenantWeight(),
                        request.deadlineNanos(),
                        objectiveNanos(request));
    }

    private static long objectiveNanos(ExecutionRequest request) {
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

    /** Refuses this request; must be called only before it is dispatched. */
    void refuse(RefusalReason reason, String detail) {
        mDone = true;
        if (mRecord.refuse(reason)) {
            mEndpoint.countRefusal(reason);
            emit(new ResponseEvent.Refused(reason, detail, mEndpoint.load()));
        }
    }

    /** Sends the request on the acquired connection, or refuses it when connecting failed. */
    void handleConnection(Result<BackendConnection> result) {
        switch (result) {
            case Result.Success<BackendConnection>(BackendConnection connection) ->
                    dispatch(connection);
            case Result.Failed<BackendConnection>(var failure) -> {
                refuse(RefusalReason.CONNECT_FAILED, failure.toString());
                mEndpoint.observe(new Observation(mTrafficClass, 0, Outcome.WRONG));
                mEndpoint.finished(this, Completion.FAILED);
            }
        }
    }

    private void dispatch(BackendConnection connection) {
        // False when the request was cancelled or refused by an outcome query in the meantime.
        if (!mRecord.markDispatched()) {
            mDone = true;
            mEndpoint.release(connection);
            mEndpoint.finished(this, Completion.FAILED);
            return;
        }
        mConnection = connection;
        mDispatchNanos = mClock.nanoTime();
        mInFlightRequest = mEndpoint.progress().dispatched(mRequest.requirements().overdueMillis());
        RequestObservation observation = new RequestObservation(mEndpoint, mClock, mTrafficClass);
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
                recordProgress();
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
        keepBody(data);
        recordProgress();
        if (hasReader()) {
            mCredit.use(data.length);
        } else {
            mUnreadBytes += data.length;
        }
        if (last) {
            complete();
        } else if (mUnreadBytes > MAXIMUM_UNREAD_BODY_BYTES) {
            breakOffUnread();
            return;
        } else if (hasReader() && !mCredit.mayRead()) {
            mConnection.setReading(false);
            mObservation.ifPresent(RequestObservation::recordSlowCaller);
        }
        // The end of the response is recorded before it is sent, so that an outcome query never
        // misses a response that the entry node has received.
        emit(new ResponseEvent.Body(data, last));
    }

    /** Returns whether somebody gets the response and grants credit for it. */
    private boolean hasReader() {
        return !mCancelled && mTrafficClass != TrafficClass.PROBE;
    }

    /** Closes the connection in the middle of a response that nobody gets. */
    private void breakOffUnread() {
        String reason = "more than " + MAXIMUM_UNREAD_BODY_BYTES + " bytes that nobody reads";
        if (mCancelled) {
            // A cancellation is no evidence about the health of the backend server.
            mObservation.ifPresent(RequestObservation::withdraw);
            logFailure(reason, Outcome.TRUNCATED);
            failDispatched(reason, Outcome.OK);
        } else {
            failDispatched(reason, Outcome.TRUNCATED);
        }
    }

    private void keepBody(byte[] data) {
        if (mKeptBody == null) {
            return;
        }
        if (mKeptBody.size() + data.length > MAXIMUM_KEPT_BODY_BYTES) {
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
                        mInFlightRequest,
                        classify(mStatus) == Outcome.OK
                                ? ProgressMonitor.Result.SUCCEEDED
                                : ProgressMonitor.Result.FAILED);
        mObservation.ifPresent(observation -> observation.ended(classify(mStatus)));
        logAnswer();
        mEndpoint.release(mConnection);
        mEndpoint.finished(this, toCompletion(classify(mStatus)));
    }

    /** Refuses a dispatched request whose response says that it was not executed. */
    private void refuseDispatched(boolean otherServer) {
        finish();
        mObservation.ifPresent(observation -> observation.ended(Outcome.REFUSED));
        mEndpoint.progress().ended(mInFlightRequest, ProgressMonitor.Result.CANCELLED);
        mRecord.refuseDispatched(RefusalReason.NOT_EXECUTED);
        mEndpoint.countRefusal(RefusalReason.NOT_EXECUTED);
        mEndpoint.release(mConnection);
        String detail =
                otherServer
                        ? "another backend server now uses the address"
                        : "the backend server did not execute the request";
        emit(new ResponseEvent.Refused(RefusalReason.NOT_EXECUTED, detail, mEndpoint.load()));
        mEndpoint.finished(this, Completion.SHED);
    }

    private void failDispatched(String reason, Outcome outcome) {
        finish();
        mEndpoint
                .progress()
                .ended(
                        mInFlightRequest,
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

    private void logAnswer() {
        long now = mClock.nanoTime();
        long leftOut = ANSWER_LINE_LIMIT.tryAcquire(now);
        if (leftOut == LogRateLimiter.SUPPRESSED) {
            return;
        }
        Optional<String> seal =
                mEndpoint.dialect().sealField().map(name -> HeaderField.find(mHeaders, name));
        LOGGER.log(
                Event.BACKEND_REQUEST_ANSWERED,
                mEndpoint.dialect().requestName(mRequest.headers()),
                mRequest.id().format(),
                mEndpoint.id(),
                mConnection.number(),
                mConnection.sentRequests(),
                mStatus,
                seal.orElse(""),
                TimeUnit.NANOSECONDS.toMillis(now - mDispatchNanos),
                leftOut);
    }

    private void logFailure(String reason, Outcome outcome) {
        long leftOut = FAILURE_LINE_LIMIT.tryAcquire(mClock.nanoTime());
        if (leftOut == LogRateLimiter.SUPPRESSED || outcome == Outcome.OK) {
            return;
        }
        LOGGER.log(
                Event.BACKEND_REQUEST_FAILED,
                mEndpoint.dialect().requestName(mRequest.headers()),
                mRequest.id().format(),
                mEndpoint.id(),
                mConnection.number(),
                mConnection.sentRequests(),
                outcome,
                TimeUnit.NANOSECONDS.toMillis(mClock.nanoTime() - mDispatchNanos),
                reason,
                leftOut);
    }

    private void finish() {
        mDone = true;
        mCredit.release();
        mDeadline.cancel(false);
        mStallCheck.cancel(false);
    }

    private void checkStall() {
        long next = mObservation.orElseThrow().checkStall();
        mStallCheck = mEndpoint.schedule(this::checkStall, next);
    }

    private void recordProgress() {
        mObservation.ifPresent(RequestObservation::recordProgress);
    }

    private void deadlinePassed() {
        if (mDone) {
            return;
        }
        mObservation.ifPresent(observation -> observation.ended(Outcome.TIMEOUT));
        long overdue = mClock.nanoTime() - mRequest.deadlineNanos();
        if (mRequest.idempotent() || overdue >= gracePeriodNanos()) {
            failDispatched(
                    "the deadline passed while the backend server worked on the request",
                    Outcome.TIMEOUT);
        } else {
            mDeadline = mEndpoint.schedule(this::deadlinePassed, gracePeriodNanos());
        }
    }

    private long gracePeriodNanos() {
        return mRequest.requirements().hasObjective()
                ? OBJECTIVE_GRACE_NANOS
                : NON_IDEMPOTENT_GRACE_NANOS;
    }

    @Override
    public void grantCredit(int bytes) {
        mEndpoint.execute(
                () -> {
                    if (mConnection == null || mDone || mCancelled) {
                        return;
                    }
                    mCredit.grant(bytes);
                    if (mCredit.mayRead()) {
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
        mCancelled = true;
        mRecord.abandon();
        if (mConnection == null) {
            cancelUndispatched();
        } else if (mRequest.idempotent()) {
            // A cancellation is no evidence about the health of the backend server.
            mObservation.ifPresent(RequestObservation::withdraw);
            failDispatched("the request was cancelled", Outcome.OK);
        } else {
            // Continues without a reader, so that its outcome can be queried later.
            mCredit.release();
            mConnection.setReading(true);
        }
    }

    /**
     * Refuses this request when it is queued, and reports an unknown outcome when it is dispatched,
     * because the process is shutting down. Event loop only.
     */
    void abortForShutdown() {
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
        if (!mCancelled) {
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
