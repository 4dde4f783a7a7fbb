package org.arbutuslock.internal.execution;

import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.testng.annotations.Test;

/** Guards against results that no sequential order of the same calls explains. */
public class ExecutionLedgerLincheckTest {
    private static final int ITERATIONS = 10;
    private static final int INVOCATIONS = 100;

    /** Operations on one request that arrives on one session, possibly several times. */
    public static class Operations {
        private static final RequestId ID = new RequestId("entry", 1, 1);

        private final ExecutionLedger mLedger =
                new ExecutionLedger(new ManualClock(), 1, LedgerLimits.standard());
        private final long mSession = mLedger.openSession();

        /** Dispatches like a home node: admitted and not refused meanwhile. */
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

    /** Competing transitions of one record. */
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

    /** Three threads: a query may meet both an admission and another fencing in progress. */
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
