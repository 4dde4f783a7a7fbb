package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a response that breaks off and takes an earlier one of its connection with it,
 * because the caller reads slowly.
 */
public class ChannelResponseWriterTest {
    private static final List<HeaderField> LENGTH_9 =
            List.of(new HeaderField("content-length", "9"));

    private EventLoopGroup mLoops;
    private CallerServer mServer;
    private SlowCaller mCaller;
    private EmbeddedChannel mChannel;

    @BeforeMethod
    public void open() {
        mLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mServer =
                new CallerServer(
                        mLoops,
                        new InetSocketAddress("127.0.0.1", 0),
                        new CallerLimits(8_192, Duration.ofSeconds(60), 10),
                        EntryServicesFixture.create(new ManualClock()));
        mCaller = new SlowCaller();
        mChannel =
                new EmbeddedChannel(
                        mCaller, new HttpResponseEncoder(), new ChannelInboundHandlerAdapter());
        mChannel.freezeTime();
    }

    @AfterMethod
    public void close() {
        mChannel.finishAndReleaseAll();
        mServer.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void should_write_an_earlier_response_before_a_break() {
        newWriter().sendComplete(new BufferedResponse(200, List.of(), bytes("first")));
        breakOff();
        assertTrue(mChannel.isOpen());
        mCaller.read();
        mChannel.runPendingTasks();
        assertFalse(mChannel.isOpen());
        assertEquals(received().replaceAll("(?s)HTTP.*?\r\n\r\n", "|"), "|first|part");
    }

    /** Guards against a connection that is kept for a caller that never reads. */
    @Test
    public void should_close_after_a_break_when_the_caller_does_not_read() {
        breakOff();
        assertTrue(mChannel.isOpen());
        mChannel.advanceTimeBy(5, TimeUnit.SECONDS);
        mChannel.runScheduledPendingTasks();
        assertFalse(mChannel.isOpen());
    }

    private void breakOff() {
        ChannelResponseWriter writer = newWriter();
        writer.start(200, LENGTH_9);
        writer.sendPart(bytes("part"), false, () -> {});
        writer.abort();
        mChannel.runPendingTasks();
    }

    private ChannelResponseWriter newWriter() {
        ChannelResponseWriter.Listener listener =
                new ChannelResponseWriter.Listener() {
                    @Override
                    public boolean closesConnection() {
                        return false;
                    }

                    @Override
                    public void responseEnded() {}
                };
        return new ChannelResponseWriter(
                mChannel.pipeline().lastContext(), mServer, listener, false);
    }

    private String received() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = mChannel.readOutbound(); part != null; part = mChannel.readOutbound()) {
            text.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return text.toString();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Holds all writes until the caller reads; a close drops them. */
    private static final class SlowCaller extends ChannelOutboundHandlerAdapter {
        private final Queue<Runnable> mWrites = new ArrayDeque<>();

        private void read() {
            for (Runnable write = mWrites.poll(); write != null; write = mWrites.poll()) {
                write.run();
            }
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            mWrites.add(() -> context.writeAndFlush(message, promise));
        }

        @Override
        public void close(ChannelHandlerContext context, ChannelPromise promise) {
            mWrites.clear();
            context.close(promise);
        }
    }
}
