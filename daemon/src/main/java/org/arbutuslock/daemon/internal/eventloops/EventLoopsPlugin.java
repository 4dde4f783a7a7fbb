package org.arbutuslock.daemon.internal.eventloops;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;

/**
 * Provides the event loops that serve all sockets of a node: one thread per processor, at most 4.
 */
public final class EventLoopsPlugin implements Plugin {
    /** Name of this plug-in. */
    public static final String NAME = "event-loops";

    private static final int MAXIMUM_THREADS = 4;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private EventLoopGroup mEventLoops;

    /** Creates the plug-in; called by the service loader. */
    public EventLoopsPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of();
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        int threads = Math.min(MAXIMUM_THREADS, Runtime.getRuntime().availableProcessors());
        mEventLoops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        context.provide(EventLoopGroup.class, mEventLoops);
    }

    @Override
    public void stop() {
        mEventLoops
                .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }
}
