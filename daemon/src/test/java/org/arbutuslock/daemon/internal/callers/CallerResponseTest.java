package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.dialect.OwnDialect;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;
import org.arbutuslock.daemon.internal.exchange.Submission;
import org.arbutuslock.daemon.internal.sessions.HomeNode;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.messages.OutcomeState;
import org.arbutuslock.internal.selection.LoadReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against attempts of one request that are taken for each other. */
public class CallerResponseTest {
    private static final int OBJECTIVE_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 1_000;
    // More than is buffered, so that the response is sent in parts.
    private static final byte[] LARGE = new byte[70_000];

    private ManualClock mClock;
    private EmbeddedChannel mChannel;
    private List<ResponseListener> mAttempts;
    private List<String> mEndpoints;
    private List<String> mWritten;

    @BeforeMethod
    public void start() {
        mClock = new ManualClock();
        mChannel = new EmbeddedChannel();
        mAttempts = new ArrayList<>();
        mEndpoints = new ArrayList<>();
        mWritten = new ArrayList<>();
        LocalNode local = new LocalNode("a", 9, "west", "calgary", "127.0.0.1:1");
        EntryServices services =
                new EntryServices(
                        local,
                        mClock,
                        mClock.nanoTime(),
                        new ConfigurationHolder(),
                        new LocalEndpointChooser(0),
                        () -> FleetSnapshot.EMPTY,
                        new HomeNodeClient(local, new ManualHomeNode(), null),
                        new UnlimitedRetryPolicy(),
                        (route, tenant, latency, result) -> {},
                        new OwnDialect());
        new CallerRequest(services, mChannel.eventLoop(), request(), new Recorder()).start();
        mChannel.runPendingTasks();
    }

    @Test
    public void should_not_send_an_earlier_failure_behind_a_response_that_broke_off() {
        failFirstAttempt();
        send(1, head(200), body(LARGE, false));
        send(1, new ResponseEvent.OutcomeUnknown("cut", LoadReport.UNKNOWN));
        send(
                2,
                new ResponseEvent.Refused(
                        RefusalReason.NOT_TRANSMITTED, "unreadable", LoadReport.UNKNOWN));
        assertEquals(mWritten, List.of("start 200", "part 0", "part 70000", "abort"));
    }

    @Test
    public void should_not_send_an_earlier_failure_behind_a_response_at_the_deadline() {
        failFirstAttempt();
        send(1, head(200), body(LARGE, false));
        advance(2 * DEADLINE_MILLIS);
        assertEquals(mWritten, List.of("start 200", "part 0", "part 70000", "abort"));
    }

    /** Guards against a response of this node in place of one that a backend server made. */
    @Test
    public void should_send_an_earlier_failure_when_the_last_attempt_has_no_outcome() {
        failFirstAttempt();
        for (int attempt = 1; attempt < mAttempts.size(); attempt++) {
            send(attempt, new ResponseEvent.OutcomeUnknown("cut", LoadReport.UNKNOWN));
        }
        assertEquals(mWritten, List.of("complete 500"));
    }

    /** Guards against a promise that the request has not run when that is not known. */
    @Test
    public void should_not_send_an_earlier_refusal_when_the_last_attempt_has_no_outcome() {
        send(0, head(503), body(new byte[1], true));
        for (int attempt = 1; attempt < mAttempts.size(); attempt++) {
            send(attempt, new ResponseEvent.OutcomeUnknown("cut", LoadReport.UNKNOWN));
        }
        assertEquals(mWritten, List.of("complete 504"));
    }

    @Test
    public void should_not_append_the_body_of_another_attempt() {
        advance(OBJECTIVE_MILLIS);
        assertEquals(mAttempts.size(), 2, "the first attempt is overdue");
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
        advance(OBJECTIVE_MILLIS);
        send(0, new ResponseEvent.OutcomeUnknown("cut", LoadReport.UNKNOWN));
        assertEquals(mEndpoints, List.of("orders-0", "orders-1", "orders-2"));
    }

    private void failFirstAttempt() {
        send(0, head(500), body(new byte[1], true));
        assertEquals(mAttempts.size(), 2, "the failure is retried");
    }

    private static ResponseEvent head(int status) {
        return new ResponseEvent.Head(
                status, List.of(new HeaderField("content-length", "100000")), LoadReport.UNKNOWN);
    }

    private static ResponseEvent body(byte[] data, boolean last) {
        return new ResponseEvent.Body(data, last);
    }

    private void send(int attempt, ResponseEvent... events) {
        for (ResponseEvent event : events) {
            mAttempts.get(attempt).handle(event);
        }
        mChannel.runPendingTasks();
    }

    private void advance(int millis) {
        mClock.advance(Duration.ofMillis(millis));
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        mChannel.runPendingTasks();
    }

    private RoutedRequest request() {
        RouteDefinition route =
                new RouteDefinition(
                        "prices",
                        "",
                        "",
                        "/prices",
                        true,
                        Map.of(),
                        "orders",
                        WorkClass.SHORT,
                        true,
                        DEADLINE_MILLIS,
                        5,
                        new RoutePolicy(OBJECTIVE_MILLIS, 4, List.of(), false));
        return new RoutedRequest(
                new RequestId("a", 9, 16),
                route,
                true,
                "GET",
                "/prices",
                List.of(),
                new byte[0],
                "",
                1,
                mClock.nanoTime(),
                DEADLINE_MILLIS);
    }

    /** Keeps the listeners of all attempts, so that the test sends their responses. */
    private final class ManualHomeNode implements HomeNode {
        @Override
        public long openSession(Runnable onFenced) {
            return 1;
        }

        @Override
        public void closeSession(long session) {}

        @Override
        public Exchange submit(long session, ExecutionRequest request, ResponseListener listener) {
            mAttempts.add(listener);
            mEndpoints.add(request.endpoint().backendServer());
            return new Exchange() {
                @Override
                public void grantCredit(int bytes) {}

                @Override
                public void cancel() {}

                @Override
                public Optional<Submission> submission() {
                    return Optional.of(new Submission("127.0.0.1:1", "a", 9, 1));
                }
            };
        }

        @Override
        public OutcomeReport query(RequestId id, long incarnation, long fencedSession) {
            return new OutcomeReport(OutcomeState.NOT_RUN, Optional.empty());
        }

        @Override
        public void acknowledge(RequestId id) {}
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
