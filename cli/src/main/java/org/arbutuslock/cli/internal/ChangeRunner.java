package org.arbutuslock.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.util.List;
import java.util.UUID;
import org.arbutuslock.v1.ApplyChangeRequest;
import org.arbutuslock.v1.ChangeConflict;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.Operation;
import org.arbutuslock.v1.OperatorsGrpc.OperatorsBlockingStub;
import org.arbutuslock.v1.RollbackRequest;
import org.arbutuslock.v1.ValidationError;

/** Submits one change under a new change id and prints its outcome. */
final class ChangeRunner {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final CommandContext mContext;
    private final ChangeOptions mOptions;
    private final String mChangeId = UUID.randomUUID().toString();

    ChangeRunner(CommandContext context, ChangeOptions options) {
        mContext = context;
        mOptions = options;
    }

    ExitCode apply(long baseRevision, List<Operation> operations) throws CommandException {
        ApplyChangeRequest request =
                ApplyChangeRequest.newBuilder()
                        .setChangeId(mChangeId)
                        .setAuthor(mOptions.author())
                        .setBaseRevision(baseRevision)
                        .addAllOperations(operations)
                        .build();
        return run(stub -> stub.applyChange(request).getOutcome());
    }

    ExitCode rollBack(long baseRevision, long revision) throws CommandException {
        RollbackRequest request =
                RollbackRequest.newBuilder()
                        .setChangeId(mChangeId)
                        .setAuthor(mOptions.author())
                        .setBaseRevision(baseRevision)
                        .setRevision(revision)
                        .build();
        return run(stub -> stub.rollback(request).getOutcome());
    }

    private ExitCode run(java.util.function.Function<OperatorsBlockingStub, ChangeOutcome> call)
            throws CommandException {
        Output output = mContext.output();
        // The id is printed before the change is sent, so that the operator can look up the outcome
        // even if this process is killed.
        if (mContext.options().json()) {
            output.printMessage("change id " + mChangeId);
        } else {
            output.printLine("change id " + mChangeId);
        }
        ChangeOutcome outcome =
                new ChangeSubmitter(mContext.client(), output, mChangeId).submit(call);
        ExitCode exitCode = report(outcome);
        if (exitCode == ExitCode.DONE && mOptions.waitForNodes()) {
            return awaitInForce(outcome.getAccepted().getRevision());
        }
        return exitCode;
    }

    /**
     * Waits until the accepted change is in force on all nodes. A failure to wait does not undo the
     * change, so the message says that the change was accepted.
     */
    private ExitCode awaitInForce(long revision) throws CommandException {
        try {
            return new RevisionWaiter(mContext).await(revision);
        } catch (CommandException failed) {
            throw new CommandException(
                    ExitCode.FAILED,
                    "the change was accepted as revision "
                            + revision
                            + ", but waiting for it failed: "
                            + failed.getMessage());
        }
    }

    private ExitCode report(ChangeOutcome outcome) throws CommandException {
        if (mContext.options().json()) {
            mContext.output().printLine(formatJson(outcome));
        } else {
            formatText(outcome).forEach(mContext.output()::printLine);
        }
        return switch (outcome.getOutcomeCase()) {
            case ACCEPTED -> ExitCode.DONE;
            case CONFLICT -> ExitCode.CONFLICT;
            case INVALID -> ExitCode.FAILED;
            case STORE_UNAVAILABLE -> ExitCode.UNAVAILABLE;
            case UNKNOWN, OUTCOME_NOT_SET -> ExitCode.UNKNOWN;
        };
    }

    private String formatJson(ChangeOutcome outcome) throws CommandException {
        try {
            ObjectNode document = MAPPER.createObjectNode().put("changeId", mChangeId);
            document.set("outcome", MAPPER.readTree(JsonFormat.printer().print(outcome)));
            return document.toPrettyString();
        } catch (InvalidProtocolBufferException | JsonProcessingException malformed) {
            throw new CommandException(
                    ExitCode.UNKNOWN,
                    "the outcome of change "
                            + mChangeId
                            + " cannot be printed as JSON: "
                            + malformed.getMessage()
                            + "; run: arbutuslock outcome "
                            + mChangeId);
        }
    }

    private List<String> formatText(ChangeOutcome outcome) {
        return switch (outcome.getOutcomeCase()) {
            case ACCEPTED -> List.of("accepted as revision " + outcome.getAccepted().getRevision());
            case CONFLICT -> List.of(formatConflict(outcome.getConflict()));
            case INVALID ->
                    outcome.getInvalid().getErrorsList().stream()
                            .map(ChangeRunner::formatError)
                            .toList();
            case STORE_UNAVAILABLE ->
                    List.of(
                            "refused: the store "
                                    + outcome.getStoreUnavailable().getPeer()
                                    + " is unavailable ("
                                    + outcome.getStoreUnavailable().getReason()
                                    + "); nothing was changed; try again later");
            case UNKNOWN, OUTCOME_NOT_SET ->
                    List.of(
                            "outcome unknown: "
                                    + outcome.getUnknown().getReason()
                                    + "; the change may have been accepted; before you make it"
                                    + " again, run: arbutuslock outcome "
                                    + mChangeId);
        };
    }

    private static String formatConflict(ChangeConflict conflict) {
        return "conflict: based on revision "
                + conflict.getBaseRevision()
                + ", but the current revision is "
                + conflict.getCurrentRevision()
                + "; "
                + conflict.getWinningAuthor()
                + " made change "
                + conflict.getWinningChangeId()
                + " first; nothing was changed; look at arbutuslock history and run the command"
                + " again";
    }

    private static String formatError(ValidationError error) {
        return "refused: "
                + error.getField()
                + " is \""
                + error.getValue()
                + "\", allowed is "
                + error.getAllowed()
                + (error.getMessage().isEmpty() ? "" : "; " + error.getMessage());
    }
}
