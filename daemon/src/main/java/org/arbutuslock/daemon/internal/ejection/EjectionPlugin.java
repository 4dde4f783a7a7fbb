package org.arbutuslock.daemon.internal.ejection;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.daemon.internal.configuration.ConfigurationPlugin;
import org.arbutuslock.daemon.internal.eventloops.RepeatedTask;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.daemon.internal.fleet.FleetPlugin;
import org.arbutuslock.daemon.internal.home.HomePlugin;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.daemon.internal.home.LocalEndpoints;
import org.arbutuslock.daemon.internal.home.ObservationDispatcher;
import org.arbutuslock.daemon.internal.sessions.ChannelMessageDispatcher;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.daemon.internal.sessions.SessionsPlugin;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.detection.HealthReportCodec;
import org.arbutuslock.internal.ejection.EjectionSettings;
import org.arbutuslock.internal.ejection.ReservationEnvelopeCodec;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * Detects unhealthy backend servers of this host and takes them out of service, as far as the floor
 * of the service allows.
 */
public final class EjectionPlugin implements Plugin {
    /** Name of this plug-in. */
    public static final String NAME = "ejection";

    // The departure notice is this much shorter than the departure bound of the settings, to allow
    // for the delay of a tick and for requests that are already on their way.
    private static final long DEPARTURE_MARGIN_MILLIS = 500;
    // A node on a platform has only a share of a core, so it may be paused for longer.
    private static final long SHARED_CORE_MARGIN_MILLIS = 1_500;

    private EjectionRunner mRunner;
    private Future<?> mTicks;

    /** Creates the plug-in; called by the service loader. */
    public EjectionPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(
                HomePlugin.NAME, SessionsPlugin.NAME, FleetPlugin.NAME, ConfigurationPlugin.NAME);
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        EventLoop eventLoop = context.require(EventLoopGroup.class).next();
        LocalEndpoints endpoints = context.require(LocalEndpoints.class);
        mRunner =
                new EjectionRunner(
                        eventLoop,
                        context.require(Clock.class),
                        EjectionSettings.standard().withDepartureNotice(departureNotice(context)),
                        context.require(LocalNode.class),
                        endpoints,
                        context.require(FleetDirectory.class)::current,
                        context.require(ConfigurationHolder.class),
                        context.require(PeerLinks.class),
                        context.require(HomeService.class));
        context.require(ChannelMessageDispatcher.class)
                .listen(
                        PeerMessage.Channel.RESERVATIONS,
                        (node, payload, reply) ->
                                mRunner.receive(ReservationEnvelopeCodec.decode(payload)));
        context.require(ChannelMessageDispatcher.class)
                .listen(
                        PeerMessage.Channel.HEALTH,
                        (node, payload, reply) ->
                                mRunner.receive(HealthReportCodec.decode(payload)));
        context.require(ObservationDispatcher.class).addListener(mRunner::observe);
        endpoints.addListener(mRunner::onEndpointChange);
        mTicks =
                eventLoop.scheduleWithFixedDelay(
                        new RepeatedTask("ejection", mRunner::tick),
                        EjectionRunner.TICK_MILLIS,
                        EjectionRunner.TICK_MILLIS,
                        TimeUnit.MILLISECONDS);
        context.provide(EjectionRunner.class, mRunner);
    }

    private static Duration departureNotice(PluginContext context) throws PluginException {
        NodeSettings settings = context.require(NodeSettings.class);
        long margin =
                switch (settings.integration()) {
                    case NONE -> DEPARTURE_MARGIN_MILLIS;
                    case PLATFORM -> SHARED_CORE_MARGIN_MILLIS;
                };
        long bound = (long) (settings.bounds().departureSeconds() * 1_000);
        return Duration.ofMillis(Math.max(0, bound - margin));
    }

    @Override
    public void drain() {
        mRunner.departAll();
    }

    @Override
    public void stop() {
        mTicks.cancel(false);
    }
}
