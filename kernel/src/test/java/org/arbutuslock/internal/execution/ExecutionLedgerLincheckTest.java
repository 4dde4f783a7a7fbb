package org.arbutuslock.internal.execution;

import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.testng.annotations.Test;

/**
 * Guards against results of concurrent calls that are not linearizable, so that a request runs
 * after it was reported as not run.
 */
public class ExecutionLedgerLincheckTest {
    private static final int ITERATIONS = 10;
    private static final int INVOCATIONS = 100;

    /** Operations on one request that arrives once or several times on one session. */
    public static class Operations {
        private static final RequestId ID = new RequestId("entry", 1, 1);

        private final ExecutionLedger mLedger =
                new ExecutionLedger(new ManualClock(), 1, LedgerLimits.standard());
        private final long mSession = mLedger.openSession();

        /** Admits and dispatches like a home node. Returns true when the request was dispatched. */
        @Operation
        public boolean dispatch() {
            return mLedger.admit(mSession, ID)
                            instanceof AdmitResult.Admitted(ExecutionRecord record)
                    && record.markDispatched();
        }

        @Operation
        public String query() {
            return mLedger.query(ID, 1, mSession).getClass().getSimpleName();
        }

        @Operation
        public boolean fence() {
            return mLedger.fenceSession(mSession);
        }
    }

    /** Concurrent transitions of one record. */
    public static class Transitions {
        private final ExecutionLedger mLedger =
                new ExecutionLedger(new ManualClock(), 1, LedgerLimits.standard());
        private final ExecutionRecord mRecord =
                ((AdmitResult.Admitted)
                                mLedger.admit(mLedger.openSession(), new RequestId("entry", 1, 1)))
                        .record();

        @Operation
        public boolean markDispatched() {
            return mRecord.markDispatched();
        }

        @Operation
        public boolean refuse() {
            return mRecord.refuse(RefusalReason.QUEUE_FULL);
        }

        @Operation
        public boolean complete() {
            return mRecord.complete(() -> 10);
        }

        @Operation
        public boolean fail() {
            return mRecord.fail();
        }

        @Operation
        public String state() {
            return mRecord.state().name();
        }
    }

    /**
     * Uses three threads, so that a query can overlap with both an admission and another fencing.
     */
    private static void check(Class<?> operations) {
        new ModelCheckingOptions()
                .iterations(ITERATIONS)
                .invocationsPerIteration(INVOCATIONS)
                .threads(3)
                .actorsPerThread(2)
                .check(operations);
    }

    @Test
    public void should_order_admission_query_and_fence() {
        check(Operations.class);
    }

    @Test
    public void should_order_transitions() {
        check(Transitions.class);
    }
}
