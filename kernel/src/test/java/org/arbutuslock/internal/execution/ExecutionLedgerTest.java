package org.arbutuslock.internal.execution;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;
import org.testng.annotations.Test;

/**
 * Guards against a ledger that allows a second dispatch of a request, reports a request as not run
 * although it may run, or uses unbounded memory.
 */
public class ExecutionLedgerTest {
    private static final long INCARNATION = 7;

    private final ManualClock mClock = new ManualClock();

    private ExecutionLedger createLedger(int records) {
        LedgerLimits limits = new LedgerLimits(Duration.ofSeconds(120), 100, 150, records, 10);
        return new ExecutionLedger(mClock, INCARNATION, limits);
    }

    private static RequestId id(long sequence) {
        return new RequestId("calgary-a-1", 1, sequence);
    }

    private static ExecutionRecord admit(ExecutionLedger ledger, long session, long sequence) {
        return ((AdmitResult.Admitted) ledger.admit(session, id(sequence))).record();
    }

    /**
     * Guards against a request that is dispatched after the entry node was told that it has not
     * run.
     */
    @Test
    public void should_refuse_queued_request_when_queried() {
        ExecutionLedger ledger = createLedger(10);
        long session = ledger.openSession();
        ExecutionRecord record = admit(ledger, session, 1);
        assertEquals(ledger.query(id(1), INCARNATION, session), new QueryResult.NotRun());
        assertFalse(record.markDispatched());
        assertEquals(record.refusalReason(), Optional.of(RefusalReason.QUERIED));
    }

    /** Guards against a cancelled request whose expiry fences the session of other requests. */
    @Test
    public void should_keep_session_open_when_withdrawn_request_expires() {
        ExecutionLedger ledger = createLedger(10);
        long session = ledger.openSession();
        ExecutionRecord record = admit(ledger, session, 1);
        record.abandon();
        record.refuse(RefusalReason.CANCELLED);
        mClock.advance(Duration.ofSeconds(121));
        assertEquals(ledger.expire(), List.of());
        assertEquals(ledger.recordCount(), 0);
        assertEquals(ledger.admit(session, id(1)), new AdmitResult.Forgotten());
    }

    /** Guards against a late copy that runs after the request was reported as not run. */
    @Test
    public void should_drop_late_copy_on_fenced_session() {
        ExecutionLedger ledger = createLedger(10);
        long session = ledger.openSession();
        assertEquals(ledger.query(id(1), INCARNATION, session), new QueryResult.NotRun());
        assertEquals(ledger.admit(session, id(1)), new AdmitResult.SessionFenced());
    }

    /** Guards against {@code not run} from a node that lost its records in a restart. */
    @Test
    public void should_report_unknown_for_earlier_incarnation() {
        QueryResult result = createLedger(10).query(id(1), INCARNATION - 1, 1);
        assertEquals(result, new QueryResult.UnknownIncarnation());
    }

    /** Guards against a second dispatch of a request and against the loss of its response. */
    @Test
    public void should_recognize_duplicate_and_keep_response_until_acknowledged() {
        ExecutionLedger ledger = createLedger(10);
        long session = ledger.openSession();
        ExecutionRecord record = admit(ledger, session, 1);
        assertTrue(record.markDispatched());
        assertFalse(record.markDispatched());
        KeptResponse response = () -> 60;
        assertTrue(record.complete(response));
        assertFalse(record.fail());
        assertEquals(
                ledger.admit(ledger.openSession(), id(1)),
                new AdmitResult.Duplicate(ExecutionState.ANSWERED));
        assertEquals(
                ledger.query(id(1), INCARNATION, session),
                new QueryResult.Answered(Optional.of(response)));
        assertTrue(ledger.acknowledge(id(1)));
        assertEquals(ledger.keptBytes(), 0);
    }

    /** Guards against kept responses that exceed the limit for one response or for all together. */
    @Test
    public void should_bound_kept_responses() {
        ExecutionLedger ledger = createLedger(10);
        long session = ledger.openSession();
        int[] sizes = {101, 100, 60};
        for (int sequence = 0; sequence < sizes.length; sequence++) {
            ExecutionRecord record = admit(ledger, session, sequence);
            record.markDispatched();
            int size = sizes[sequence];
            assertTrue(record.complete(() -> size));
        }
        assertEquals(ledger.keptBytes(), 100);
    }

    /**
     * Guards against an entry node that starts after its clock was set back and is never served.
     */
    @Test
    public void should_admit_requests_of_an_entry_node_with_a_lower_incarnation() {
        ExecutionLedger ledger = createLedger(10);
        long session = ledger.openSession();
        ExecutionRecord record = admit(ledger, session, 5);
        record.refuse(RefusalReason.DRAINING);
        record.acknowledge();
        mClock.advance(Duration.ofSeconds(121));
        ledger.expire();
        RequestId before = id(5);
        RequestId next =
                new RequestId(before.entryNode(), before.entryIncarnation() - 1, before.sequence());
        assertTrue(ledger.admit(ledger.openSession(), next) instanceof AdmitResult.Admitted);
    }

    /** Guards against an expired request that is reported as not run or admitted again. */
    @Test
    public void should_fence_and_report_forgotten_after_retention() {
        ExecutionLedger ledger = createLedger(10);
        long session = ledger.openSession();
        ExecutionRecord record = admit(ledger, session, 5);
        record.markDispatched();
        record.complete(() -> 10);
        mClock.advance(Duration.ofSeconds(119));
        assertEquals(ledger.expire(), List.of());
        mClock.advance(Duration.ofSeconds(2));
        assertEquals(ledger.expire(), List.of(session));
        assertEquals(ledger.recordCount(), 0);
        assertEquals(ledger.keptBytes(), 0);
        long next = ledger.openSession();
        assertEquals(ledger.admit(next, id(5)), new AdmitResult.Forgotten());
        assertEquals(ledger.query(id(4), INCARNATION, next), new QueryResult.Forgotten());
        assertEquals(ledger.query(id(6), INCARNATION, next), new QueryResult.NotRun());
    }

    /**
     * Guards against an unbounded number of records, and against a later copy that runs although
     * the request was refused.
     */
    @Test
    public void should_fence_session_when_no_record_is_free() {
        ExecutionLedger ledger = createLedger(1);
        long session = ledger.openSession();
        ExecutionRecord first = admit(ledger, session, 1);
        first.refuse(RefusalReason.QUEUE_FULL);
        ledger.acknowledge(id(1));
        admit(ledger, session, 2);
        assertEquals(ledger.admit(session, id(3)), new AdmitResult.LedgerFull());
        assertEquals(ledger.admit(session, id(3)), new AdmitResult.SessionFenced());
        assertEquals(ledger.recordCount(), 1);
    }
}
