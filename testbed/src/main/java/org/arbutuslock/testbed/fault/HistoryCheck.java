package org.arbutuslock.testbed.fault;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.arbutuslock.testbed.fault.HistoryOperation.QueriedOutcome;
import org.arbutuslock.testbed.fault.HistoryOperation.Result;
import org.arbutuslock.testbed.fault.HistoryRequest.Kind;

/** Compares the results that callers got with the executions at the backend servers. */
final class HistoryCheck {
    private final ToIntFunction<String> mExecutions;
    private final List<String> mViolations = new ArrayList<>();
    private final Map<Kind, Map<String, Integer>> mResults = new EnumMap<>(Kind.class);
    private int mUnknown;

    /**
     * Creates a check.
     *
     * @param executions returns how often all backend servers together executed the request with a
     *     token
     */
    HistoryCheck(ToIntFunction<String> executions) {
        mExecutions = executions;
    }

    /** Checks the results that the callers got directly, without a later query of an outcome. */
    void check(Collection<HistoryOperation> operations) {
        operations.forEach(this::check);
    }

    private void check(HistoryOperation operation) {
        int executions = mExecutions.applyAsInt(operation.token());
        String name = operation.result().getClass().getSimpleName();
        mResults.computeIfAbsent(operation.kind(), kind -> new TreeMap<>())
                .merge(name, 1, Integer::sum);
        if (operation.kind() == Kind.ORDER && executions > 1) {
            report(operation, "executed " + executions + " times");
        }
        switch (operation.result()) {
            case Result.Complete(boolean ownResponse) -> {
                if (!ownResponse) {
                    report(
                            operation,
                            "got a response that is truncated or belongs to another request");
                }
                if (executions == 0) {
                    report(operation, "got a response, but was not executed");
                }
            }
            case Result.NotRun notRun -> {
                if (executions > 0) {
                    report(
                            operation,
                            "was reported as not-run, but executed " + executions + " times");
                }
            }
            case Result.Unknown unknown -> mUnknown++;
            case Result.OtherStatus other -> {}
            case Result.Broken broken -> {}
        }
    }

    /** Checks the outcome that a node reported when it was queried about an unknown outcome. */
    void checkQueriedOutcome(HistoryOperation operation, QueriedOutcome outcome) {
        int executions = mExecutions.applyAsInt(operation.token());
        switch (outcome) {
            case NOT_RUN -> {
                if (executions > 0) {
                    report(
                            operation,
                            "was reported as not-run by a later query, but executed "
                                    + executions
                                    + " times");
                }
            }
            case EXECUTED -> {
                if (executions == 0) {
                    report(
                            operation,
                            "was reported as executed by a later query, but was not executed");
                }
            }
            case WRONG_RESPONSE ->
                    report(operation, "got another request's response from a later query");
            case UNKNOWN -> {}
        }
    }

    private void report(HistoryOperation operation, String what) {
        mViolations.add(
                operation.kind()
                        + " "
                        + operation.token()
                        + " through "
                        + operation.entryNode()
                        + " "
                        + what
                        + ": "
                        + operation.result());
    }

    List<String> violations() {
        return List.copyOf(mViolations);
    }

    int unknown() {
        return mUnknown;
    }

    /** Returns the number of results by kind of request and simple class name of the result. */
    Map<Kind, Map<String, Integer>> results() {
        return mResults;
    }

    int count(Kind kind, Class<? extends Result> result) {
        return mResults.getOrDefault(kind, Map.of()).getOrDefault(result.getSimpleName(), 0);
    }
}
