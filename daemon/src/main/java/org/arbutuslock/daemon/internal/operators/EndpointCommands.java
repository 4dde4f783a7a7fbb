package org.arbutuslock.daemon.internal.operators;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.arbutuslock.api.Result;
import org.arbutuslock.internal.ejection.EjectionDecision;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.operators.OperatorsReply;
import org.arbutuslock.v1.Decision;
import org.arbutuslock.v1.DrainOutcome;
import org.arbutuslock.v1.DrainResponse;
import org.arbutuslock.v1.Evidence;
import org.arbutuslock.v1.ExplainResponse;

/** Finds the home node of a backend server and formats its reply for operators. */
final class EndpointCommands {
    private final String mNode;
    private final Supplier<FleetSnapshot> mFleet;
    private final HomeEndpoints mHome;

    EndpointCommands(String node, Supplier<FleetSnapshot> fleet, HomeEndpoints home) {
        mNode = node;
        mFleet = fleet;
        mHome = home;
    }

    CompletableFuture<Result<ExplainResponse>> explain(String backendServer) {
        if (mHome.has(backendServer)) {
            return mHome.explain(backendServer)
                    .thenApply(reply -> Result.success(format(backendServer, mNode, reply)));
        }
        Optional<NodeRecord> home = findHome(backendServer);
        return CompletableFuture.completedFuture(
                home.isEmpty()
                        ? Result.success(
                                ExplainResponse.newBuilder()
                                        .setBackendServer(backendServer)
                                        .build())
                        : Result.failed("explain " + backendServer, mNode, askInstead(home.get())));
    }

    CompletableFuture<DrainResponse> drain(String backendServer) {
        return mHome.has(backendServer)
                ? mHome.drain(backendServer).thenApply(EndpointCommands::format)
                : CompletableFuture.completedFuture(refuse(backendServer));
    }

    CompletableFuture<DrainResponse> undrain(String backendServer) {
        return mHome.has(backendServer)
                ? mHome.undrain(backendServer).thenApply(EndpointCommands::format)
                : CompletableFuture.completedFuture(refuse(backendServer));
    }

    private DrainResponse refuse(String backendServer) {
        return findHome(backendServer)
                .map(
                        home ->
                                respond(
                                        DrainOutcome.DRAIN_OUTCOME_HOME_NODE_UNAVAILABLE,
                                        askInstead(home)))
                .orElseGet(
                        () ->
                                respond(
                                        DrainOutcome.DRAIN_OUTCOME_NOT_FOUND,
                                        "no node that "
                                                + mNode
                                                + " knows has the backend server "
                                                + backendServer));
    }

    private static String askInstead(NodeRecord home) {
        return "its home node is " + home.node() + "; call that node's operators address";
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
                                    case DESCRIBED -> DrainOutcome.DRAIN_OUTCOME_UNKNOWN;
                                })
                        .setReason(reply.reason());
        reply.endpoints().forEach(endpoint -> response.addEndpoints(FleetQueries.format(endpoint)));
        return response.build();
    }
}
