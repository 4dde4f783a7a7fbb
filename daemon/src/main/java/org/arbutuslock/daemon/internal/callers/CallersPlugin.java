package org.arbutuslock.daemon.internal.callers;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
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
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.selection.RegionLinkBudget;
import org.arbutuslock.internal.settings.LiveSettings;
import org.arbutuslock.internal.settings.NodeSettings;

/** Provides the entry node's side: the callers' server. */
public final class CallersPlugin implements Plugin {
    /** Name of this plug-in. */
    public static final String NAME = "callers";

    private static final EventLogger LOGGER = EventLogger.forComponent("callers");
    // A sixteenth of a link of 30 Mbit/s, so that 16 nodes of a region can use it at once.
    private static final long LINK_BYTES_PER_SECOND = 30_000_000 / 8 / 16;
    private static final Duration LINK_BURST = Duration.ofSeconds(5);
    // Time for callers and other nodes to learn that this node is leaving. Below the 3 s within
    // which a leaving server must get no new work.
    private static final Duration NOTICE = Duration.ofMillis(2_500);
    private static final Duration DRAIN_POLL = Duration.ofMillis(20);
    // For the steps of a shutdown that follow on the wait for requests.
    private static final double STOP_MARGIN_SECONDS = 0.4;
    // Covers requests and responses that are on their way from one event loop to another.
    private static final Duration DRAIN_QUIET = Duration.ofMillis(100);

    private CallerServer mServer;
    private HomeService mHome;
    private PeerServer mPeers;
    private Clock mClock;
    private double mDrainSeconds;

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
        mClock = context.require(Clock.class);
        mHome = context.require(HomeService.class);
        mPeers = context.require(PeerServer.class);
        mDrainSeconds =
                Math.min(
                        settings.limits().drainSeconds(),
                        settings.bounds().stopSeconds()
                                - NOTICE.toMillis() / 1_000.0
                                - STOP_MARGIN_SECONDS);
        FleetEndpointChooser chooser =
                new FleetEndpointChooser(
                        localNode,
                        mClock,
                        fleet::current,
                        configuration,
                        new RegionLinkBudget(mClock, LINK_BYTES_PER_SECOND, LINK_BURST),
                        TimeUnit.MILLISECONDS.toNanos(settings.callers().regionPenaltyMillis()),
                        ThreadLocalRandom.current().nextLong());
        EntryServices services =
                new EntryServices(
                        localNode,
                        mClock,
                        mClock.nanoTime(),
                        configuration,
                        chooser,
                        fleet::current,
                        new HomeNodes(localNode, mHome, context.require(PeerLinks.class)),
                        new RetryMetrics(
                                retryPolicy(
                                        context.require(LiveSettings.class), configuration, fleet),
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
    }

    private RetryPolicy retryPolicy(
            LiveSettings live, ConfigurationHolder configuration, FleetDirectory fleet) {
        return switch (live.current().integration()) {
            case NONE -> new ServiceRetryPolicy(mClock, configuration);
            case PLATFORM ->
                    new FleetRetryPolicy(mClock, live, () -> fleet.current().nodes().size());
        };
    }

    /**
     * Tells callers to move while new connections are still accepted, then waits until neither
     * callers nor other nodes have requests in progress here.
     */
    @Override
    public void drain() {
        mServer.startDraining();
        LockSupport.parkNanos(NOTICE.toNanos());
        mHome.drain();
        mServer.closeListener();
        long start = mClock.nanoTime();
        awaitQuiet(start);
        // A request can arrive on an open connection until the moment at which it closes.
        mServer.closeIdleConnections();
        awaitQuiet(start);
    }

    /** Waits until nothing has been in progress for a moment, up to the drain limit. */
    private void awaitQuiet(long start) {
        long limitNanos = (long) (mDrainSeconds * 1e9);
        long now = mClock.nanoTime();
        long lastBusyNanos = now;
        while (now - lastBusyNanos < DRAIN_QUIET.toNanos()) {
            LockSupport.parkNanos(DRAIN_POLL.toNanos());
            now = mClock.nanoTime();
            if (unfinished() > 0) {
                lastBusyNanos = now;
            }
            if (now - start > limitNanos) {
                LOGGER.log(Event.DRAIN_LIMIT_REACHED, mDrainSeconds, unfinished());
                return;
            }
        }
    }

    private int unfinished() {
        return mServer.activeRequests() + mHome.activeRequests() + mPeers.unsentSessions();
    }

    @Override
    public void stop() {
        mServer.close();
    }
}
