package org.arbutuslock.daemon.internal.home;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.agrona.collections.Object2ObjectHashMap;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;
import org.arbutuslock.daemon.internal.sessions.HomeNode;
import org.arbutuslock.internal.detection.TrafficClass;
import org.arbutuslock.internal.execution.AdmitResult;
import org.arbutuslock.internal.execution.ExecutionLedger;
import org.arbutuslock.internal.execution.ExecutionRecord;
import org.arbutuslock.internal.execution.QueryResult;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.OutcomeState;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.arbutuslock.internal.selection.LoadReport;

/**
 * Executes requests at the backend servers of this host. Every request is recorded in the execution
 * ledger, which alone decides whether a request has run. Thread safe.
 */
public final class HomeService implements HomeNode {
    private static final Exchange FINISHED_EXCHANGE =
            new Exchange() {
                @Override
                public void grantCredit(int bytes) {}

                @Override
                public void cancel() {}
            };

    private static final int PROBE_PRIORITY = 9;

    private final Clock mClock;
    private final ExecutionLedger mLedger;
    private final EndpointStates mStates;
    private final AtomicReference<Map<EndpointId, EndpointRuntime>> mEndpoints =
            new AtomicReference<>(Map.of());
    private final ConcurrentHashMap<Long, Runnable> mFencingCallbacks = new ConcurrentHashMap<>();
    private final long mProbeSession;
    private final AtomicLong mBytesWithoutCredit = new AtomicLong();
    private volatile boolean mDraining;

    /**
     * Creates a service without endpoints.
     *
     * @param clock source of deadlines
     * @param ledger records all requests of this incarnation of the node
     * @param states decides which endpoints accept requests
     */
    public HomeService(Clock clock, ExecutionLedger ledger, EndpointStates states) {
        mClock = clock;
        mLedger = ledger;
        mProbeSession = ledger.openSession();
        mStates = states;
    }

    /**
     * Adds an endpoint or replaces the one with the same id. Dispatched requests of a replaced
     * endpoint finish; its queued requests are refused.
     *
     * @param endpoint the endpoint
     */
    public void addEndpoint(EndpointRuntime endpoint) {
        Map<EndpointId, EndpointRuntime> before =
                mEndpoints.getAndUpdate(
                        endpoints -> {
                            var copy = new Object2ObjectHashMap<EndpointId, EndpointRuntime>();
                            copy.putAll(endpoints);
                            copy.put(endpoint.id(), endpoint);
                            return copy;
                        });
        EndpointRuntime replaced = before.get(endpoint.id());
        if (replaced != null) {
            replaced.drain();
            replaced.close();
        }
    }

    /**
     * Removes an endpoint. Dispatched requests finish; queued requests are refused. Does nothing
     * when the endpoint does not exist.
     *
     * @param id the endpoint
     */
    public void removeEndpoint(EndpointId id) {
        EndpointRuntime removed = mEndpoints.get().get(id);
        mEndpoints.updateAndGet(
                endpoints -> {
                    var copy = new Object2ObjectHashMap<EndpointId, EndpointRuntime>();
                    copy.putAll(endpoints);
                    copy.remove(id);
                    return copy;
                });
        if (removed != null) {
            removed.drain();
            removed.close();
        }
    }

    /**
     * Finds an endpoint of this host.
     *
     * @param id the endpoint
     * @return its runtime, or empty when it is not announced at this node
     */
    public Optional<EndpointRuntime> findEndpoint(EndpointId id) {
        return Optional.ofNullable(mEndpoints.get().get(id));
    }

    /**
     * Returns all endpoints of this host.
     *
     * @return snapshot by id that later changes do not affect
     */
    public Map<EndpointId, EndpointRuntime> endpoints() {
        return mEndpoints.get();
    }

    /** Refuses new and queued requests from now on; dispatched requests finish. */
    public void drain() {
        mDraining = true;
        mEndpoints.get().values().forEach(EndpointRuntime::drain);
    }

    /**
     * Ends all dispatched requests with an unknown outcome, because the process is shutting down.
     */
    public void abortRequests() {
        mEndpoints.get().values().forEach(EndpointRuntime::abortRequests);
    }

    /**
     * Counts the requests of all endpoints of this host.
     *
     * @return queued and dispatched requests
     */
    public int activeRequests() {
        return mEndpoints.get().values().stream().mapToInt(EndpointRuntime::unfinished).sum();
    }

    @Override
    public long openSession(Runnable onFenced) {
        long session = mLedger.openSession();
        mFencingCallbacks.put(session, onFenced);
        return session;
    }

    @Override
    public void closeSession(long session) {
        mLedger.fenceSession(session);
        mFencingCallbacks.remove(session);
    }

    /**
     * Removes expired records from the ledger and closes the connections of the sessions that the
     * ledger fences because an outcome was never acknowledged. Must be called at least once a
     * second.
     */
    public void expireRecords() {
        mLedger.expire().forEach(this::runFencingCallback);
    }

    private void runFencingCallback(long session) {
        Runnable onFenced = mFencingCallbacks.remove(session);
        if (onFenced != null) {
            onFenced.run();
        }
    }

    @Override
    public Exchange submit(long session, ExecutionRequest request, ResponseListener listener) {
        return switch (mLedger.admit(session, request.id())) {
            case AdmitResult.Admitted(ExecutionRecord record) -> start(request, record, listener);
            case AdmitResult.LedgerFull full -> {
                countRefusal(request, RefusalReason.LEDGER_FULL);
                listener.handle(refusal(RefusalReason.LEDGER_FULL, "the execution ledger is full"));
                yield FINISHED_EXCHANGE;
            }
            // The refusal is correct: a request is submitted once, and nothing is admitted on a
            // session after it was fenced, so this request has not run and never will.
            case AdmitResult.SessionFenced fenced -> {
                listener.handle(refusal(RefusalReason.SESSION_FENCED, "the session is closed"));
                yield FINISHED_EXCHANGE;
            }
            case AdmitResult.Duplicate duplicate ->
                    unknownOutcome(listener, "duplicate request id");
            case AdmitResult.Forgotten forgotten ->
                    unknownOutcome(listener, "late copy of a request whose record has expired");
        };
    }

    private Exchange start(
            ExecutionRequest request, ExecutionRecord record, ResponseListener listener) {
        EndpointRuntime endpoint = mEndpoints.get().get(request.endpoint());
        if (mDraining) {
            return refuse(
                    request, record, listener, RefusalReason.DRAINING, "the node is shutting down");
        }
        if (endpoint == null) {
            String detail = request.endpoint() + " is not announced at this node";
            return refuse(request, record, listener, RefusalReason.UNKNOWN_ENDPOINT, detail);
        }
        if (!mStates.accepts(request.endpoint(), request.idempotent())) {
            String detail = request.endpoint() + " is not in service";
            return refuse(request, record, listener, RefusalReason.NOT_IN_SERVICE, detail);
        }
        TrafficClass trafficClass =
                request.workClass() == WorkClass.SHORT ? TrafficClass.SHORT : TrafficClass.LONG;
        HomeExchange exchange =
                new HomeExchange(
                        endpoint,
                        mClock,
                        request,
                        record,
                        trafficClass,
                        new ResponseCredit(mBytesWithoutCredit),
                        listener);
        endpoint.offer(exchange);
        return exchange;
    }

    /**
     * Sends a probe to a backend server, whatever its state. The result is reported to the
     * observation listener like that of a caller's request. Sends nothing when the endpoint is
     * unknown or has had no idempotent request that a probe can repeat.
     *
     * @param id endpoint to probe
     * @param probeId id of the probe, must not have been used before
     * @param timeout time to wait for the response
     */
    public void probe(EndpointId id, RequestId probeId, Duration timeout) {
        EndpointRuntime endpoint = mEndpoints.get().get(id);
        if (endpoint == null || endpoint.probeTemplate().isEmpty()) {
            return;
        }
        ProbeTemplate template = endpoint.probeTemplate().get();
        long deadline = mClock.nanoTime() + timeout.toNanos();
        ExecutionRequest request =
                new ExecutionRequest(
                        probeId,
                        id,
                        "GET",
                        template.target(),
                        template.headers(),
                        new byte[0],
                        WorkClass.SHORT,
                        true,
                        "",
                        1,
                        PROBE_PRIORITY,
                        deadline,
                        SubmissionRequirements.NONE,
                        "");
        if (mLedger.admit(mProbeSession, probeId)
                instanceof AdmitResult.Admitted(ExecutionRecord record)) {
            // A probe has no entry node that would acknowledge its outcome.
            record.abandon();
            endpoint.offer(
                    new HomeExchange(
                            endpoint,
                            mClock,
                            request,
                            record,
                            TrafficClass.PROBE,
                            new ResponseCredit(mBytesWithoutCredit),
                            event -> {}));
        }
    }

    private Exchange refuse(
            ExecutionRequest request,
            ExecutionRecord record,
            ResponseListener listener,
            RefusalReason reason,
            String detail) {
        if (record.refuse(reason)) {
            countRefusal(request, reason);
            listener.handle(refusal(reason, detail));
        }
        return FINISHED_EXCHANGE;
    }

    private void countRefusal(ExecutionRequest request, RefusalReason reason) {
        EndpointRuntime endpoint = mEndpoints.get().get(request.endpoint());
        if (endpoint != null) {
            endpoint.countRefusal(reason);
        }
    }

    private static Exchange unknownOutcome(ResponseListener listener, String detail) {
        listener.handle(new ResponseEvent.OutcomeUnknown(detail, LoadReport.UNKNOWN));
        return FINISHED_EXCHANGE;
    }

    private static ResponseEvent refusal(RefusalReason reason, String detail) {
        return new ResponseEvent.Refused(reason, detail, LoadReport.UNKNOWN);
    }

    @Override
    public OutcomeReport query(RequestId id, long incarnation, long fencedSession) {
        QueryResult result = mLedger.query(id, incarnation, fencedSession);
        if (!mLedger.isOpen(fencedSession)) {
            runFencingCallback(fencedSession);
        }
        return switch (result) {
            case QueryResult.NotRun notRun -> report(OutcomeState.NOT_RUN);
            case QueryResult.InProgress inProgress -> report(OutcomeState.IN_PROGRESS);
            case QueryResult.Answered(Optional<?> response) ->
                    response.map(BufferedResponse.class::cast)
                            .map(
                                    kept ->
                                            new OutcomeReport(
                                                    OutcomeState.ANSWERED, Optional.of(kept)))
                            .orElseGet(() -> report(OutcomeState.ANSWERED_NOT_KEPT));
            case QueryResult.Failed failed -> report(OutcomeState.FAILED);
            case QueryResult.UnknownIncarnation unknown -> report(OutcomeState.UNKNOWN_INCARNATION);
            case QueryResult.Forgotten forgotten -> report(OutcomeState.FORGOTTEN);
        };
    }

    @Override
    public void acknowledge(RequestId id) {
        mLedger.acknowledge(id);
    }

    private static OutcomeReport report(OutcomeState state) {
        return new OutcomeReport(state, Optional.empty());
    }
}
