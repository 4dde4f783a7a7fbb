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
 * One endpoint at its home node: admission and connections, confined to one event loop. Other
 * threads use {@link #execute} and the volatile load.
 */
public final class EndpointRuntime {
    private static final EventLogger LOGGER = EventLogger.forComponent("home");
    private static final int SUSPICIONS_PER_SECOND = 10;
    private static final LogRateLimiter SUSPICIONS = new LogRateLimiter(SUSPICIONS_PER_SECOND);

    private final EndpointId mId;
    private final InetSocketAddress mAddress;
    private final int mSlots;
    private final EventLoop mEventLoop;
    private final AdmissionController<HomeExchange> mAdmission;
    private final BackendConnectionPool mPool;
    private final RequestDialect mDialect;
    private final RetryLimiter mRetryGate;
    private final ServiceTimeEstimator mServiceTimer;
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
     * Creates an endpoint that takes requests at once, at a rising concurrency.
     *
     * @param id the endpoint
     * @param address address of its backend server
     * @param admission bounds of admission, with the number of slots
     * @param eventLoop event loop to which the endpoint is confined
     * @param clock time of admission and connections
     * @param observations gets the evidence of finished requests
     * @param dialect names of header fields
     * @param retryGate budget of repeated requests
     */
    public EndpointRuntime(
            EndpointId id,
            InetSocketAddress address,
            AdmissionSettings admission,
            EventLoop eventLoop,
            Clock clock,
            ObservationListener observations,
            RequestDialect dialect,
            RetryLimiter retryGate) {
        mRetryGate = retryGate;
        mId = id;
        mAddress = address;
        mSlots = admission.slots();
        mEventLoop = eventLoop;
        mAdmission = new AdmissionController<>(clock, admission);
        mPool = new BackendConnectionPool(eventLoop, clock, address, dialect);
        mDialect = dialect;
        mClock = clock;
        mProgress = new ProgressMonitor(clock);
        mServiceTimer = new ServiceTimeEstimator(admission.slots(), clock);
        mObservations = observations;
    }

    /**
     * Returns the id.
     *
     * @return the endpoint
     */
    public EndpointId id() {
        return mId;
    }

    /**
     * Returns the address of the backend server.
     *
     * @return IP address and port
     */
    public InetSocketAddress address() {
        return mAddress;
    }

    /**
     * Returns the number of slots.
     *
     * @return requests that the backend server works on at once
     */
    public int slots() {
        return mSlots;
    }

    /**
     * Returns the latest load. Any thread.
     *
     * @return load after the last change
     */
    public LoadReport load() {
        return mLoad;
    }

    /**
     * Counts the requests that wait or are worked on. Any thread.
     *
     * @return unfinished requests
     */
    public int unfinished() {
        return mUnfinished;
    }

    /**
     * Tells whether the newest request found the backend server suspect. Any thread.
     *
     * @return true when work went elsewhere
     */
    public boolean isSuspect() {
        return mSuspect;
    }

    /**
     * Counts the requests that were refused. Any thread.
     *
     * @param reason why
     * @return refusals since the endpoint was announced
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

    /** Refuses what is queued and finishes what is dispatched. Any thread. */
    void drain() {
        execute(() -> apply(mAdmission.drain()));
    }

    /** Refuses what is queued, because the endpoint takes no work. Any thread. */
    void refuseWaiting() {
        execute(() -> apply(mAdmission.refuseWaiting()));
    }

    /** Ends what is dispatched, because the process ends. Any thread. */
    void endRequests() {
        execute(() -> List.copyOf(mDispatched).forEach(HomeExchange::endForShutdown));
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

    /** Returns the timer of the backend server's work. Event loop of the endpoint only. */
    ServiceTimeEstimator serviceTimer() {
        return mServiceTimer;
    }

    private void offerNow(HomeExchange exchange) {
        Optional<RefusalReason> poorHealth = findPoorHealth(exchange.request());
        if (poorHealth.isPresent()) {
            exchange.refuse(poorHealth.get(), mId + " has overdue work or failed");
            return;
        }
        if (exchange.request().requirements().repetition() && !mRetryGate.tryRetry()) {
            exchange.refuse(RefusalReason.RETRY_BUDGET, "too many repeated requests at " + mId);
            return;
        }
        switch (mAdmission.offer(exchange.ticket())) {
            case OfferResult.Dispatch<HomeExchange>(Ticket<HomeExchange> ticket) ->
                    dispatch(ticket.request());
            case OfferResult.Queued<HomeExchange>(var displaced) -> {
                displaced.forEach(EndpointRuntime::refuse);
                startPolling();
            }
            case OfferResult.Refused<HomeExchange>(Refusal<HomeExchange> rejection) ->
                    refuse(rejection);
        }
        updateLoad();
    }

    /** Finds why a request should try another endpoint first. */
    private Optional<RefusalReason> findPoorHealth(ExecutionRequest request) {
        boolean suspect = mProgress.isSuspect();
        noteSuspicion(suspect, request);
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

    private void noteSuspicion(boolean suspect, ExecutionRequest request) {
        if (suspect == mSuspect) {
            return;
        }
        mSuspect = suspect;
        long leftOut = SUSPICIONS.tryAcquire(mClock.nanoTime());
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

    /** Returns the names of header fields. */
    RequestDialect dialect() {
        return mDialect;
    }

    /** Returns the monitor of the backend server's progress. Event loop of the endpoint only. */
    ProgressMonitor progress() {
        return mProgress;
    }

    private void apply(Decisions<HomeExchange> decisions) {
        decisions.refuse().forEach(EndpointRuntime::refuse);
        decisions.dispatch().forEach(ticket -> dispatch(ticket.request()));
        updateLoad();
    }

    /**
     * Returns a short idempotent request that the backend server has got lately, to probe it with.
     * Any thread.
     *
     * @return the request without its other headers, or empty when there was none
     */
    public Optional<ProbeTemplate> probeTemplate() {
        return Optional.ofNullable(mProbeTemplate);
    }

    private void rememberForProbes(ExecutionRequest request) {
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
            mRetryGate.recordFirstAttempt();
        }
        rememberForProbes(exchange.request());
        mPool.acquire(exchange.request().idempotent(), exchange::connected);
    }

    private static void refuse(Refusal<HomeExchange> rejection) {
        long retryAfter = TimeUnit.NANOSECONDS.toMillis(rejection.retryAfterNanos());
        rejection
                .ticket()
                .request()
                .refuse(rejection.reason(), "try again after " + retryAfter + " ms");
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
