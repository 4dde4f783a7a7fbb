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
import java.util.List;
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

/** Guards against work for a server that has left and against late announcements. */
public class LocalEndpointsTest {
    private static final EndpointId FIRST = new EndpointId("orders", "first");
    private static final EndpointId SECOND = new EndpointId("orders", "second");

    private EventLoopGroup mEventLoops;
    private ServerSocket mBackend;
    private LocalEndpoints mEndpoints;
    private HomeService mHome;

    @BeforeMethod
    public void setUp() throws Exception {
        mEventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        // Accepts connections in its backlog and never responds.
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
                        Duration.ofSeconds(3));
        mHome =
                new HomeService(
                        clock, new ExecutionLedger(clock, 1, LedgerLimits.standard()), mEndpoints);
        mEndpoints.connect(mHome);
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
    public void should_tell_a_listener_what_was_announced_before_it() {
        mEndpoints.announce(announcement(FIRST, false, 10, 1));
        mEndpoints.startDeparture(FIRST.backendServer());
        List<LocalEndpoints.Change> changes = new ArrayList<>();
        mEndpoints.addListener(changes::add);
        // Without its guard an endpoint would ignore its departure and go on serving.
        assertEquals(
                changes,
                List.of(
                        new LocalEndpoints.Change.Announced(FIRST),
                        new LocalEndpoints.Change.Departing(FIRST)));
    }

    @Test
    public void should_not_take_a_late_announcement_after_a_leave_that_came_first() {
        mEndpoints.startDeparture(FIRST.backendServer());
        mEndpoints.announce(announcement(FIRST, false, 10, 1));
        assertTrue(mEndpoints.find(FIRST).isEmpty());
        long nextStart = Clock.system().wallTimeMillis() + 1_000;
        mEndpoints.announce(announcement(FIRST, false, nextStart, 1));
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

    @Test
    public void should_take_a_new_life_under_the_same_name_whose_sequence_starts_anew() {
        mEndpoints.announce(announcement(FIRST, false, 10, 7));
        mEndpoints.announce(announcement(FIRST, true, 10, 8));
        mEndpoints.remove(FIRST, "departed");
        mEndpoints.announce(announcement(FIRST, false, 20, 1));
        assertTrue(mEndpoints.find(FIRST).isPresent());
    }

    @Test
    public void should_not_bring_back_a_departed_server_by_a_late_announcement() {
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
                SubmissionRequirements.NONE);
    }
}
