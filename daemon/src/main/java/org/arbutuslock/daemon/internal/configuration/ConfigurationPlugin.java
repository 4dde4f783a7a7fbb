package org.arbutuslock.daemon.internal.configuration;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.daemon.internal.eventloops.EventLoopsPlugin;
import org.arbutuslock.daemon.internal.store.GrpcStorePlugin;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;

/**
 * Provides the configuration in force and the change log in the platform's store. {@link
 * ConfigurationSpreadPlugin} or {@link FollowedConfigurationPlugin} keeps the configuration up to
 * date.
 */
public final class ConfigurationPlugin implements Plugin {
    /** Name under which other plug-ins require this one. */
    public static final String NAME = "configuration";

    /** Creates the plug-in. Called by {@link java.util.ServiceLoader}. */
    public ConfigurationPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(EventLoopsPlugin.NAME, GrpcStorePlugin.NAME);
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        Clock clock = context.require(Clock.class);
        EventLoop eventLoop = context.require(EventLoopGroup.class).next();
        // Used only for jitter; no check depends on its values.
        RandomGenerator jitter = () -> ThreadLocalRandom.current().nextLong();
        ConfigurationHolder holder = new ConfigurationHolder();
        ConfigurationLog log =
                new ConfigurationLog(
                        context.require(PlatformStore.class),
                        holder,
                        clock,
                        (delay, task) ->
                                eventLoop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS),
                        jitter);
        context.provide(ConfigurationHolder.class, holder);
        context.provide(ConfigurationLog.class, log);
    }

    @Override
    public void stop() {}
}
