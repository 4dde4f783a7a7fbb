package org.arbutuslock.cli.internal;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.arbutuslock.v1.ChangeAccepted;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.ChangeUnknown;
import org.arbutuslock.v1.GetChangeRequest;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.OperatorsGrpc.OperatorsBlockingStub;

/**
 * Submits one change repeatedly until its outcome is definite or the deadline passes. Every attempt
 * carries the same change id and base revision, so that the change is accepted at most once.
 */
final class ChangeSubmitter {
    private static final Duration FIRST_PAUSE = Duration.ofMillis(200);
    private static final Duration MAXIMUM_PAUSE = Duration.ofSeconds(2);

    private final OperatorsClient mClient;
    private final Output mOutput;
    private final String mChangeId;
    private String mUnknownReason = "";

    ChangeSubmitter(OperatorsClient client, Output output, String changeId) {
        mClient = client;
        mOutput = output;
        mChangeId = changeId;
    }

    ChangeOutcome submit(Function<OperatorsBlockingStub, ChangeOutcome> call)
            throws CommandException {
        Duration pause = FIRST_PAUSE;
        while (!mClient.deadline().hasPassed()) {
            Optional<ChangeOutcome> definiteOutcome = submitOnce(call);
            if (definiteOutcome.isPresent()) {
                return definiteOutcome.get();
            }
            mOutput.printMessage(
                    "no definite response ("
                            + mUnknownReason
                            + "); trying the same change id again");
            mClient.deadline().pause(pause);
            pause = pause.multipliedBy(2);
            pause = pause.compareTo(MAXIMUM_PAUSE) > 0 ? MAXIMUM_PAUSE : pause;
        }
        return ChangeOutcome.newBuilder()
                .setUnknown(
                        ChangeUnknown.newBuilder().setChangeId(mChangeId).setReason(mUnknownReason))
                .build();
    }

    private Optional<ChangeOutcome> submitOnce(Function<OperatorsBlockingStub, ChangeOutcome> call)
            throws CommandException {
        try {
            ChangeOutcome outcome = call.apply(mClient.stubForAttempt());
            return switch (outcome.getOutcomeCase()) {
                case ACCEPTED -> Optional.of(outcome);
                // A conflict is definite: it names another change as the revision after the base
                // revision, so this change cannot be that revision.
                case CONFLICT -> Optional.of(findEarlierAcceptance().orElse(outcome));
                case INVALID, STORE_UNAVAILABLE -> confirmRefusal(outcome);
                case UNKNOWN -> recordUnknownOutcome(outcome.getUnknown().getReason());
                case OUTCOME_NOT_SET ->
                        recordUnknownOutcome("the node sent an outcome of a later release");
            };
        } catch (StatusRuntimeException failed) {
            if (!isRefusal(failed.getStatus().getCode())) {
                return recordUnknownOutcome(failed.getStatus().toString());
            }
            // An earlier attempt whose response was lost may still have been accepted.
            if (mUnknownReason.isEmpty()) {
                throw mClient.createException("change " + mChangeId, failed.getStatus());
            }
            return recordUnknownOutcome(failed.getStatus().toString());
        }
    }

    /**
     * Returns the definite outcome after a refused attempt. The refusal is definite only if no
     * earlier attempt can have been accepted; while that is unknown, the result is empty.
     */
    private Optional<ChangeOutcome> confirmRefusal(ChangeOutcome refusal) {
        if (mUnknownReason.isEmpty()) {
            return Optional.of(refusal);
        }
        GetChangeResponse response = readChange();
        if (response.hasAccepted()) {
            return Optional.of(accepted(response));
        }
        return response.getAbsent().getDefinite() ? Optional.of(refusal) : Optional.empty();
    }

    private Optional<ChangeOutcome> findEarlierAcceptance() {
        if (mUnknownReason.isEmpty()) {
            return Optional.empty();
        }
        GetChangeResponse response = readChange();
        return response.hasAccepted() ? Optional.of(accepted(response)) : Optional.empty();
    }

    private GetChangeResponse readChange() {
        try {
            return mClient.stubForAttempt()
                    .getChange(GetChangeRequest.newBuilder().setChangeId(mChangeId).build());
        } catch (StatusRuntimeException failed) {
            return GetChangeResponse.getDefaultInstance();
        }
    }

    private static ChangeOutcome accepted(GetChangeResponse response) {
        return ChangeOutcome.newBuilder()
                .setAccepted(
                        ChangeAccepted.newBuilder()
                                .setRevision(response.getAccepted().getRevision()))
                .build();
    }

    private Optional<ChangeOutcome> recordUnknownOutcome(String reason) {
        mUnknownReason = reason;
        return Optional.empty();
    }

    private static boolean isRefusal(Status.Code code) {
        return switch (code) {
            case INVALID_ARGUMENT, PERMISSION_DENIED, UNAUTHENTICATED, UNIMPLEMENTED -> true;
            default -> false;
        };
    }
}
