package org.arbutuslock.testbed.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.Socket;
import org.arbutuslock.daemon.internal.callers.CallerServer;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.testbed.backend.ExecutionRecord;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests that wait behind a slow one on the same connection although they may be
 * repeated, and against responses in another order than the requests.
 */
public class PipeliningTest {
    private static final long SEED = 11;

    private InProcessFleet mFleet;

    @BeforeMethod
    public void startFleet() throws Exception {
        mFleet =
                OrderHubFleet.start(
                        SEED,
                        OrderHubFleet.route("orders", "/orders", false),
                        OrderHubFleet.route("prices", "/price", true),
                        OrderHubFleet.route("bundles", "/long", true));
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    @Test
    public void should_execute_followers_while_the_first_response_is_unread() throws Exception {
        ExecutionRecord executions = mFleet.backends().get("order-hub-1").executions();
        try (Socket socket = connect()) {
            send(socket, "GET /long/bundle", "GET /price?1", "GET /price?2", "GET /price?3");
            InProcessFleet.await("four executions", () -> executions.total() == 4);
            send(socket, "POST /orders", "GET /price?4");
            EmbeddedChannel decoder = RawCaller.newDecoder();
            assertEquals(
                    RawCaller.read(socket, decoder, "GET", "/long/bundle"),
                    OrderHubFleet.LONG_BODY_BYTES);
            RawCaller.read(socket, decoder, "GET", "/price?1");
            RawCaller.read(socket, decoder, "GET", "/price?2");
            RawCaller.read(socket, decoder, "GET", "/price?3");
            RawCaller.read(socket, decoder, "POST", "/orders");
            RawCaller.read(socket, decoder, "GET", "/price?4");
            assertEquals(executions.total(), 6);
        }
    }

    @Test
    public void should_cancel_followers_when_the_caller_leaves() throws Exception {
        ExecutionRecord executions = mFleet.backends().get("order-hub-1").executions();
        try (Socket socket = connect()) {
            send(socket, "GET /long/bundle", "GET /long/bundle", "POST /orders");
            InProcessFleet.await("two executions", () -> executions.total() == 2);
        }
        HomeService home = mFleet.node("calgary-a-2").component(HomeService.class);
        InProcessFleet.await("no execution in progress", () -> home.activeRequests() == 0);
        assertEquals(executions.total(), 2, "the order behind them must not run");
    }

    /**
     * Guards against a request that is read during a shutdown and never answered, and against a
     * connection that stays open afterwards. The response in front of it started before the
     * shutdown, so that its head could not announce that the connection closes.
     */
    @Test
    public void should_answer_behind_a_response_that_started_before_the_shutdown()
            throws Exception {
        try (Socket socket = connect()) {
            EmbeddedChannel decoder = RawCaller.newDecoder();
            send(socket, "GET /long/bundle");
            assertTrue(RawCaller.readMore(socket, decoder), "the response has started");
            mFleet.node("calgary-a-1").component(CallerServer.class).startDraining();
            send(socket, "GET /price?1", "POST /orders");
            assertEquals(
                    RawCaller.read(socket, decoder, "GET", "/long/bundle"),
                    OrderHubFleet.LONG_BODY_BYTES);
            RawCaller.read(socket, decoder, "GET", "/price?1");
            RawCaller.read(socket, decoder, "POST", "/orders");
            assertFalse(RawCaller.readMore(socket, decoder), "the connection closes");
        }
    }

    /**
     * Guards against a request that is taken during a shutdown behind a response that does not end,
     * and is cut off with it. A request that was not read may be sent again by its caller.
     */
    @Test
    public void should_read_no_request_behind_a_response_that_does_not_end() throws Exception {
        ExecutionRecord executions = mFleet.backends().get("order-hub-1").executions();
        CallerServer server = mFleet.node("calgary-a-1").component(CallerServer.class);
        try (Socket socket = connect()) {
            EmbeddedChannel decoder = RawCaller.newDecoder();
            send(socket, "GET /long/bundle");
            assertTrue(RawCaller.readMore(socket, decoder), "the response has started");
            server.startDraining();
            awaitTasks("calgary-a-1");
            send(socket, "GET /price?1", "POST /orders");
            server.abortRequests();
            InProcessFleet.await("end of the request", () -> server.activeRequests() == 0);
        }
        assertEquals(executions.total(), 1, "requests behind a response that did not end");
    }

    /** Waits until the event loops of a node have run all tasks that they had. */
    private void awaitTasks(String node) {
        mFleet.node(node)
                .component(EventLoopGroup.class)
                .forEach(loop -> loop.submit(() -> {}).syncUninterruptibly());
    }

    private Socket connect() throws IOException {
        return RawCaller.connect(mFleet, "calgary-a-1");
    }

    private static void send(Socket socket, String... requestLines) throws IOException {
        for (String line : requestLines) {
            RawCaller.send(socket, line, "");
        }
    }
}
