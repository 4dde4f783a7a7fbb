package org.arbutuslock.daemon.internal.home;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.dialect.OwnDialect;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.internal.detection.Outcome;
import org.arbutuslock.internal.execution.ExecutionLedger;
import org.arbutuslock.internal.execution.LedgerLimits;
import org.arbutuslock.internal.messages.OutcomeState;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.arbutuslock.internal.retry.RetryLimiter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against bodies without end that nobody reads: they would be read at full speed until the
 * deadline, or until the end of the grace period of an order.
 */
public class UnreadResponseTest {
    private static final EndpointId ENDPOINT = new EndpointId("orders", "first");
    private static final long INCARNATION = 1;
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String SHORT = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final int LONG_BODY_BYTES = 700_000;

    private EventLoopGroup mEventLoops;
    private EndlessServer mServer;
    private HomeService mHome;
    private long mSession;
    private final BlockingQueue<ResponseEvent> mEvents = new LinkedBlockingQueue<>();
    private final BlockingQueue<Outcome> mOutcomes = new LinkedBlockingQueue<>();

    @BeforeMethod
    public void setUp() throws Exception {
        mEvents.clear();
        mOutcomes.clear();
        mEventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mServer = new EndlessServer(UNFRAMED);
        Clock clock = Clock.system();
        LocalEndpoints endpoints =
                new LocalEndpoints(
                        clock,
                        mEventLoops,
                        (endpoint, observation) -> mOutcomes.add(observation.outcome()),
                        16,
                        new OwnDialect(),
                        service -> new RetryLimiter.Unlimited(),
                        Duration.ofSeconds(30),
                        (server, start) -> {});
        mHome =
                new HomeService(
                        clock,
                        new ExecutionLedger(clock, INCARNATION, LedgerLimits.standard()),
                        endpoints);
        endpoints.setHomeService(mHome);
        endpoints.announce(new Announcement(ENDPOINT, mServer.address(), 1, false, 10, 1));
        mSession = mHome.openSession(() -> {});
    }

    @AfterMethod
    public void tearDown() throws Exception {
        mServer.close();
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against a response to an order that is read for 30 s although its caller has left. */
    @Test
    public void should_stop_reading_the_response_to_a_cancelled_order() throws Exception {
        ExecutionRequest order = request("POST", false);
        Exchange exchange = mHome.submit(mSession, order, mEvents::add);
        awaitHead();
        exchange.cancel();
        assertReadInPart();
        assertEquals(query(order), OutcomeState.FAILED);
        assertTrue(mOutcomes.isEmpty(), "a caller that leaves is no evidence: " + mOutcomes);
    }

    /** Guards against an order whose outcome is unknown because its caller left. */
    @Test
    public void should_read_a_long_response_to_a_cancelled_order() throws Exception {
        String body = "x".repeat(LONG_BODY_BYTES);
        mServer.answer("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        ExecutionRequest order = request("POST", false);
        Exchange exchange = mHome.submit(mSession, order, mEvents::add);
        awaitHead();
        exchange.cancel();
        // The only slot is free for the next request when the order has ended.
        mServer.answer(SHORT);
        mHome.submit(mSession, request("GET", true), mEvents::add);
        assertEquals(mOutcomes.poll(20, TimeUnit.SECONDS), Outcome.OK);
        assertEquals(query(order), OutcomeState.ANSWERED_NOT_KEPT);
    }

    /** Guards against a probe that reads until its time limit. */
    @Test
    public void should_stop_reading_the_response_to_a_probe() throws Exception {
        mServer.answer(SHORT);
        mHome.submit(mSession, request("GET", true), mEvents::add);
        assertEquals(mOutcomes.poll(20, TimeUnit.SECONDS), Outcome.OK);
        mHome.probe(ENDPOINT, new RequestId("probe", INCARNATION, 16), Duration.ofSeconds(20));
        assertReadInPart();
        assertEquals(mOutcomes.poll(20, TimeUnit.SECONDS), Outcome.TRUNCATED);
    }

    /** Guards against a body that is read ahead of the credit of a slow caller. */
    @Test
    public void should_read_no_more_than_the_credit_and_one_buffer() throws Exception {
        Exchange exchange = mHome.submit(mSession, request("GET", true), mEvents::add);
        awaitHead();
        long received = 0;
        while (received < Exchange.INITIAL_CREDIT_BYTES) {
            ResponseEvent event = mEvents.poll(20, TimeUnit.SECONDS);
            received += ((ResponseEvent.Body) event).data().length;
        }
        exchange.cancel();
        assertReadInPart();
        for (ResponseEvent event : mEvents) {
            received += ((ResponseEvent.Body) event).data().length;
        }
        assertTrue(received <= Exchange.INITIAL_CREDIT_BYTES + 64 * 1024, received + " bytes");
    }

    private void assertReadInPart() throws Exception {
        long bytes = mServer.awaitClose();
        assertTrue(bytes < EndlessServer.LIMIT, bytes + " bytes were read");
    }

    private void awaitHead() throws Exception {
        ResponseEvent event = mEvents.poll(20, TimeUnit.SECONDS);
        assertTrue(event instanceof ResponseEvent.Head, String.valueOf(event));
    }

    private OutcomeState query(ExecutionRequest request) {
        return mHome.query(request.id(), INCARNATION, mSession).state();
    }

    private static ExecutionRequest request(String method, boolean idempotent) {
        return new ExecutionRequest(
                new RequestId("caller", 1, idempotent ? 0 : (long) RequestId.MAXIMUM_ATTEMPTS),
                ENDPOINT,
                method,
                "/orders",
                List.of(),
                new byte[0],
                WorkClass.SHORT,
                idempotent,
                "",
                1,
                5,
                Clock.system().nanoTime() + TimeUnit.SECONDS.toNanos(30),
                SubmissionRequirements.NONE,
                "");
    }
}
