package org.arbutuslock.cli.internal;

import java.time.Instant;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.Decision;
import org.arbutuslock.v1.EndpointStatus;
import org.arbutuslock.v1.Evidence;
import org.arbutuslock.v1.ExplainRequest;
import org.arbutuslock.v1.ExplainResponse;

/** Lists the recent decisions about one backend server with their evidence. */
final class ExplainCommand implements Command {
    @Override
    public String path() {
        return "explain";
    }

    @Override
    public String help() {
        return "list the decisions about a backend server with their evidence";
    }

    @Override
    public void addArguments(ArgumentParser parser) {
        parser.addArgument("server").metavar("SERVER").help("name of the backend server");
    }

    @Override
    public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
        ExplainResponse response = read(arguments.getString("server"), context.client());
        Output output = context.output();
        if (context.options().json()) {
            output.printJson(response);
            return ExitCode.DONE;
        }
        output.printLine(response.getBackendServer() + " at node " + response.getHomeNode());
        response.getEndpointsList().forEach(endpoint -> output.printLine(describe(endpoint)));
        if (response.getDecisionsCount() == 0) {
            output.printLine("no decisions recorded");
        }
        for (Decision decision : response.getDecisionsList()) {
            output.printLine(
                    Instant.ofEpochMilli(decision.getAtMillis())
                            + "  "
                            + decision.getService()
                            + ": "
                            + decision.getDecision()
                            + " because "
                            + decision.getReason());
            decision.getEvidenceList().forEach(evidence -> output.printLine(describe(evidence)));
        }
        return ExitCode.DONE;
    }

    /**
     * Reads the endpoints of a backend server and the recent decisions about it.
     *
     * @throws CommandException if the call fails or no node known to the called node has the
     *     backend server
     */
    static ExplainResponse read(String server, OperatorsClient client) throws CommandException {
        ExplainRequest request = ExplainRequest.newBuilder().setBackendServer(server).build();
        ExplainResponse response = client.read("explain " + server, stub -> stub.explain(request));
        if (!response.getFound()) {
            throw new CommandException(
                    ExitCode.FAILED,
                    "no node known to "
                            + client.address()
                            + " has the backend server "
                            + server
                            + "; compare the name with arbutuslock status");
        }
        return response;
    }

    static String describe(EndpointStatus endpoint) {
        return endpoint.getService()
                + "/"
                + endpoint.getBackendServer()
                + " is "
                + StatusCommand.formatState(endpoint.getState())
                + ", weight "
                + endpoint.getWeightPercent()
                + "%";
    }

    private static String describe(Evidence evidence) {
        String reference =
                evidence.getReference().isEmpty() ? "" : " (" + evidence.getReference() + ")";
        return "    " + evidence.getMeasure() + ": " + evidence.getValue() + reference;
    }
}
