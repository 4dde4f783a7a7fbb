package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.daemon.internal.sessions.ChannelMessageDispatcher;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.sessions.PeerServer;
import org.arbutuslock.daemon.internal.sessions.SessionCounts;
import org.arbutuslock.daemon.internal.shutdown.ShutdownPlan;
import org.arbutuslock.internal.execution.ExecutionLedger;
import org.arbutuslock.internal.execution.LedgerLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a shutdown that ends later than planned because one of its steps is late. */
public class GracefulShutdownTest {
    private static final ShutdownPlan PLAN =
            new ShutdownPlan(
                    Duration.ofMillis(2_500), Duration.ofMillis(5_400), Duration.ofMillis(5_850));
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(20).toNanos();

    private final ManualClock mClock = new ManualClock();
    private EventLoopGroup mLoops;
    private CallerServer mServer;
    private PeerServer mPeers;
    private Thread mShutdown;

    @BeforeMethod
    public void setUp() {
        mLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);
        mServer =
                new CallerServer(
                        mLoops,
                        address,
                        new CallerLimits(8_192, Duration.ofSeconds(60), 10),
                        EntryServicesFixture.create(mClock));
        HomeService home =
                new HomeService(
                        mClock,
                        new ExecutionLedger(mClock, 1, LedgerLimits.standard()),
                        (endpoint, idempotent) -> true);
        mPeers =
                new PeerServer(
                        mLoops,
                        address,
                        new LocalNode("node", 1, "region", "zone", "127.0.0.1:1"),
                        mClock,
                        new SessionCounts(),
                        home,
                        new ChannelMessageDispatcher());
        GracefulShutdown shutdown = new GracefulShutdown(mClock, mServer, home, mPeers, () -> PLAN);
        mShutdown = Thread.ofVirtual().start(shutdown::run);
    }

    @AfterMethod
    public void tearDown() {
        mClock.advance(Duration.ofSeconds(60));
        mServer.close();
        mPeers.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void should_keep_the_drain_limit_when_the_notice_ends_late() throws Exception {
        mServer.requestStarted();
        await("notice", mServer::isDraining);
        assertFalse(mServer.isRefusing());
        // The thread of the shutdown gets its next turn 1.5 s late.
        mClock.advance(Duration.ofMillis(4_000));
        await("end of the notice", mServer::isRefusing);
        mClock.advance(Duration.ofMillis(1_450));
        await("answers to unfinished requests", () -> advanceUntilEnd(Duration.ofMillis(400)));
    }

    /** Advances the clock in steps until the shutdown has ended; false when the limit passes. */
    private boolean advanceUntilEnd(Duration limit) {
        Duration step = Duration.ofMillis(20);
        for (Duration passed = step; passed.compareTo(limit) <= 0; passed = passed.plus(step)) {
            mClock.advance(step);
            try {
                if (mShutdown.join(Duration.ofMillis(200))) {
                    return true;
                }
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }
        return false;
    }

    private static void await(String what, BooleanSupplier condition) throws Exception {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(5);
        }
    }
}
