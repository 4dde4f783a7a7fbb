package org.arbutuslock.testbed.fault;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a relay that does not apply the faults it is set to, so that fault tests would
 * pass without any fault.
 */
public class FaultRelayTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final int SHORT_TIMEOUT_MILLIS = 100;

    private EventLoopGroup mLoops;
    private ServerSocket mNode;
    private FaultRelay mRelay;
    private Link mLink;

    @BeforeMethod
    public void startRelay() throws IOException {
        mLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mNode = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", mNode.getLocalPort());
        mRelay = FaultRelay.start(address, mLoops, 7);
        mLink = new Link();
    }

    @AfterMethod(alwaysRun = true)
    public void stopRelay() throws IOException {
        mRelay.close();
        mNode.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void should_forward_frames_in_both_directions() throws IOException {
        mLink.send(mLink.mConnectingSide, 1);
        assertEquals(mLink.receive(mLink.mNodeSide), 1);
        mLink.send(mLink.mNodeSide, 2);
        assertEquals(mLink.receive(mLink.mConnectingSide), 2);
    }

    @Test
    public void should_duplicate_whole_frames() throws IOException {
        mRelay.setFaults(RelayFaults.none().withDuplicateShare(1));
        mLink.send(mLink.mConnectingSide, 1);
        mLink.send(mLink.mConnectingSide, 2);
        assertEquals(mLink.receive(mLink.mNodeSide), 1);
        assertEquals(mLink.receive(mLink.mNodeSide), 1);
        assertEquals(mLink.receive(mLink.mNodeSide), 2);
        assertEquals(mRelay.duplicatedFrames(), 2);
    }

    @Test
    public void should_reset_in_the_middle_of_a_frame() {
        mRelay.setFaults(RelayFaults.none().withCutShare(1));
        assertThrows(
                IOException.class,
                () -> {
                    mLink.send(mLink.mConnectingSide, 1);
                    mLink.receive(mLink.mNodeSide);
                });
        assertEquals(mRelay.cutFrames(), 1);
    }

    @Test
    public void should_hold_one_direction_back_and_deliver_after_the_sender_closed()
            throws IOException {
        mRelay.setFaults(RelayFaults.none().withHeld(RelayDirection.TO_NODE));
        mLink.send(mLink.mConnectingSide, 1);
        mLink.send(mLink.mNodeSide, 2);
        assertEquals(mLink.receive(mLink.mConnectingSide), 2);
        mLink.expectNothing(mLink.mNodeSide);
        mLink.mConnectingSide.close();
        mRelay.setFaults(RelayFaults.none());
        assertEquals(mLink.receive(mLink.mNodeSide), 1);
        assertEquals(mLink.mNodeSide.getInputStream().read(), -1);
    }

    @Test
    public void should_silence_open_connections_while_new_ones_work() throws IOException {
        mLink.send(mLink.mConnectingSide, 1);
        assertEquals(mLink.receive(mLink.mNodeSide), 1);
        mRelay.silenceConnections();
        Link fresh = new Link();
        fresh.send(fresh.mConnectingSide, 3);
        assertEquals(fresh.receive(fresh.mNodeSide), 3);
        mLink.send(mLink.mConnectingSide, 2);
        mLink.expectNothing(mLink.mNodeSide);
    }

    @Test
    public void should_delay_frames() throws IOException {
        mRelay.setFaults(RelayFaults.none().withDelay(Duration.ofMillis(80)));
        long start = System.nanoTime();
        mLink.send(mLink.mConnectingSide, 1);
        assertEquals(mLink.receive(mLink.mNodeSide), 1);
        assertTrue(System.nanoTime() - start >= Duration.ofMillis(80).toNanos());
    }

    @Test
    public void should_reset_open_connections() {
        mRelay.resetConnections();
        assertThrows(IOException.class, () -> mLink.receive(mLink.mConnectingSide));
    }

    /** A connection through the relay, with the sockets of both ends. */
    private final class Link {
        private final Socket mConnectingSide;
        private final Socket mNodeSide;

        private Link() throws IOException {
            mConnectingSide = new Socket(mRelay.address().getAddress(), mRelay.address().getPort());
            mNodeSide = mNode.accept();
            mConnectingSide.setSoTimeout(READ_TIMEOUT_MILLIS);
            mNodeSide.setSoTimeout(READ_TIMEOUT_MILLIS);
        }

        private void send(Socket from, int value) throws IOException {
            DataOutputStream out = new DataOutputStream(from.getOutputStream());
            out.writeInt(Integer.BYTES);
            out.writeInt(value);
        }

        private int receive(Socket at) throws IOException {
            DataInputStream in = new DataInputStream(at.getInputStream());
            assertEquals(in.readInt(), Integer.BYTES);
            return in.readInt();
        }

        private void expectNothing(Socket at) throws IOException {
            at.setSoTimeout(SHORT_TIMEOUT_MILLIS);
            assertThrows(SocketTimeoutException.class, () -> receive(at));
            at.setSoTimeout(READ_TIMEOUT_MILLIS);
        }
    }
}
