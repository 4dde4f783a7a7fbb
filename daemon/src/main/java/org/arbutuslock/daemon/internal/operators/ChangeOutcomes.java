package org.arbutuslock.daemon.internal.operators;

import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import org.arbutuslock.api.Failure;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.internal.configuration.SubmitResult;
import org.arbutuslock.internal.configuration.ValidationError;
import org.arbutuslock.v1.ChangeAccepted;
import org.arbutuslock.v1.ChangeConflict;
import org.arbutuslock.v1.ChangeInvalid;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.ChangeUnknown;
import org.arbutuslock.v1.StoreUnavailable;

/** Converts results of the change log to messages for operators. */
final class ChangeOutcomes {
    private static final Pattern UPPERCASE_LETTER = Pattern.compile("([A-Z])");

    private ChangeOutcomes() {}

    static ChangeOutcome accepted(long revision) {
        return ChangeOutcome.newBuilder()
                .setAccepted(ChangeAccepted.newBuilder().setRevision(revision))
                .build();
    }

    static ChangeOutcome storeUnavailable(Failure failure) {
        return ChangeOutcome.newBuilder().setStoreUnavailable(unavailable(failure)).build();
    }

    static StoreUnavailable unavailable(Failure failure) {
        return StoreUnavailable.newBuilder()
                .setPeer(failure.peer())
                .setReason(failure.step() + ": " + failure.reason())
                .build();
    }

    static ChangeOutcome invalid(String field, String value, String allowed, String message) {
        return ChangeOutcome.newBuilder()
                .setInvalid(
                        ChangeInvalid.newBuilder()
                                .addErrors(
                                        org.arbutuslock.v1.ValidationError.newBuilder()
                                                .setField(field)
                                                .setValue(value)
                                                .setAllowed(allowed)
                                                .setMessage(message)))
                .build();
    }

    static ChangeOutcome format(
            SubmitResult result,
            String changeId,
            List<ConfigurationOperation> operations,
            long currentRevision) {
        return switch (result) {
            case SubmitResult.Accepted(long revision) -> accepted(revision);
            case SubmitResult.Conflict conflict -> conflict(conflict, currentRevision);
            case SubmitResult.Invalid(var errors) -> invalid(errors, operations);
            case SubmitResult.StoreUnavailable(Failure failure) -> storeUnavailable(failure);
            case SubmitResult.Unknown _ ->
                    ChangeOutcome.newBuilder()
                            .setUnknown(
                                    ChangeUnknown.newBuilder()
                                            .setChangeId(changeId)
                                            .setReason(
                                                    "the store gave no definite response before the"
                                                            + " deadline"))
                            .build();
        };
    }

    private static ChangeOutcome conflict(SubmitResult.Conflict conflict, long currentRevision) {
        return ChangeOutcome.newBuilder()
                .setConflict(
                        ChangeConflict.newBuilder()
                                .setBaseRevision(conflict.submitted().baseRevision())
                                .setCurrentRevision(
                                        Math.max(currentRevision, conflict.winner().revision()))
                                .setWinningAuthor(conflict.winner().author())
                                .setWinningChangeId(conflict.winner().displayId()))
                .build();
    }

    private static ChangeOutcome invalid(
            List<ValidationError> errors, List<ConfigurationOperation> operations) {
        ChangeInvalid.Builder invalid = ChangeInvalid.newBuilder();
        for (ValidationError error : errors) {
            invalid.addErrors(
                    org.arbutuslock.v1.ValidationError.newBuilder()
                            .setField(findField(error, operations))
                            .setValue(toUnsigned(error.value()))
                            .setAllowed(error.allowed())
                            .setMessage(error.entity()));
        }
        return ChangeOutcome.newBuilder().setInvalid(invalid).build();
    }

    /**
     * Returns the number that the client sent. Its fields are uint32; Java reads values above
     * {@code Integer.MAX_VALUE} as negative.
     */
    private static String toUnsigned(String value) {
        try {
            return Integer.toUnsignedString(Integer.parseInt(value));
        } catch (NumberFormatException notNumber) {
            return value;
        }
    }

    private static String findField(
            ValidationError error, List<ConfigurationOperation> operations) {
        String field = toWireName(error.field());
        for (int index = 0; index < operations.size(); index++) {
            ConfigurationOperation operation = operations.get(index);
            if (operation.entity().equals(error.entity())) {
                return "operations[" + index + "]." + fieldPath(operation, field);
            }
        }
        return field;
    }

    private static String fieldPath(ConfigurationOperation operation, String field) {
        return switch (operation) {
            case ConfigurationOperation.PutService _ -> "put.service." + field;
            case ConfigurationOperation.PutRoute _ -> "put.route." + field;
            case ConfigurationOperation.PutTenant _ -> "put.tenant." + field;
            case ConfigurationOperation.DeleteService _,
                    ConfigurationOperation.DeleteRoute _,
                    ConfigurationOperation.DeleteTenant _ ->
                    "delete." + field;
        };
    }

    private static String toWireName(String field) {
        return switch (field) {
            case "floor" -> "floor_endpoints";
            case "floor in percent" -> "floor_percent";
            default -> UPPERCASE_LETTER.matcher(field).replaceAll("_$1").toLowerCase(Locale.ROOT);
        };
    }
}
