package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.RouteDefinition;
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
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against refusals that reach the caller too late because of a second wait, and against
 * refusals although another endpoint could serve the request.
 */
public class CallerRequestTest {
    private static final LocalNode LOCAL = new LocalNode("a", 9, "west", "calgary", "127.0.0.1:1");

    private static final HeaderField SEAL = new HeaderField("x-seal", "1");
    private static final Exchange FINISHED =
            new Exchange() {
                @Override
                public void grantCredit(int bytes) {}

                @Override
                public void cancel() {}
            };
    private static final Submission SUBMISSION = new Submission("127.0.0.1:1", "a", 9, 1);

    private ManualClock mClock;
    private EmbeddedChannel mChannel;
    private RefusingHomeNode mHomeNode;
    private LocalEndpointChooser mChooser;
    private StatusRecorder mResponseWriter;

    @BeforeMethod
    public void createFixtures() {
        mClock = new ManualClock();
        mChannel = new EmbeddedChannel();
        mHomeNode = new RefusingHomeNode();
        mChooser = new LocalEndpointChooser(0);
        mResponseWriter = new StatusRecorder();
    }

    @Test
    public void should_not_retry_after_a_late_refusal() {
        mHomeNode.mDecisionTime = Duration.ofMillis(40);
        start();
        assertEquals(mResponseWriter.mStatus, 503);
        assertEquals(mHomeNode.mSubmissions, 1);
    }

    @Test
    public void should_try_other_endpoints_after_an_early_refusal() {
        start();
        assertEquals(mResponseWriter.mStatus, 503);
        assertEquals(mHomeNode.mSubmissions, 4);
    }

    @Test
    public void should_wait_for_endpoints_when_the_node_has_just_started() {
        mChooser = new LocalEndpointChooser(1);
        start();
        assertEquals(mHomeNode.mSubmissions, 0);
        mChannel.advanceTimeBy(50, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        mChannel.runPendingTasks();
        assertEquals(mHomeNode.mSubmissions, 4);
    }

    /** Guards against an outcome that is not known because connections failed repeatedly. */
    @Test
    public void should_go_on_after_lost_sessions() {
        mHomeNode.mLosing = true;
        start();
        assertEquals(mHomeNode.mSubmissions, 4);
        // The home node confirms that the request has not run.
        assertEquals(mResponseWriter.mStatus, 503);
    }

    @DataProvider
    public Object[][] statuses() {
        return new Object[][] {
            {408, 502}, {421, 502}, {429, 502}, {503, 502}, {500, 500}, {504, 504}, {200, 200}
        };
    }

    /** Guards against a promise that an order has not run, by the backend server that ran it. */
    @Test(dataProvider = "statuses")
    public void should_not_hand_on_a_promise_for_an_order_that_ran(int status, int expected) {
        mHomeNode.mStatus = status;
        start();
        assertEquals(mHomeNode.mSubmissions, 1);
        assertEquals(mResponseWriter.mStatus, expected);
        boolean replaced = status != expected;
        assertEquals(mResponseWriter.mHeaders.contains(SEAL), !replaced);
    }

    @Test
    public void should_not_hand_on_a_long_promise_for_an_order_that_ran() {
        mHomeNode.mStatus = 503;
        mHomeNode.mBody = new byte[1 << 20];
        start();
        assertEquals(mResponseWriter.mStatus, 502);
    }

    /** Guards against a body that is read until the deadline although the caller never gets it. */
    @Test
    public void should_not_read_a_promise_without_end_for_an_order_that_ran() {
        mHomeNode.mStatus = 503;
        mHomeNode.mBody = new byte[16 * 1024];
        mHomeNode.mEndless = true;
        start();
        for (int part = 0; part < 100 && !mHomeNode.mCancelled; part++) {
            mHomeNode.mListener.handle(new ResponseEvent.Body(mHomeNode.mBody, false));
            mChannel.runPendingTasks();
        }
        assertEquals(mResponseWriter.mStatus, 502);
        assertTrue(mHomeNode.mCancelled);
    }

    private void start() {
        EntryServices services =
                new EntryServices(
                        LOCAL,
                        mClock,
                        mClock.nanoTime(),
                        new ConfigurationHolder(),
                        mChooser,
                        () -> FleetSnapshot.EMPTY,
                        new HomeNodeClient(LOCAL, mHomeNode, null),
                        new UnlimitedRetryPolicy(),
                        (route, tenant, latency, result) -> {},
                        new OwnDialect());
        new CallerRequest(services, mChannel.eventLoop(), routedRequest(), mResponseWriter).start();
        mChannel.runPendingTasks();
    }

    private RoutedRequest routedRequest() {
        RouteDefinition route =
                new RouteDefinition(
                        "orders",
                        "",
                        "",
                        "/orders",
                        true,
                        Map.of(),
                        "orders",
                        WorkClass.SHORT,
                        false,
                        1_000,
                        5);
        RequestId id = new RequestId("a", 9, 16);
        return new RoutedRequest(
                id,
                route,
                false,
                "POST",
                "/orders",
                List.of(),
                new byte[0],
                "",
                1,
                mClock.nanoTime(),
                route.deadlineMillis());
    }

    /**
     * Refuses every request with DEADLINE after advancing the clock by the decision time, loses the
     * session of every request, or answers it.
     */
    private final class RefusingHomeNode implements HomeNode {
        private boolean mLosing;
        private int mStatus;
        private byte[] mBody = new byte[1];
        private boolean mEndless;
        private boolean mCancelled;
        private ResponseListener mListener;
        private Duration mDecisionTime = Duration.ZERO;
        private int mSubmissions;

        @Override
        public long openSession(Runnable onFenced) {
            return 1;
        }

        @Override
        public void closeSession(long session) {}

        @Override
        public Exchange submit(long session, ExecutionRequest request, ResponseListener listener) {
            mSubmissions++;
            mClock.advance(mDecisionTime);
            if (mStatus != 0) {
                listener.handle(new ResponseEvent.Head(mStatus, List.of(SEAL), LoadReport.UNKNOWN));
                listener.handle(new ResponseEvent.Body(mBody, !mEndless));
                mListener = listener;
                return mEndless ? new EndlessExchange() : FINISHED;
            }
            listener.handle(
                    mLosing
                            ? new ResponseEvent.SessionLost(SUBMISSION, "lost")
                            : new ResponseEvent.Refused(
                                    RefusalReason.DEADLINE, "late", LoadReport.UNKNOWN));
            return FINISHED;
        }

        @Override
        public OutcomeReport query(RequestId id, long incarnation, long fencedSession) {
            return new OutcomeReport(OutcomeState.NOT_RUN, Optional.empty());
        }

        @Override
        public void acknowledge(RequestId id) {}

        private final class EndlessExchange implements Exchange {
            @Override
            public void grantCredit(int bytes) {}

            @Override
            public void cancel() {
                mCancelled = true;
            }
        }
    }

    /** Records the status of the response. */
    private static final class StatusRecorder implements ResponseWriter {
        private int mStatus;
        private List<HeaderField> mHeaders = List.of();

        @Override
        public void sendComplete(BufferedResponse response) {
            mStatus = response.status();
            mHeaders = response.headers();
        }

        @Override
        public void start(int status, List<HeaderField> headers) {}

        @Override
        public void sendPart(byte[] data, boolean last, Runnable sent) {}

        @Override
        public void abort() {}
    }
}
