package org.arbutuslock.daemon.internal.home;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
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
 * Executes requests for the backend servers of this host. Sole authority on whether a request has
 * run: every request passes through the execution ledger.
 */
public final class HomeService implements HomeNode {
    private static final Exchange FINISHED =
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
    private final ConcurrentHashMap<Long, Runnable> mSessions = new ConcurrentHashMap<>();
    private final long mProbeSession;
    private volatile boolean mDraining;

    /**
     * Creates a service without endpoints.
     *
     * @param clock time
     * @param ledger record of all requests of this incarnation
     * @param states tells which endpoints take work
     */
    public HomeService(Clock clock, ExecutionLedger ledger, EndpointStates states) {
        mClock = clock;
        mLedger = ledger;
        mProbeSession = ledger.openSession();
        mStates = states;
    }

    /**
     * Adds an endpoint or replaces one with the same id. Requests in progress at a replaced one
     * finish; queued ones are refused.
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
     * Removes an endpoint. Requests in progress finish; queued ones are refused.
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
     * @return its runtime, or empty
     */
    public Optional<EndpointRuntime> findEndpoint(EndpointId id) {
        return Optional.ofNullable(mEndpoints.get().get(id));
    }

    /**
     * Returns all endpoints of this host.
     *
     * @return snapshot by id
     */
    public Map<EndpointId, EndpointRuntime> endpoints() {
        return mEndpoints.get();
    }

    /** Refuses new requests from now on; requests in progress finish. */
    public void drain() {
        mDraining = true;
        mEndpoints.get().values().forEach(EndpointRuntime::drain);
    }

    /** Reports an unknown outcome for every request in progress, because the process ends. */
    public void abortRequests() {
        mEndpoints.get().values().forEach(EndpointRuntime::endRequests);
    }

    /**
     * Counts the requests that backend servers of this host work on.
     *
     * @return requests in progress
     */
    public int activeRequests() {
        return mEndpoints.get().values().stream().mapToInt(EndpointRuntime::unfinished).sum();
    }

    @Override
    public long openSession(Runnable onFenced) {
        long session = mLedger.openSession();
        mSessions.put(session, onFenced);
        return session;
    }

    @Override
    public void closeSession(long session) {
        mLedger.fenceSession(session);
        mSessions.remove(session);
    }

    /** Forgets old records. Call it every second. */
    public void expireRecords() {
        mLedger.expire().forEach(this::closeFenced);
    }

    private void closeFenced(long session) {
        Runnable onFenced = mSessions.remove(session);
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
                listener.handle(refusal(RefusalReason.LEDGER_FULL, "too many recent requests"));
                yield FINISHED;
            }
            // True, since a request is submitted once, and nothing is admitted after the fence.
            case AdmitResult.SessionFenced fenced -> {
                listener.handle(refusal(RefusalReason.SESSION_FENCED, "the session is closed"));
                yield FINISHED;
            }
            case AdmitResult.Duplicate duplicate -> unknown(listener, "duplicate request id");
            case AdmitResult.Forgotten forgotten -> unknown(listener, "late copy of a request");
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
        if (!mStates.takes(request.endpoint(), request.idempotent())) {
            String detail = request.endpoint() + " is not in service";
            return refuse(request, record, listener, RefusalReason.NOT_IN_SERVICE, detail);
        }
        TrafficClass lane =
                request.workClass() == WorkClass.SHORT ? TrafficClass.SHORT : TrafficClass.LONG;
        HomeExchange exchange = new HomeExchange(endpoint, mClock, request, record, lane, listener);
        endpoint.offer(exchange);
        return exchange;
    }

    /**
     * Sends a probe to a backend server in any state. Its result is observed like that of a
     * request. Nothing is sent when there was no idempotent request to repeat.
     *
     * @param id endpoint to probe
     * @param probeId id of the probe, not used before
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
                        SubmissionRequirements.NONE);
        if (mLedger.admit(mProbeSession, probeId)
                instanceof AdmitResult.Admitted(ExecutionRecord record)) {
            // Nobody acknowledges a probe.
            record.abandon();
            endpoint.offer(
                    new HomeExchange(
                            endpoint, mClock, request, record, TrafficClass.PROBE, event -> {}));
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
        return FINISHED;
    }

    private void countRefusal(ExecutionRequest request, RefusalReason reason) {
        EndpointRuntime endpoint = mEndpoints.get().get(request.endpoint());
        if (endpoint != null) {
            endpoint.countRefusal(reason);
        }
    }

    private static Exchange unknown(ResponseListener listener, String detail) {
        listener.handle(new ResponseEvent.OutcomeUnknown(detail, LoadReport.UNKNOWN));
        return FINISHED;
    }

    private static ResponseEvent refusal(RefusalReason reason, String detail) {
        return new ResponseEvent.Refused(reason, detail, LoadReport.UNKNOWN);
    }

    @Override
    public OutcomeReport query(RequestId id, long incarnation, long fencedSession) {
        QueryResult result = mLedger.query(id, incarnation, fencedSession);
        if (!mLedger.isOpen(fencedSession)) {
            closeFenced(fencedSession);
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
