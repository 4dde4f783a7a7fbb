package org.arbutuslock.daemon.internal.home;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.dialect.OwnDialect;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.execution.ExecutionLedger;
import org.arbutuslock.internal.execution.LedgerLimits;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.arbutuslock.internal.retry.RetryLimiter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests to a backend server that has departed. Announcements that are delayed and
 * arrive after the departure or after the start of a successor could add it again.
 */
public class LocalEndpointsTest {
    private static final EndpointId FIRST = new EndpointId("orders", "first");
    private static final EndpointId SECOND = new EndpointId("orders", "second");

    private EventLoopGroup mEventLoops;
    private ServerSocket mBackend;
    private LocalEndpoints mEndpoints;
    private HomeService mHome;
    private final Map<String, Long> mDepartures = new HashMap<>();

    @BeforeMethod
    public void setUp() throws Exception {
        mDepartures.clear();
        mEventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        // The operating system accepts connections into the backlog; nothing ever responds.
        mBackend = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Clock clock = Clock.system();
        mEndpoints =
                new LocalEndpoints(
                        clock,
                        mEventLoops,
                        (endpoint, observation) -> {},
                        16,
                        new OwnDialect(),
                        service -> new RetryLimiter.Unlimited(),
                        Duration.ofSeconds(3),
                        mDepartures::put);
        mHome =
                new HomeService(
                        clock, new ExecutionLedger(clock, 1, LedgerLimits.standard()), mEndpoints);
        mEndpoints.setHomeService(mHome);
    }

    /** Guards against a server that is used again because this node has restarted. */
    @Test
    public void should_ignore_a_late_announcement_of_a_server_that_left_before_a_restart()
            throws Exception {
        mEndpoints.announce(announcement(FIRST, false, 10, 3));
        mEndpoints.startDeparture(FIRST.backendServer());
        Map<String, Long> stored = Map.copyOf(mDepartures);
        restart();
        mEndpoints.holdAnnouncements();
        mEndpoints.announce(announcement(FIRST, false, 10, 4));
        assertTrue(mEndpoints.find(FIRST).isEmpty(), "held until the departures are known");
        mEndpoints.restoreDepartures(stored);
        assertTrue(mEndpoints.find(FIRST).isEmpty());
        mEndpoints.announce(announcement(FIRST, false, 20, 1));
        assertTrue(mEndpoints.find(FIRST).isPresent(), "the next run of the server");
    }

    @Test
    public void should_handle_held_announcements_of_other_servers() throws Exception {
        mEndpoints.holdAnnouncements();
        mEndpoints.announce(announcement(FIRST, false, 10, 3));
        mEndpoints.restoreDepartures(Map.of(SECOND.backendServer(), 10L));
        assertTrue(mEndpoints.find(FIRST).isPresent());
    }

    private void restart() throws Exception {
        tearDown();
        setUp();
    }

    @AfterMethod
    public void tearDown() throws Exception {
        mBackend.close();
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    public void should_refuse_queued_requests_when_a_departure_takes_effect() throws Exception {
        mEndpoints.announce(announcement(FIRST, false, 10, 1));
        BlockingQueue<ResponseEvent> events = new LinkedBlockingQueue<>();
        long session = mHome.openSession(() -> {});
        for (int index = 0; index < 8; index++) {
            mHome.submit(session, request(index), events::add);
        }
        mEndpoints.setState(FIRST, EndpointState.DRAINING, 0);
        ResponseEvent event = events.poll(5, TimeUnit.SECONDS);
        assertTrue(
                event instanceof ResponseEvent.Refused refused
                        && refused.reason() == RefusalReason.DRAINING,
                String.valueOf(event));
    }

    @Test
    public void should_replay_earlier_announcements_to_a_new_listener() {
        mEndpoints.announce(announcement(FIRST, false, 10, 1));
        mEndpoints.startDeparture(FIRST.backendServer());
        List<LocalEndpoints.Change> changes = new ArrayList<>();
        mEndpoints.addListener(changes::add);
        // A listener that missed the departure would leave the endpoint in service.
        assertEquals(
                changes,
                List.of(
                        new LocalEndpoints.Change.Announced(FIRST),
                        new LocalEndpoints.Change.Departing(FIRST)));
    }

    @Test
    public void should_ignore_an_announcement_that_arrives_after_the_departure() {
        mEndpoints.startDeparture(FIRST.backendServer());
        mEndpoints.announce(announcement(FIRST, false, 10, 1));
        assertTrue(mEndpoints.find(FIRST).isEmpty());
        long nextStart = Clock.system().wallTimeMillis() + 1_000;
        mEndpoints.announce(announcement(FIRST, false, nextStart, 1));
        assertTrue(mEndpoints.find(FIRST).isPresent());
    }

    /** Guards against a restarted server that is out of use until its home node restarts. */
    @Test
    public void should_accept_a_restarted_server_that_states_no_start_time() {
        mEndpoints.announce(announcement(FIRST, false, 0, 0));
        mEndpoints.startDeparture(FIRST.backendServer());
        mEndpoints.remove(FIRST, "departed");
        mEndpoints.announce(announcement(FIRST, false, 0, 0));
        assertTrue(mEndpoints.find(FIRST).isPresent());
    }

    @Test
    public void should_ignore_a_late_announcement_of_a_predecessor() {
        mEndpoints.announce(announcement(FIRST, false, 10, 1));
        mEndpoints.announce(announcement(SECOND, false, 20, 1));
        mEndpoints.announce(announcement(FIRST, false, 10, 2));
        assertTrue(mEndpoints.find(FIRST).isEmpty());
        assertTrue(mEndpoints.find(SECOND).isPresent());
    }

    /** Guards against an endpoint that moves back to the address of its last run. */
    @Test
    public void should_ignore_a_late_announcement_of_an_earlier_run_at_another_address()
            throws Exception {
        try (ServerSocket nextRun = new ServerSocket(0, 16, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) nextRun.getLocalSocketAddress();
            mEndpoints.announce(announcement(FIRST, false, 10, 1));
            mEndpoints.announce(new Announcement(FIRST, address, 1, false, 20, 1));
            mEndpoints.announce(announcement(FIRST, false, 10, 2));
            assertEquals(mEndpoints.find(FIRST).orElseThrow().address(), address);
        }
    }

    @Test
    public void should_accept_a_restarted_server_whose_sequence_starts_again() {
        mEndpoints.announce(announcement(FIRST, false, 10, 7));
        mEndpoints.announce(announcement(FIRST, true, 10, 8));
        mEndpoints.remove(FIRST, "departed");
        mEndpoints.announce(announcement(FIRST, false, 20, 1));
        assertTrue(mEndpoints.find(FIRST).isPresent());
    }

    @Test
    public void should_ignore_a_late_announcement_of_a_departed_server() {
        mEndpoints.announce(announcement(FIRST, false, 10, 3));
        mEndpoints.startDeparture(FIRST.backendServer());
        mEndpoints.remove(FIRST, "departed");
        mEndpoints.announce(announcement(FIRST, false, 10, 4));
        assertFalse(mEndpoints.find(FIRST).isPresent());
    }

    @Test
    public void should_not_add_a_server_whose_first_announcement_is_its_departure() {
        mEndpoints.announce(announcement(FIRST, true, 10, 1));
        assertEquals(mEndpoints.records(), List.of());
    }

    private Announcement announcement(EndpointId id, boolean draining, long start, long sequence) {
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), mBackend.getLocalPort());
        return new Announcement(id, address, 1, draining, start, sequence);
    }

    private static ExecutionRequest request(int index) {
        return new ExecutionRequest(
                new RequestId("caller", 1, (long) index * RequestId.MAXIMUM_ATTEMPTS),
                FIRST,
                "POST",
                "/orders",
                List.of(),
                new byte[0],
                WorkClass.SHORT,
                false,
                "",
                1,
                5,
                Clock.system().nanoTime() + TimeUnit.SECONDS.toNanos(30),
                SubmissionRequirements.NONE,
                "");
    }
}
