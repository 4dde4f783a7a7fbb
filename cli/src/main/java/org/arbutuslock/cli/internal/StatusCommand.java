package org.arbutuslock.cli.internal;

import java.util.Locale;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.EndpointState;
import org.arbutuslock.v1.EndpointStatus;
import org.arbutuslock.v1.GetStatusRequest;
import org.arbutuslock.v1.GetStatusResponse;
import org.arbutuslock.v1.NodeStatus;
import org.arbutuslock.v1.StoreStatus;

/** Shows nodes, their endpoints and revisions, and whether the store is reachable. */
final class StatusCommand implements Command {
    private static final int DEFAULT_LIMIT = 100;
    private static final int MAXIMUM_LIMIT = 100_000;
    private static final int MAXIMUM_PAGE_SIZE = 500;

    @Override
    public String path() {
        return "status";
    }

    @Override
    public String help() {
        return "show nodes, endpoints, revisions and the store";
    }

    @Override
    public void addArguments(ArgumentParser parser) {
        parser.addArgument("--service").setDefault("").help("only nodes that serve this service");
        parser.addArgument("--availability-zone")
                .setDefault("")
                .help("only nodes of this availability zone");
        parser.addArgument("--limit")
                .type(Integer.class)
                .choices(Arguments.range(1, MAXIMUM_LIMIT))
                .setDefault(DEFAULT_LIMIT)
                .help("maximum number of nodes to show; default 100");
    }

    @Override
    public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
        GetStatusResponse status = readPages(arguments, context);
        if (context.options().json()) {
            context.output().printJson(status);
            return ExitCode.DONE;
        }
        Output output = context.output();
        output.printLine(
                "configuration revision "
                        + status.getConfigurationRevision()
                        + ", as seen by node "
                        + status.getRespondingNode());
        output.printLine(describe(status.getStore()));
        Table table =
                new Table(
                        "NODE",
                        "ZONE",
                        "STATE",
                        "REVISION",
                        "ENDPOINT",
                        "ENDPOINT STATE",
                        "WEIGHT");
        for (NodeStatus node : status.getNodesList()) {
            addRows(table, node);
        }
        table.print(output);
        output.printLine(
                status.getNodesCount()
                        + " of "
                        + status.getNodesTotal()
                        + " nodes and of "
                        + status.getEndpointsTotal()
                        + " endpoints shown"
                        + (status.getNextPageToken().isEmpty() ? "" : "; use a larger --limit"));
        return ExitCode.DONE;
    }

    static String formatState(EndpointState state) {
        return state.name()
                .replace("ENDPOINT_STATE_", "")
                .replace('_', ' ')
                .toLowerCase(Locale.ROOT);
    }

    private static GetStatusResponse readPages(Namespace arguments, CommandContext context)
            throws CommandException {
        int limit = arguments.getInt("limit");
        GetStatusResponse.Builder all = GetStatusResponse.newBuilder();
        do {
            GetStatusRequest request =
                    GetStatusRequest.newBuilder()
                            .setService(arguments.getString("service"))
                            .setAvailabilityZone(arguments.getString("availability_zone"))
                            .setPageSize(Math.min(MAXIMUM_PAGE_SIZE, limit - all.getNodesCount()))
                            .setPageToken(all.getNextPageToken())
                            .build();
            GetStatusResponse page =
                    context.client().read("status", stub -> stub.getStatus(request));
            all.mergeFrom(page).setStore(page.getStore()).setNextPageToken(page.getNextPageToken());
        } while (!all.getNextPageToken().isEmpty() && all.getNodesCount() < limit);
        return all.build();
    }

    private static String describe(StoreStatus store) {
        return store.getReachable()
                ? "store " + store.getAddress() + " is reachable"
                : "store "
                        + store.getAddress()
                        + " is unavailable since "
                        + store.getMillisSinceSuccess()
                        + " ms: "
                        + store.getReason();
    }

    private static void addRows(Table table, NodeStatus node) {
        String state = node.getState().name().replace("NODE_STATE_", "").toLowerCase(Locale.ROOT);
        if (node.getEndpointsCount() == 0) {
            table.addRow(
                    node.getNode(),
                    node.getAvailabilityZone(),
                    state,
                    node.getConfigurationRevision(),
                    "",
                    "",
                    "");
        }
        for (EndpointStatus endpoint : node.getEndpointsList()) {
            table.addRow(
                    node.getNode(),
                    node.getAvailabilityZone(),
                    state,
                    node.getConfigurationRevision(),
                    endpoint.getService() + "/" + endpoint.getBackendServer(),
                    formatState(endpoint.getState()),
                    endpoint.getWeightPercent() + "%");
        }
    }
}
