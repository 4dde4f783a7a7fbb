package org.arbutuslock.daemon.internal.home;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.daemon.internal.announcements.AnnouncementHandler;
import org.arbutuslock.daemon.internal.dialect.OwnDialectPlugin;
import org.arbutuslock.daemon.internal.eventloops.EventLoopsPlugin;
import org.arbutuslock.daemon.internal.eventloops.RepeatedTask;
import org.arbutuslock.daemon.internal.http.SmallHttpServer;
import org.arbutuslock.daemon.internal.sessions.HomeNode;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.store.GrpcStorePlugin;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.execution.ExecutionLedger;
import org.arbutuslock.internal.execution.LedgerLimits;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.retry.EndpointRetryLimiter;
import org.arbutuslock.internal.retry.RetryLimiter;
import org.arbutuslock.internal.settings.LiveSettings;
import org.arbutuslock.internal.settings.NodeSettings;

/** Starts the home node's services: endpoints, execution ledger and the announcement server. */
public final class HomePlugin implements Plugin {
    /** Plug-in name, which other plug-ins give in {@link Plugin#requires()}. */
    public static final String NAME = "home";

    private static final EventLogger LOGGER = EventLogger.forComponent("endpoints");
    private static final long EXPIRE_INTERVAL_MILLIS = 500;
    // The announcements of the servers on this host wait for the store no longer than this.
    private static final long RESTORE_TIMEOUT_MILLIS = 500;

    private HomeService mHome;
    private SmallHttpServer mAnnouncements;
    private Future<?> mExpiry;

    /** Creates the plug-in; called by the service loader. */
    public HomePlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(EventLoopsPlugin.NAME, OwnDialectPlugin.NAME, GrpcStorePlugin.NAME);
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        NodeSettings settings = context.require(NodeSettings.class);
        Clock clock = context.require(Clock.class);
        EventLoopGroup eventLoops = context.require(EventLoopGroup.class);
        ObservationDispatcher observations = new ObservationDispatcher();
        DepartureLog departures =
                new DepartureLog(context.require(PlatformStore.class), settings.nodeName());
        LocalEndpoints endpoints =
                new LocalEndpoints(
                        clock,
                        eventLoops,
                        observations,
                        settings.limits().queueLengthPerEndpoint(),
                        context.require(RequestDialect.class),
                        retryLimiters(context, settings),
                        Duration.ofMillis((long) (settings.announcements().leaseSeconds() * 1_000)),
                        departures::record);
        long incarnation = context.require(LocalNode.class).incarnation();
        ExecutionLedger ledger = new ExecutionLedger(clock, incarnation, limits(settings.limits()));
        mHome = new HomeService(clock, ledger, endpoints);
        endpoints.setHomeService(mHome);
        restoreDepartures(departures, endpoints);
        mAnnouncements =
                new SmallHttpServer(
                        eventLoops,
                        settings.announcements().address(),
                        "announcements",
                        new AnnouncementHandler(endpoints, clock));
        mExpiry =
                eventLoops
                        .next()
                        .scheduleWithFixedDelay(
                                new RepeatedTask("expiry", () -> expire(endpoints)),
                                EXPIRE_INTERVAL_MILLIS,
                                EXPIRE_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
        context.provide(ObservationDispatcher.class, observations);
        context.provide(LocalEndpoints.class, endpoints);
        context.provide(HomeService.class, mHome);
        context.provide(HomeNode.class, mHome);
    }

    private static void restoreDepartures(DepartureLog departures, LocalEndpoints endpoints) {
        endpoints.holdAnnouncements();
        departures
                .load()
                .completeOnTimeout(Map.of(), RESTORE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(failure -> Map.of())
                .thenAccept(
                        restored -> {
                            if (!restored.isEmpty()) {
                                LOGGER.log(Event.DEPARTURES_RESTORED, restored.size());
                            }
                            endpoints.restoreDepartures(restored);
                        });
    }

    private static Function<String, RetryLimiter> retryLimiters(
            PluginContext context, NodeSettings settings) throws PluginException {
        Clock clock = context.require(Clock.class);
        LiveSettings live = context.require(LiveSettings.class);
        ServiceEndpointCounts endpointCounts = new ServiceEndpointCounts();
        context.provide(ServiceEndpointCounts.class, endpointCounts);
        return switch (settings.integration()) {
            case NONE -> service -> new RetryLimiter.Unlimited();
            case PLATFORM ->
                    service ->
                            new EndpointRetryLimiter(
                                    clock,
                                    () -> live.current().bounds(),
                                    () -> endpointCounts.countEndpoints(service));
        };
    }

    private void expire(LocalEndpoints endpoints) {
        endpoints.expire();
        mHome.expireRecords();
    }

    private static LedgerLimits limits(NodeSettings.Limits limits) {
        LedgerLimits standard = LedgerLimits.standard();
        return new LedgerLimits(
                standard.retention(),
                standard.keptResponseBytes(),
                limits.keptResponseBytes(),
                standard.records(),
                standard.entryNodes());
    }

    @Override
    public void stop() {
        mExpiry.cancel(false);
        mAnnouncements.close();
        mHome.endpoints().values().forEach(EndpointRuntime::close);
    }
}
