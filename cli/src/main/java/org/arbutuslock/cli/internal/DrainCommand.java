package org.arbutuslock.cli.internal;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.time.Duration;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.DrainOutcome;
import org.arbutuslock.v1.DrainRequest;
import org.arbutuslock.v1.DrainResponse;
import org.arbutuslock.v1.OperatorsGrpc.OperatorsBlockingStub;
import org.arbutuslock.v1.UndrainRequest;
import org.arbutuslock.v1.UndrainResponse;

/** Drains a backend server (takes it out of service) or returns a drained one to service. */
final class DrainCommand implements Command {
    private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

    private final boolean mDrain;

    DrainCommand(boolean drain) {
        mDrain = drain;
    }

    @Override
    public String path() {
        return mDrain ? "drain" : "undrain";
    }

    @Override
    public String help() {
        return mDrain
                ? "take a backend server out of service without interrupting a request"
                : "return a drained backend server to service";
    }

    @Override
    public void addArguments(ArgumentParser parser) {
        parser.addArgument("server").metavar("SERVER").help("name of the backend server");
    }

    @Override
    public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
        String server = arguments.getString("server");
        // Checks that the node is reachable and knows the backend server. If this read fails, no
        // drain request was sent, so the outcome is known.
        ExplainCommand.read(server, context.client());
        DrainResponse response = callUntilDefinite(server, context);
        if (context.options().json()) {
            context.output().printJson(response);
        } else {
            context.output().printLine(path() + " " + server + ": " + describe(response));
            response.getEndpointsList().stream()
                    .map(ExplainCommand::describe)
                    .forEach(context.output()::printLine);
        }
        return switch (response.getOutcome()) {
            case DRAIN_OUTCOME_ACCEPTED, DRAIN_OUTCOME_UNCHANGED -> ExitCode.DONE;
            case DRAIN_OUTCOME_REFUSED_BY_FLOOR, DRAIN_OUTCOME_NOT_FOUND -> ExitCode.FAILED;
            case DRAIN_OUTCOME_HOME_NODE_UNAVAILABLE -> ExitCode.UNAVAILABLE;
            default -> ExitCode.UNKNOWN;
        };
    }

    /**
     * Repeats the call until its outcome is definite or the deadline passes. Repeating is safe
     * because draining a drained backend server changes nothing.
     */
    private DrainResponse callUntilDefinite(String server, CommandContext context)
            throws CommandException {
        OperatorsClient client = context.client();
        String reason = "no response";
        while (!client.deadline().hasPassed()) {
            try {
                DrainResponse response = call(server, client.stubForAttempt());
                if (isDefinite(response.getOutcome(), reason)) {
                    return response;
                }
                reason = response.getReason();
            } catch (StatusRuntimeException failed) {
                Status.Code code = failed.getStatus().getCode();
                if (code != Status.Code.UNAVAILABLE && code != Status.Code.DEADLINE_EXCEEDED) {
                    throw client.createException(path() + " " + server, failed.getStatus());
                }
                reason = failed.getStatus().toString();
            }
            context.output().printMessage("no definite response (" + reason + "); trying again");
            client.deadline().pause(RETRY_PAUSE);
        }
        return DrainResponse.newBuilder()
                .setOutcome(DrainOutcome.DRAIN_OUTCOME_UNKNOWN)
                .setReason(reason + "; check arbutuslock status or run the command again")
                .build();
    }

    /**
     * Returns whether the outcome is final. An unavailable home node is final only for the first
     * attempt, because an earlier attempt whose response was lost may have been executed.
     */
    private static boolean isDefinite(DrainOutcome outcome, String earlierReason) {
        return switch (outcome) {
            case DRAIN_OUTCOME_UNKNOWN, DRAIN_OUTCOME_UNSPECIFIED, UNRECOGNIZED -> false;
            case DRAIN_OUTCOME_HOME_NODE_UNAVAILABLE -> "no response".equals(earlierReason);
            default -> true;
        };
    }

    private DrainResponse call(String server, OperatorsBlockingStub stub) {
        if (mDrain) {
            return stub.drain(DrainRequest.newBuilder().setBackendServer(server).build());
        }
        UndrainResponse response =
                stub.undrain(UndrainRequest.newBuilder().setBackendServer(server).build());
        return DrainResponse.newBuilder()
                .setOutcome(response.getOutcome())
                .setReason(response.getReason())
                .addAllEndpoints(response.getEndpointsList())
                .build();
    }

    private static String describe(DrainResponse response) {
        String outcome =
                switch (response.getOutcome()) {
                    case DRAIN_OUTCOME_ACCEPTED -> "accepted";
                    case DRAIN_OUTCOME_UNCHANGED -> "already done";
                    case DRAIN_OUTCOME_REFUSED_BY_FLOOR -> "refused by the floor";
                    case DRAIN_OUTCOME_NOT_FOUND -> "refused, backend server not found";
                    case DRAIN_OUTCOME_HOME_NODE_UNAVAILABLE ->
                            "home node unavailable, nothing was changed";
                    default -> "outcome unknown";
                };
        return response.getReason().isEmpty() ? outcome : outcome + "; " + response.getReason();
    }
}
