package org.arbutuslock.daemon.internal.operators;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.arbutuslock.api.Result;
import org.arbutuslock.internal.ejection.EjectionDecision;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.operators.OperatorsReply;
import org.arbutuslock.internal.operators.OperatorsRequest;
import org.arbutuslock.v1.Decision;
import org.arbutuslock.v1.DrainOutcome;
import org.arbutuslock.v1.DrainResponse;
import org.arbutuslock.v1.Evidence;
import org.arbutuslock.v1.ExplainResponse;

/** Sends requests to the home node of a backend server and formats its replies for operators. */
final class EndpointCommands {
    private final String mNode;
    private final Supplier<FleetSnapshot> mFleet;
    private final HomeEndpoints mHome;
    private final PeerEndpoints mPeers;

    EndpointCommands(
            String node, Supplier<FleetSnapshot> fleet, HomeEndpoints home, PeerEndpoints peers) {
        mNode = node;
        mFleet = fleet;
        mHome = home;
        mPeers = peers;
    }

    CompletableFuture<Result<ExplainResponse>> explain(String backendServer) {
        Optional<NodeRecord> home = findHome(backendServer);
        if (home.isEmpty()) {
            return CompletableFuture.completedFuture(
                    Result.success(
                            ExplainResponse.newBuilder().setBackendServer(backendServer).build()));
        }
        return sendRequest(home.get(), OperatorsRequest.Action.EXPLAIN, backendServer)
                .thenApply(result -> formatExplanation(backendServer, home.get(), result));
    }

    CompletableFuture<DrainResponse> drain(String backendServer) {
        return changeDrain(OperatorsRequest.Action.DRAIN, backendServer);
    }

    CompletableFuture<DrainResponse> undrain(String backendServer) {
        return changeDrain(OperatorsRequest.Action.UNDRAIN, backendServer);
    }

    private CompletableFuture<DrainResponse> changeDrain(
            OperatorsRequest.Action action, String backendServer) {
        Optional<NodeRecord> home = findHome(backendServer);
        if (home.isEmpty()) {
            return CompletableFuture.completedFuture(
                    respond(
                            DrainOutcome.DRAIN_OUTCOME_NOT_FOUND,
                            "no node known to "
                                    + mNode
                                    + " has the backend server "
                                    + backendServer));
        }
        return sendRequest(home.get(), action, backendServer)
                .thenApply(result -> formatChange(home.get(), result));
    }

    private CompletableFuture<PeerEndpoints.RequestResult> sendRequest(
            NodeRecord home, OperatorsRequest.Action action, String backendServer) {
        return home.node().equals(mNode)
                ? mHome.handle(action, backendServer)
                        .thenApply(PeerEndpoints.RequestResult.Replied::new)
                : mPeers.sendRequest(home, action, backendServer);
    }

    private static Result<ExplainResponse> formatExplanation(
            String backendServer, NodeRecord home, PeerEndpoints.RequestResult result) {
        String step = "explain " + backendServer;
        return switch (result) {
            case PeerEndpoints.RequestResult.Replied(OperatorsReply reply) ->
                    reply.outcome() == OperatorsReply.Outcome.BUSY
                            ? Result.failed(step, home.node(), reply.reason())
                            : Result.success(format(backendServer, home.node(), reply));
            case PeerEndpoints.RequestResult.NotSent(String reason) ->
                    Result.failed(step, home.node(), reason);
            case PeerEndpoints.RequestResult.ReplyMissing(String reason) ->
                    Result.failed(step, home.node(), reason);
        };
    }

    private static DrainResponse formatChange(NodeRecord home, PeerEndpoints.RequestResult result) {
        return switch (result) {
            case PeerEndpoints.RequestResult.Replied(OperatorsReply reply) -> format(reply);
            case PeerEndpoints.RequestResult.NotSent(String reason) ->
                    respond(
                            DrainOutcome.DRAIN_OUTCOME_HOME_NODE_UNAVAILABLE,
                            "home node " + home.node() + " was not reached: " + reason);
            case PeerEndpoints.RequestResult.ReplyMissing(String reason) ->
                    respond(
                            DrainOutcome.DRAIN_OUTCOME_UNKNOWN,
                            "home node "
                                    + home.node()
                                    + " got the request, but the outcome is unknown: "
                                    + reason);
        };
    }

    private static DrainResponse respond(DrainOutcome outcome, String reason) {
        return DrainResponse.newBuilder().setOutcome(outcome).setReason(reason).build();
    }

    private Optional<NodeRecord> findHome(String backendServer) {
        return mFleet.get().nodes().stream()
                .filter(
                        node ->
                                node.endpoints().stream()
                                        .anyMatch(
                                                endpoint ->
                                                        endpoint.id()
                                                                .backendServer()
                                                                .equals(backendServer)))
                .findFirst();
    }

    private static ExplainResponse format(
            String backendServer, String homeNode, OperatorsReply reply) {
        ExplainResponse.Builder response =
                ExplainResponse.newBuilder()
                        .setFound(reply.outcome() == OperatorsReply.Outcome.DESCRIBED)
                        .setBackendServer(backendServer)
                        .setHomeNode(homeNode);
        reply.endpoints().forEach(endpoint -> response.addEndpoints(FleetQueries.format(endpoint)));
        reply.decisions().forEach(decision -> response.addDecisions(format(decision)));
        return response.build();
    }

    private static Decision format(OperatorsReply.EndpointDecision decision) {
        EjectionDecision made = decision.decision();
        String repetitions =
                made.repetitions() > 1 ? " (" + made.repetitions() + " times in a row)" : "";
        Decision.Builder message =
                Decision.newBuilder()
                        .setAtMillis(made.wallTimeMillis())
                        .setService(decision.endpoint().service())
                        .setDecision(
                                made.state().name().toLowerCase(java.util.Locale.ROOT)
                                        + " with weight "
                                        + made.weightPercent()
                                        + "%")
                        .setReason(made.reason() + repetitions);
        if (!made.evidence().isEmpty()) {
            message.addEvidence(
                    Evidence.newBuilder().setMeasure("evidence").setValue(made.evidence()));
        }
        return message.build();
    }

    private static DrainResponse format(OperatorsReply reply) {
        DrainResponse.Builder response =
                DrainResponse.newBuilder()
                        .setOutcome(
                                switch (reply.outcome()) {
                                    case ACCEPTED -> DrainOutcome.DRAIN_OUTCOME_ACCEPTED;
                                    case UNCHANGED -> DrainOutcome.DRAIN_OUTCOME_UNCHANGED;
                                    case REFUSED_BY_FLOOR ->
                                            DrainOutcome.DRAIN_OUTCOME_REFUSED_BY_FLOOR;
                                    case NOT_FOUND -> DrainOutcome.DRAIN_OUTCOME_NOT_FOUND;
                                    case BUSY -> DrainOutcome.DRAIN_OUTCOME_HOME_NODE_UNAVAILABLE;
                                    case DESCRIBED -> DrainOutcome.DRAIN_OUTCOME_UNKNOWN;
                                })
                        .setReason(reply.reason());
        reply.endpoints().forEach(endpoint -> response.addEndpoints(FleetQueries.format(endpoint)));
        return response.build();
    }
}
