package org.arbutuslock.daemon.internal.callers;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.daemon.internal.configuration.ConfigurationPlugin;
import org.arbutuslock.daemon.internal.ejection.EjectionPlugin;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.daemon.internal.fleet.FleetPlugin;
import org.arbutuslock.daemon.internal.home.HomePlugin;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.daemon.internal.metrics.MetricsPlugin;
import org.arbutuslock.daemon.internal.metrics.RequestMetrics;
import org.arbutuslock.daemon.internal.metrics.RetryMetrics;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.daemon.internal.sessions.PeerServer;
import org.arbutuslock.daemon.internal.sessions.SessionsPlugin;
import org.arbutuslock.daemon.internal.shutdown.ShutdownPlan;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.selection.DistancePenalties;
import org.arbutuslock.internal.selection.RegionLinkBudget;
import org.arbutuslock.internal.settings.LiveSettings;
import org.arbutuslock.internal.settings.NodeSettings;

/** Provides the server for callers and shuts it down gracefully. */
public final class CallersPlugin implements Plugin {
    /** Name of this plug-in. */
    public static final String NAME = "callers";

    // One sixteenth of a 30 Mbit/s link, so that 16 nodes of a region can use it at the same time.
    private static final long LINK_BYTES_PER_SECOND = 30_000_000 / 8 / 16;
    private static final Duration LINK_BURST = Duration.ofSeconds(5);
    private CallerServer mServer;
    private GracefulShutdown mShutdown;

    /** Creates the plug-in; called by the service loader. */
    public CallersPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(
                FleetPlugin.NAME,
                HomePlugin.NAME,
                EjectionPlugin.NAME,
                SessionsPlugin.NAME,
                ConfigurationPlugin.NAME,
                MetricsPlugin.NAME);
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        NodeSettings settings = context.require(NodeSettings.class);
        LocalNode localNode = context.require(LocalNode.class);
        ConfigurationHolder configuration = context.require(ConfigurationHolder.class);
        FleetDirectory fleet = context.require(FleetDirectory.class);
        Clock clock = context.require(Clock.class);
        HomeService home = context.require(HomeService.class);
        FleetEndpointChooser chooser =
                new FleetEndpointChooser(
                        localNode,
                        clock,
                        fleet::current,
                        configuration,
                        new RegionLinkBudget(clock, LINK_BYTES_PER_SECOND, LINK_BURST),
                        DistancePenalties.ofMillis(
                                settings.callers().zonePenaltyMillis(),
                                settings.callers().regionPenaltyMillis()),
                        ThreadLocalRandom.current().nextLong());
        EntryServices services =
                new EntryServices(
                        localNode,
                        clock,
                        clock.nanoTime(),
                        configuration,
                        chooser,
                        fleet::current,
                        new HomeNodeClient(localNode, home, context.require(PeerLinks.class)),
                        new RetryMetrics(
                                retryPolicy(clock, settings, configuration),
                                context.require(MeterRegistry.class)),
                        context.require(RequestMetrics.class),
                        context.require(RequestDialect.class));
        NodeSettings.Callers callers = settings.callers();
        CallerLimits limits =
                new CallerLimits(
                        callers.maximumHeaderBytes(),
                        Duration.ofMillis(callers.idleTimeoutMillis()),
                        settings.limits().connections());
        mServer =
                new CallerServer(
                        context.require(EventLoopGroup.class), callers.address(), limits, services);
        context.provide(CallerServer.class, mServer);
        LiveSettings live = context.require(LiveSettings.class);
        mShutdown =
                new GracefulShutdown(
                        clock,
                        mServer,
                        home,
                        context.require(PeerServer.class),
                        () -> ShutdownPlan.of(live.current()));
    }

    private static RetryPolicy retryPolicy(
            Clock clock, NodeSettings settings, ConfigurationHolder configuration) {
        return switch (settings.integration()) {
            case NONE -> new ServiceRetryPolicy(clock, configuration);
            case PLATFORM -> new UnlimitedRetryPolicy();
        };
    }

    @Override
    public void drain() {
        mShutdown.run();
    }

    @Override
    public void stop() {
        mServer.close();
    }
}
