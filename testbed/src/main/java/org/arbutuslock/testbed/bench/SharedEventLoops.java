package org.arbutuslock.testbed.bench;

import io.netty.channel.EventLoopGroup;
import java.util.Set;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.daemon.internal.eventloops.EventLoopsPlugin;

/** Plug-in that lets all nodes in one process share one event loop group. */
final class SharedEventLoops implements Plugin {
    private final EventLoopGroup mEventLoops;

    SharedEventLoops(EventLoopGroup eventLoops) {
        mEventLoops = eventLoops;
    }

    @Override
    public String name() {
        return EventLoopsPlugin.NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of();
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        context.provide(EventLoopGroup.class, mEventLoops);
    }

    @Override
    public void stop() {
        // The fleet shuts the event loops down after it has stopped all nodes.
    }
}
