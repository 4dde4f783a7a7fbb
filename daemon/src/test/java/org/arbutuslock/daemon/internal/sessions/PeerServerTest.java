package org.arbutuslock.daemon.internal.sessions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.internal.execution.ExecutionLedger;
import org.arbutuslock.internal.execution.LedgerLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a shutdown in which each session waits until the one before it is closed. */
public class PeerServerTest {
    // Netty assigns the listener to event loop 0 and connections to the next ones in turn.
    private static final int LOOPS = 3;
    private static final int BUSY_LOOP = 1;
    private static final int SESSIONS = 12;
    private static final int TIMEOUT_MILLIS = 10_000;

    private final List<Socket> mPeers = new ArrayList<>();
    private CountDownLatch mReleased;
    private EventLoopGroup mLoops;
    private PeerServer mServer;

    @BeforeMethod
    public void setUp() {
        mReleased = new CountDownLatch(1);
        ManualClock clock = new ManualClock();
        mLoops = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
        mServer =
                new PeerServer(
                        mLoops,
                        new InetSocketAddress("127.0.0.1", 0),
                        new LocalNode("home", 1, "west", "calgary", "127.0.0.1:1"),
                        clock,
                        new SessionCounts(),
                        new HomeService(
                                clock,
                                new ExecutionLedger(clock, 1, LedgerLimits.standard()),
                                (endpoint, idempotent) -> true),
                        new ChannelMessageDispatcher());
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        mReleased.countDown();
        for (Socket peer : mPeers) {
            peer.close();
        }
        mPeers.clear();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test(timeOut = 30_000)
    public void should_close_the_other_sessions_while_one_event_loop_is_busy() throws Exception {
        for (int index = 0; index < SESSIONS; index++) {
            connect();
        }
        Iterator<EventExecutor> loops = mLoops.iterator();
        for (int index = 0; index < BUSY_LOOP; index++) {
            loops.next();
        }
        loops.next().execute(this::awaitRelease);
        Thread closing = Thread.ofVirtual().start(mServer::close);
        for (int index = 0; index < SESSIONS; index++) {
            boolean busy = (index + 1) % LOOPS == BUSY_LOOP;
            if (!busy) {
                Socket peer = mPeers.get(index);
                peer.setSoTimeout(TIMEOUT_MILLIS);
                assertEquals(peer.getInputStream().read(), -1);
            }
        }
        mReleased.countDown();
        assertTrue(closing.join(Duration.ofMillis(TIMEOUT_MILLIS)));
    }

    /** Opens a connection and waits until the server has accepted and registered it. */
    private void connect() throws IOException {
        mPeers.add(new Socket("127.0.0.1", mServer.address().getPort()));
        awaitTasks();
        awaitTasks();
    }

    private void awaitTasks() {
        mLoops.forEach(loop -> loop.submit(() -> {}).syncUninterruptibly());
    }

    private void awaitRelease() {
        try {
            mReleased.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
