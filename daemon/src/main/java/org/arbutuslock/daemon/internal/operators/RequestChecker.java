package org.arbutuslock.daemon.internal.operators;

import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.Operation;
import org.arbutuslock.v1.WorkClass;

/**
 * Checks the fields of one request and collects all problems, each with the field, the value read
 * and the allowed values.
 *
 * <pre>{@code
 * Optional<Status> refusal =
 *         new RequestChecker().checkId("change_id", request.getChangeId()).refusal();
 * }</pre>
 */
final class RequestChecker {
    /** A change must fit into one value of the store; operators have to split larger changes. */
    static final int MAXIMUM_OPERATIONS = 10_000;

    private static final Pattern ID = Pattern.compile("[A-Za-z0-9-]{1,64}");
    private static final Pattern TEXT = Pattern.compile("[^\\p{Cntrl}]{1,255}");
    private static final Pattern OPTIONAL_TEXT = Pattern.compile("[^\\p{Cntrl}]{0,255}");
    private static final int MAXIMUM_PROBLEMS = 20;
    private static final int MAXIMUM_VALUE_LENGTH = 80;

    private final List<String> mProblems = new ArrayList<>();

    RequestChecker checkId(String field, String value) {
        return check(
                ID.matcher(value).matches(), field, value, "1 to 64 letters, digits and hyphens");
    }

    RequestChecker checkText(String field, String value) {
        return check(
                TEXT.matcher(value).matches(),
                field,
                value,
                "1 to 255 characters without control characters");
    }

    RequestChecker checkOptionalText(String field, String value) {
        return check(
                OPTIONAL_TEXT.matcher(value).matches(),
                field,
                value,
                "at most 255 characters without control characters");
    }

    /** Checks a uint64 revision. Java reads values above {@code Long.MAX_VALUE} as negative. */
    RequestChecker checkRevision(String field, long value) {
        return check(value >= 0, field, Long.toUnsignedString(value), "0 to " + Long.MAX_VALUE);
    }

    /** Checks a uint32 limit or page size, where 0 stands for the default. */
    RequestChecker checkLimit(String field, int value, int maximum) {
        return check(
                value >= 0 && value <= maximum,
                field,
                Integer.toUnsignedString(value),
                "1 to " + maximum + ", or 0 for the default");
    }

    RequestChecker checkKind(String field, EntityKind kind) {
        boolean known =
                kind != EntityKind.ENTITY_KIND_UNSPECIFIED && kind != EntityKind.UNRECOGNIZED;
        return check(
                known,
                field,
                kind.name(),
                "ENTITY_KIND_SERVICE, ENTITY_KIND_ROUTE or ENTITY_KIND_TENANT");
    }

    /**
     * Checks that operations can be converted to configuration records. Their content is validated
     * later, together with the configuration.
     */
    RequestChecker checkOperations(List<Operation> operations) {
        check(
                !operations.isEmpty() && operations.size() <= MAXIMUM_OPERATIONS,
                "operations",
                operations.size() + " operations",
                "1 to " + MAXIMUM_OPERATIONS + " operations");
        for (int index = 0; index < operations.size(); index++) {
            checkOperation("operations[" + index + "]", operations.get(index));
        }
        return this;
    }

    /** Returns {@code INVALID_ARGUMENT} with all problems, or empty when the request is valid. */
    Optional<Status> refusal() {
        if (mProblems.isEmpty()) {
            return Optional.empty();
        }
        String problems =
                String.join(
                        "; ", mProblems.subList(0, Math.min(MAXIMUM_PROBLEMS, mProblems.size())));
        int omitted = mProblems.size() - MAXIMUM_PROBLEMS;
        return Optional.of(
                Status.INVALID_ARGUMENT.withDescription(
                        omitted > 0 ? problems + "; and " + omitted + " more problems" : problems));
    }

    private void checkOperation(String field, Operation operation) {
        switch (operation.getOperationCase()) {
            case PUT -> checkPut(field + ".put", operation.getPut());
            case DELETE -> {
                checkKind(field + ".delete.kind", operation.getDelete().getKind());
                checkText(field + ".delete.name", operation.getDelete().getName());
            }
            case OPERATION_NOT_SET -> check(false, field, "", "put or delete");
        }
    }

    /**
     * Checks only values that a configuration record cannot hold: a missing entity, floor or work
     * class. The validation of the configuration checks all others.
     */
    private void checkPut(String field, Entity entity) {
        switch (entity.getEntityCase()) {
            case SERVICE ->
                    check(
                            entity.getService().getFloorCase().getNumber() != 0,
                            field + ".service.floor",
                            "",
                            "floor_endpoints or floor_percent");
            case ROUTE -> {
                WorkClass workClass = entity.getRoute().getWorkClass();
                check(
                        workClass == WorkClass.WORK_CLASS_SHORT
                                || workClass == WorkClass.WORK_CLASS_LONG,
                        field + ".route.work_class",
                        workClass.name(),
                        "WORK_CLASS_SHORT or WORK_CLASS_LONG");
            }
            case TENANT -> {}
            case ENTITY_NOT_SET -> check(false, field, "", "a service, route or tenant");
        }
    }

    private RequestChecker check(boolean valid, String field, String value, String allowed) {
        if (!valid) {
            mProblems.add(field + " is \"" + shorten(value) + "\", allowed is " + allowed);
        }
        return this;
    }

    private static String shorten(String value) {
        String printable = value.replaceAll("\\p{Cntrl}", "?");
        return printable.length() > MAXIMUM_VALUE_LENGTH
                ? printable.substring(0, MAXIMUM_VALUE_LENGTH) + "..."
                : printable;
    }
}
