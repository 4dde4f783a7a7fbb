package org.arbutuslock.daemon.internal.operators;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.daemon.internal.ejection.EjectionRunner;
import org.arbutuslock.daemon.internal.home.LocalEndpoints;
import org.arbutuslock.internal.configuration.TaskTimer;
import org.arbutuslock.internal.ejection.EjectionDecision;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.operators.OperatorsReply;
import org.arbutuslock.internal.operators.OperatorsRequest;

/**
 * Explains, drains and undrains the backend servers of this host. A backend server has one endpoint
 * for each service that it serves.
 */
final class HomeEndpoints {
    /**
     * A drain that has not started by then is not possible because of the floor and is cancelled.
     */
    static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(100);
    private static final int MAXIMUM_DECISIONS = 64;

    /** Placeholder; {@link PeerEndpoints} sets the request number of replies to other nodes. */
    private static final long UNASSIGNED_NUMBER = 0;

    private static final String CANCEL_REASON =
            "operator: drain cancelled; the floor did not allow it within 2 s";

    private final LocalEndpoints mEndpoints;
    private final EjectionRunner mEjectionRunner;
    private final Clock mClock;
    private final TaskTimer mTimer;

    HomeEndpoints(
            LocalEndpoints endpoints, EjectionRunner ejectionRunner, Clock clock, TaskTimer timer) {
        mEndpoints = endpoints;
        mEjectionRunner = ejectionRunner;
        mClock = clock;
        mTimer = timer;
    }

    boolean hasEndpoint(String backendServer) {
        return !endpointIds(backendServer).isEmpty();
    }

    CompletableFuture<OperatorsReply> handle(OperatorsRequest.Action action, String backendServer) {
        return switch (action) {
            case EXPLAIN -> explain(backendServer);
            case DRAIN -> drain(backendServer);
            case UNDRAIN -> undrain(backendServer);
        };
    }

    private CompletableFuture<OperatorsReply> explain(String backendServer) {
        if (!hasEndpoint(backendServer)) {
            return CompletableFuture.completedFuture(notFound(backendServer));
        }
        return reply(backendServer, OperatorsReply.Outcome.DESCRIBED, "");
    }

    private CompletableFuture<OperatorsReply> drain(String backendServer) {
        List<EndpointId> ids = endpointIds(backendServer);
        if (ids.isEmpty()) {
            return CompletableFuture.completedFuture(notFound(backendServer));
        }
        return submitToAll(
                        ids,
                        control -> {
                            EndpointState before = control.state();
                            control.drain("drained by an operator");
                            return isDrainingOrLeft(before);
                        })
                .thenCompose(
                        drainingOrLeft ->
                                drainingOrLeft.stream().allMatch(Boolean::booleanValue)
                                        ? reply(
                                                backendServer,
                                                OperatorsReply.Outcome.UNCHANGED,
                                                "the backend server is already draining or has"
                                                        + " left")
                                        : awaitDrain(
                                                backendServer,
                                                ids,
                                                mClock.nanoTime() + DRAIN_TIMEOUT.toNanos()));
    }

    private CompletableFuture<OperatorsReply> awaitDrain(
            String backendServer, List<EndpointId> ids, long deadlineNanos) {
        return submitToAll(ids, EjectionRunner.EndpointControl::state)
                .thenCompose(
                        states -> {
                            if (states.stream().allMatch(HomeEndpoints::isDrainingOrLeft)) {
                                return reply(
                                        backendServer,
                                        OperatorsReply.Outcome.ACCEPTED,
                                        "the backend server gets no new requests and finishes"
                                                + " its requests in progress");
                            }
                            if (mClock.nanoTime() - deadlineNanos >= 0) {
                                return refuseDrain(backendServer, ids);
                            }
                            CompletableFuture<OperatorsReply> reply = new CompletableFuture<>();
                            mTimer.runAfter(
                                    DRAIN_POLL_INTERVAL,
                                    () ->
                                            awaitDrain(backendServer, ids, deadlineNanos)
                                                    .thenAccept(reply::complete));
                            return reply;
                        });
    }

    /** Cancels the drain, which would otherwise start as soon as the floor allows it. */
    private CompletableFuture<OperatorsReply> refuseDrain(
            String backendServer, List<EndpointId> ids) {
        return submitToAll(
                        ids,
                        control -> {
                            String reason = newestReason(control);
                            control.cancelDrain(CANCEL_REASON);
                            return reason;
                        })
                .thenCompose(
                        reasons ->
                                reply(
                                        backendServer,
                                        OperatorsReply.Outcome.REFUSED_BY_FLOOR,
                                        "the floor of a service did not allow the drain within "
                                                + DRAIN_TIMEOUT.toSeconds()
                                                + " s ("
                                                + String.join("; ", reasons)
                                                + "); the drain was cancelled; add or undrain"
                                                + " other endpoints of the service, or lower its"
                                                + " floor"));
    }

    private static String newestReason(EjectionRunner.EndpointControl control) {
        List<EjectionDecision> decisions = control.explain();
        if (decisions.isEmpty()) {
            return "state " + control.state();
        }
        EjectionDecision newest = decisions.getLast();
        return newest.evidence().isEmpty()
                ? newest.reason()
                : newest.reason() + ", " + newest.evidence();
    }

    private CompletableFuture<OperatorsReply> undrain(String backendServer) {
        List<EndpointId> ids = endpointIds(backendServer);
        if (ids.isEmpty()) {
            return CompletableFuture.completedFuture(notFound(backendServer));
        }
        return submitToAll(
                        ids,
                        control -> {
                            EndpointState before = control.state();
                            control.cancelDrain("undrained by an operator");
                            return new UndrainResult(
                                    isDrainingOrLeft(before), isDrainingOrLeft(control.state()));
                        })
                .thenCompose(results -> replyToUndrain(backendServer, results));
    }

    private CompletableFuture<OperatorsReply> replyToUndrain(
            String backendServer, List<UndrainResult> results) {
        if (results.stream().anyMatch(UndrainResult::drainingOrLeftAfter)) {
            return reply(
                    backendServer,
                    OperatorsReply.Outcome.NOT_FOUND,
                    "the backend server or its node is leaving the fleet, which cannot be undone;"
                            + " start it again instead");
        }
        return results.stream().anyMatch(UndrainResult::drainingOrLeftBefore)
                ? reply(
                        backendServer,
                        OperatorsReply.Outcome.ACCEPTED,
                        "the backend server returns to service; its weight increases gradually")
                : reply(
                        backendServer,
                        OperatorsReply.Outcome.UNCHANGED,
                        "the backend server was not drained by an operator");
    }

    private record UndrainResult(boolean drainingOrLeftBefore, boolean drainingOrLeftAfter) {}

    private static boolean isDrainingOrLeft(EndpointState state) {
        return state == EndpointState.DRAINING || state == EndpointState.LEFT;
    }

    private CompletableFuture<OperatorsReply> reply(
            String backendServer, OperatorsReply.Outcome outcome, String reason) {
        List<EndpointId> ids = endpointIds(backendServer);
        return submitToAll(
                        ids,
                        control ->
                                control.explain().stream()
                                        .map(
                                                decision ->
                                                        new OperatorsReply.EndpointDecision(
                                                                control.id(), decision))
                                        .toList())
                .thenApply(
                        lists ->
                                new OperatorsReply(
                                        UNASSIGNED_NUMBER,
                                        outcome,
                                        reason,
                                        endpointRecords(backendServer),
                                        merge(lists)));
    }

    private static List<OperatorsReply.EndpointDecision> merge(
            List<List<OperatorsReply.EndpointDecision>> lists) {
        return lists.stream()
                .flatMap(list -> list.reversed().stream())
                .sorted(
                        Comparator.comparingLong(
                                        (OperatorsReply.EndpointDecision decision) ->
                                                decision.decision().wallTimeMillis())
                                .reversed())
                .limit(MAXIMUM_DECISIONS)
                .toList();
    }

    private static OperatorsReply notFound(String backendServer) {
        return new OperatorsReply(
                UNASSIGNED_NUMBER,
                OperatorsReply.Outcome.NOT_FOUND,
                backendServer + " has no endpoint on this host",
                List.of(),
                List.of());
    }

    private List<EndpointRecord> endpointRecords(String backendServer) {
        return mEndpoints.records().stream()
                .filter(endpoint -> endpoint.id().backendServer().equals(backendServer))
                .toList();
    }

    private List<EndpointId> endpointIds(String backendServer) {
        return endpointRecords(backendServer).stream().map(EndpointRecord::id).toList();
    }

    /**
     * Runs the operation on the event loop of the ejection runner, once for each endpoint. The
     * result has no value for endpoints that are no longer on this host.
     */
    private <T> CompletableFuture<List<T>> submitToAll(
            List<EndpointId> ids, Function<EjectionRunner.EndpointControl, T> operation) {
        CompletableFuture<List<T>> all = CompletableFuture.completedFuture(new ArrayList<>());
        for (EndpointId id : ids) {
            CompletableFuture<Optional<T>> result = mEjectionRunner.submit(id, operation);
            all =
                    all.thenCombine(
                            result,
                            (list, value) -> {
                                value.ifPresent(list::add);
                                return list;
                            });
        }
        return all;
    }
}
