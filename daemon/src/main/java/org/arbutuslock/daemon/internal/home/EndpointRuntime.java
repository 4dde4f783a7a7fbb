package org.arbutuslock.daemon.internal.home;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.internal.admission.AdmissionController;
import org.arbutuslock.internal.admission.AdmissionEstimate;
import org.arbutuslock.internal.admission.AdmissionSettings;
import org.arbutuslock.internal.admission.Completion;
import org.arbutuslock.internal.admission.Decisions;
import org.arbutuslock.internal.admission.OfferResult;
import org.arbutuslock.internal.admission.Refusal;
import org.arbutuslock.internal.admission.Ticket;
import org.arbutuslock.internal.detection.ServiceTimeEstimator;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.logging.LogRateLimiter;
import org.arbutuslock.internal.progress.ProgressMonitor;
import org.arbutuslock.internal.retry.RetryLimiter;
import org.arbutuslock.internal.selection.LoadReport;

/**
 * Runs the requests of one endpoint at its home node: admission control, connections and evidence
 * of health. Confined to one event loop, except the methods that say "Any thread".
 */
public final class EndpointRuntime {
    private static final EventLogger LOGGER = EventLogger.forComponent("home");
    private static final int SUSPICION_LINES_PER_SECOND = 10;
    private static final int REFUSAL_LINES_PER_SECOND = 20;
    private static final LogRateLimiter REFUSAL_LINE_LIMIT =
            new LogRateLimiter(REFUSAL_LINES_PER_SECOND);
    private static final LogRateLimiter SUSPICION_LINE_LIMIT =
            new LogRateLimiter(SUSPICION_LINES_PER_SECOND);

    private final EndpointId mId;
    private final InetSocketAddress mAddress;
    private final int mSlots;
    private final EventLoop mEventLoop;
    private final AdmissionController<HomeExchange> mAdmission;
    private final BackendConnectionPool mPool;
    private final RequestDialect mDialect;
    private final RetryLimiter mRetryLimiter;
    private final ServiceTimeEstimator mServiceTimeEstimator;
    private final ProgressMonitor mProgress;
    private final Clock mClock;
    private volatile boolean mSuspect;
    private final ObservationListener mObservations;
    private final AtomicLongArray mRefusals = new AtomicLongArray(RefusalReason.values().length);
    private volatile LoadReport mLoad = LoadReport.UNKNOWN;
    private volatile int mUnfinished;
    private volatile ProbeTemplate mProbeTemplate;
    private boolean mPolling;
    private final Set<HomeExchange> mDispatched = new HashSet<>();

    /**
     * Creates an endpoint that accepts requests at once, with a concurrency limit that rises from
     * 1.
     *
     * @param id the endpoint
     * @param address address of its backend server
     * @param admission limits of admission control, with the number of slots
     * @param eventLoop event loop to which the endpoint is confined
     * @param clock source of time for admission, connections and health
     * @param observations gets the evidence that requests give about the backend server's health
     * @param dialect translates header fields
     * @param retryLimiter decides whether repeated requests may reach the backend server
     */
    public EndpointRuntime(
            EndpointId id,
            InetSocketAddress address,
            AdmissionSettings admission,
            EventLoop eventLoop,
            Clock clock,
            ObservationListener observations,
            RequestDialect dialect,
            RetryLimiter retryLimiter) {
        mRetryLimiter = retryLimiter;
        mId = id;
        mAddress = address;
        mSlots = admission.slots();
        mEventLoop = eventLoop;
        mAdmission = new AdmissionController<>(clock, admission);
        mPool = new BackendConnectionPool(eventLoop, clock, address, dialect);
        mDialect = dialect;
        mClock = clock;
        mProgress = new ProgressMonitor(clock);
        mServiceTimeEstimator = new ServiceTimeEstimator(admission.slots(), clock);
        mObservations = observations;
    }

    /**
     * Returns the id of this endpoint. Any thread.
     *
     * @return service and backend server
     */
    public EndpointId id() {
        return mId;
    }

    /**
     * Returns the address of the backend server. Any thread.
     *
     * @return IP address and port
     */
    public InetSocketAddress address() {
        return mAddress;
    }

    /**
     * Returns the number of slots. Any thread.
     *
     * @return requests that the backend server executes at the same time
     */
    public int slots() {
        return mSlots;
    }

    /**
     * Returns the load after the last change of admission. Any thread.
     *
     * @return queue length, concurrency limit and expected waits
     */
    public LoadReport load() {
        return mLoad;
    }

    /**
     * Counts the unfinished requests. Any thread.
     *
     * @return queued and dispatched requests
     */
    public int unfinished() {
        return mUnfinished;
    }

    /**
     * Tells whether the backend server was suspect when the newest request arrived. Any thread.
     *
     * @return true when requests that need a healthy server are refused
     */
    public boolean isSuspect() {
        return mSuspect;
    }

    /**
     * Counts the requests that were refused for one reason. Any thread.
     *
     * @param reason reason of the refusals
     * @return refusals since this endpoint was created
     */
    public long refusals(RefusalReason reason) {
        return mRefusals.get(reason.ordinal());
    }

    void countRefusal(RefusalReason reason) {
        mRefusals.incrementAndGet(reason.ordinal());
    }

    /** Offers a request to admission. Any thread. */
    void offer(HomeExchange exchange) {
        execute(() -> offerNow(exchange));
    }

    /** Refuses queued and new requests; dispatched requests finish. Any thread. */
    void drain() {
        execute(() -> apply(mAdmission.drain()));
    }

    /** Refuses queued requests; dispatched and later requests are not affected. Any thread. */
    void refuseQueued() {
        execute(() -> apply(mAdmission.refuseQueued()));
    }

    /**
     * Ends dispatched requests with an unknown outcome, because the process is shutting down. Any
     * thread.
     */
    void abortRequests() {
        execute(() -> List.copyOf(mDispatched).forEach(HomeExchange::abortForShutdown));
    }

    /** Closes idle connections. Any thread. */
    void close() {
        execute(mPool::close);
    }

    void execute(Runnable step) {
        if (mEventLoop.inEventLoop()) {
            step.run();
        } else {
            mEventLoop.execute(step);
        }
    }

    Future<?> schedule(Runnable step, long delayNanos) {
        return mEventLoop.schedule(step, delayNanos, TimeUnit.NANOSECONDS);
    }

    boolean withdraw(HomeExchange exchange) {
        boolean withdrawn = mAdmission.cancel(exchange.ticket());
        updateLoad();
        return withdrawn;
    }

    void release(BackendConnection connection) {
        mPool.release(connection);
    }

    void finished(HomeExchange exchange, Completion completion) {
        mDispatched.remove(exchange);
        apply(mAdmission.finished(exchange.ticket(), completion));
    }

    void observe(Observation observation) {
        mObservations.observed(mId, observation);
    }

    /** Returns the estimator of the time that the backend server works on requests. */
    ServiceTimeEstimator serviceTimeEstimator() {
        return mServiceTimeEstimator;
    }

    private void offerNow(HomeExchange exchange) {
        Optional<RefusalReason> healthRefusal = findHealthRefusal(exchange.request());
        if (healthRefusal.isPresent()) {
            exchange.refuse(
                    healthRefusal.get(),
                    mId + " is not healthy enough: it has overdue requests or recent failures");
            return;
        }
        if (exchange.request().requirements().repetition() && !mRetryLimiter.tryRetry()) {
            exchange.refuse(RefusalReason.RETRY_BUDGET, "too many repeated requests at " + mId);
            return;
        }
        switch (mAdmission.offer(exchange.ticket())) {
            case OfferResult.Dispatch<HomeExchange>(Ticket<HomeExchange> ticket) ->
                    dispatch(ticket.request());
            case OfferResult.Queued<HomeExchange>(var displaced) -> {
                displaced.forEach(this::refuse);
                startPolling();
            }
            case OfferResult.Refused<HomeExchange>(Refusal<HomeExchange> refusal) ->
                    refuse(refusal);
        }
        updateLoad();
    }

    /** Returns why a request must try another endpoint first, or empty when it may run here. */
    private Optional<RefusalReason> findHealthRefusal(ExecutionRequest request) {
        boolean suspect = mProgress.isSuspect();
        updateSuspicion(suspect, request);
        boolean refused =
                switch (request.requirements().requiredHealth()) {
                    case ANY -> false;
                    case NOT_SUSPECT ->
                            suspect && (!request.idempotent() || !mProgress.tryAcquireTrial());
                    case PROVEN -> suspect || !mProgress.isProven();
                };
        if (!refused) {
            return Optional.empty();
        }
        return Optional.of(suspect ? RefusalReason.SUSPECT : RefusalReason.UNPROVEN);
    }

    private void updateSuspicion(boolean suspect, ExecutionRequest request) {
        if (suspect == mSuspect) {
            return;
        }
        mSuspect = suspect;
        long leftOut = SUSPICION_LINE_LIMIT.tryAcquire(mClock.nanoTime());
        if (leftOut != LogRateLimiter.SUPPRESSED) {
            LOGGER.log(
                    Event.ENDPOINT_SUSPECT,
                    mId,
                    suspect,
                    mDialect.requestName(request.headers()),
                    mUnfinished,
                    leftOut);
        }
    }

    RequestDialect dialect() {
        return mDialect;
    }

    /** Returns the monitor that suspects the backend server when its requests are overdue. */
    ProgressMonitor progress() {
        return mProgress;
    }

    private void apply(Decisions<HomeExchange> decisions) {
        decisions.refuse().forEach(this::refuse);
        decisions.dispatch().forEach(ticket -> dispatch(ticket.request()));
        updateLoad();
    }

    /**
     * Returns the last dispatched request that a probe may repeat. Any thread.
     *
     * @return a short idempotent GET request, reduced to its target and host header, or empty when
     *     there was none
     */
    public Optional<ProbeTemplate> probeTemplate() {
        return Optional.ofNullable(mProbeTemplate);
    }

    private void updateProbeTemplate(ExecutionRequest request) {
        boolean suitable =
                mDialect.mayRepeatAsProbe()
                        && request.idempotent()
                        && request.workClass() == WorkClass.SHORT
                        && request.method().equals("GET");
        if (suitable) {
            mProbeTemplate = ProbeTemplate.of(request);
        }
    }

    private void dispatch(HomeExchange exchange) {
        mDispatched.add(exchange);
        if (!exchange.request().requirements().repetition()) {
            mRetryLimiter.recordFirstAttempt();
        }
        updateProbeTemplate(exchange.request());
        mPool.acquire(exchange.request(), exchange::handleConnection);
    }

    private void refuse(Refusal<HomeExchange> refusal) {
        logRefusal(refusal);
        long retryAfter = TimeUnit.NANOSECONDS.toMillis(refusal.retryAfterNanos());
        refusal.ticket()
                .request()
                .refuse(refusal.reason(), "try again after " + retryAfter + " ms");
    }

    private void logRefusal(Refusal<HomeExchange> refusal) {
        long leftOut = REFUSAL_LINE_LIMIT.tryAcquire(mClock.nanoTime());
        if (leftOut == LogRateLimiter.SUPPRESSED) {
            return;
        }
        ExecutionRequest request = refusal.ticket().request().request();
        AdmissionEstimate estimate = refusal.estimate();
        LOGGER.log(
                Event.REQUEST_NOT_ADMITTED,
                mDialect.requestName(request.headers()),
                request.id().format(),
                mId,
                request.route(),
                refusal.reason(),
                TimeUnit.NANOSECONDS.toMillis(estimate.remainingNanos()),
                TimeUnit.NANOSECONDS.toMillis(estimate.waitNanos()),
                TimeUnit.NANOSECONDS.toMillis(estimate.latencyNanos()),
                estimate.waiting(),
                estimate.inFlight(),
                estimate.limit(),
                leftOut);
    }

    private void startPolling() {
        if (!mPolling) {
            mPolling = true;
            schedulePoll();
        }
    }

    private void schedulePoll() {
        schedule(
                this::poll,
                TimeUnit.MILLISECONDS.toNanos(AdmissionController.POLL_INTERVAL_MILLIS));
    }

    private void poll() {
        apply(mAdmission.poll());
        if (mAdmission.waiting() > 0) {
            schedulePoll();
        } else {
            mPolling = false;
        }
    }

    private void updateLoad() {
        mUnfinished = mAdmission.inFlight() + mAdmission.waiting();
        mLoad =
                new LoadReport(
                        mAdmission.waiting(),
                        mAdmission.limit(),
                        mAdmission.expectedWaitNanos(WorkClass.SHORT),
                        mAdmission.expectedWaitNanos(WorkClass.LONG));
    }
}
