package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.selection.LoadReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against attempts of one request that are taken for each other. */
public class CallerResponseTest {
    // More than is buffered, so that the response is sent in parts.
    private static final byte[] LARGE = new byte[70_000];

    private ManualAttempts mAttempts;
    private List<String> mWritten;

    @BeforeMethod
    public void startIdempotent() {
        start(true);
    }

    private void start(boolean idempotent) {
        mWritten = new ArrayList<>();
        mAttempts = new ManualAttempts();
        mAttempts.start(idempotent, new Recorder());
    }

    @Test
    public void should_not_send_an_earlier_failure_behind_a_response_that_broke_off() {
        failFirstAttempt();
        send(1, head(200), body(LARGE, false));
        send(1, new ResponseEvent.OutcomeUnknown("cut", LoadReport.UNKNOWN));
        assertEquals(mWritten, List.of("start 200", "part 0", "part 70000", "abort"));
    }

    @DataProvider
    public Object[][] breaks() {
        return new Object[][] {
            {new ResponseEvent.OutcomeUnknown("cut", LoadReport.UNKNOWN)},
            {new ResponseEvent.SessionLost(ManualAttempts.SUBMISSION, "lost")},
            {
                new ResponseEvent.Refused(
                        RefusalReason.NOT_TRANSMITTED, "unreadable", LoadReport.UNKNOWN)
            }
        };
    }

    /** Guards against a caller that waits for the rest of a response that nobody can send. */
    @Test(dataProvider = "breaks")
    public void should_break_off_a_started_response_at_once(ResponseEvent end) {
        for (boolean idempotent : new boolean[] {true, false}) {
            start(idempotent);
            send(0, head(200), body(LARGE, false), end);
            assertEquals(mWritten, List.of("start 200", "part 0", "part 70000", "abort"));
            assertEquals(mAttempts.count(), 1, "no further execution");
        }
    }

    @Test
    public void should_not_send_an_earlier_failure_behind_a_response_at_the_deadline() {
        failFirstAttempt();
        send(1, head(200), body(LARGE, false));
        mAttempts.advance(2 * ManualAttempts.DEADLINE_MILLIS);
        assertEquals(mWritten, List.of("start 200", "part 0", "part 70000", "abort"));
    }

    /** Guards against a response of this node in place of one that a backend server made. */
    @Test
    public void should_send_an_earlier_failure_when_the_last_attempt_has_no_outcome() {
        failFirstAttempt();
        for (int attempt = 1; attempt < mAttempts.count(); attempt++) {
            send(attempt, new ResponseEvent.OutcomeUnknown("cut", LoadReport.UNKNOWN));
        }
        assertEquals(mWritten, List.of("complete 500"));
    }

    /** Guards against a promise that the request has not run when that is not known. */
    @Test
    public void should_not_send_an_earlier_refusal_when_the_last_attempt_has_no_outcome() {
        send(0, head(503), body(new byte[1], true));
        for (int attempt = 1; attempt < mAttempts.count(); attempt++) {
            send(attempt, new ResponseEvent.OutcomeUnknown("cut", LoadReport.UNKNOWN));
        }
        assertEquals(mWritten, List.of("complete 504"));
    }

    @Test
    public void should_not_append_the_body_of_another_attempt() {
        mAttempts.advance(ManualAttempts.OBJECTIVE_MILLIS);
        assertEquals(mAttempts.count(), 2, "the first attempt is overdue");
        send(0, head(500));
        send(1, head(500));
        send(0, body(LARGE, false));
        send(1, body(new byte[3], true));
        send(0, body(new byte[5], true));
        assertEquals(mWritten, List.of("start 500", "part 0", "part 70000", "last 5"));
    }

    /** Guards against two executions at one backend server, of which one hides the other. */
    @Test
    public void should_not_start_an_attempt_at_a_server_that_executes_the_request() {
        mAttempts.advance(ManualAttempts.OBJECTIVE_MILLIS);
        send(0, new ResponseEvent.OutcomeUnknown("cut", LoadReport.UNKNOWN));
        assertEquals(mAttempts.endpoints(), List.of("orders-0", "orders-1", "orders-2"));
    }

    private void failFirstAttempt() {
        send(0, head(500), body(new byte[1], true));
        assertEquals(mAttempts.count(), 2, "the failure is retried");
    }

    private static ResponseEvent head(int status) {
        return new ResponseEvent.Head(
                status, List.of(new HeaderField("content-length", "100000")), LoadReport.UNKNOWN);
    }

    private static ResponseEvent body(byte[] data, boolean last) {
        return new ResponseEvent.Body(data, last);
    }

    private void send(int attempt, ResponseEvent... events) {
        mAttempts.send(attempt, events);
    }

    /** Records what is written to the caller, in order. */
    private final class Recorder implements ResponseWriter {
        @Override
        public void sendComplete(BufferedResponse response) {
            mWritten.add("complete " + response.status());
        }

        @Override
        public void start(int status, List<HeaderField> headers) {
            mWritten.add("start " + status);
        }

        @Override
        public void sendPart(byte[] data, boolean last, Runnable sent) {
            mWritten.add((last ? "last " : "part ") + data.length);
        }

        @Override
        public void abort() {
            mWritten.add("abort");
        }
    }
}
