package org.arbutuslock.daemon.internal.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
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
import org.arbutuslock.daemon.internal.http.SmallHttpServer;
import org.arbutuslock.daemon.internal.sessions.SessionCounts;
import org.arbutuslock.daemon.internal.sessions.SessionsPlugin;
import org.arbutuslock.daemon.internal.store.GrpcStorePlugin;
import org.arbutuslock.daemon.internal.store.MonitoredStore;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * Collects metrics of the node and serves {@code /metrics}, {@code /health} and {@code /ready}. The
 * node is ready while it has a configuration and is not shutting down.
 */
public final class MetricsPlugin implements Plugin {
    /** Name of this plug-in. */
    public static final String NAME = "metrics";

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;

    private PrometheusMeterRegistry mRegistry;
    private ConfigurationHolder mConfiguration;
    private final List<SmallHttpServer> mServers = new ArrayList<>();
    private ScheduledExecutorService mRefresh;
    private volatile boolean mDraining;

    /** Creates the plug-in; called by the service loader. */
    public MetricsPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(
                GrpcStorePlugin.NAME,
                ConfigurationPlugin.NAME,
                HomePlugin.NAME,
                SessionsPlugin.NAME,
                FleetPlugin.NAME);
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        mRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        mConfiguration = context.require(ConfigurationHolder.class);
        new JvmMemoryMetrics().bindTo(mRegistry);
        NodeSettings.Metrics settings = context.require(NodeSettings.class).metrics();
        for (InetSocketAddress address :
                new LinkedHashSet<>(List.of(settings.address(), settings.readinessAddress()))) {
            mServers.add(
                    new SmallHttpServer(
                            context.require(EventLoopGroup.class),
                            address,
                            "metrics",
                            this::answer));
        }
        RequestWindows windows = new RequestWindows(context.require(Clock.class));
        RequestMetrics requests = new RequestMetrics(mRegistry, windows);
        context.provide(MeterRegistry.class, mRegistry);
        context.provide(RequestMetrics.class, requests);
        context.provide(RequestWindows.class, windows);
        FleetMetrics.register(
                mRegistry,
                context.require(FleetDirectory.class)::current,
                context.require(HomeService.class));
        startRefreshing(context, windows, requests);
    }

    private void startRefreshing(
            PluginContext context, RequestWindows windows, RequestMetrics requests)
            throws PluginException {
        EndpointMetrics endpoints =
                new EndpointMetrics(mRegistry, context.require(LocalEndpoints.class));
        NodeMetrics node =
                new NodeMetrics(
                        mRegistry,
                        context.require(Clock.class),
                        mConfiguration,
                        context.require(MonitoredStore.class),
                        context.require(SessionCounts.class));
        mRefresh =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("metrics").factory());
        long interval = RequestWindows.INTERVAL.toMillis();
        for (Runnable task :
                List.<Runnable>of(
                        windows::rotate,
                        requests::updateListedTenants,
                        endpoints::refresh,
                        node::refresh)) {
            mRefresh.scheduleAtFixedRate(
                    new RepeatedTask("metrics", task), interval, interval, TimeUnit.MILLISECONDS);
        }
    }

    private FullHttpResponse answer(FullHttpRequest request) {
        return switch (request.uri()) {
            case "/metrics" -> SmallHttpServer.text(OK, mRegistry.scrape());
            case "/health" -> SmallHttpServer.text(OK, "alive\n");
            case "/ready" -> answerReady();
            default ->
                    SmallHttpServer.text(
                            NOT_FOUND,
                            "read path "
                                    + request.uri()
                                    + ", allowed /metrics, /health and /ready\n");
        };
    }

    private FullHttpResponse answerReady() {
        if (mDraining) {
            return SmallHttpServer.text(SERVICE_UNAVAILABLE, "shutting down\n");
        }
        if (mConfiguration.current().revision() == 0) {
            return SmallHttpServer.text(SERVICE_UNAVAILABLE, "no configuration yet\n");
        }
        return SmallHttpServer.text(OK, "ready\n");
    }

    @Override
    public void drain() {
        mDraining = true;
    }

    @Override
    public void stop() {
        mRefresh.shutdownNow();
        mServers.forEach(SmallHttpServer::close);
        mRegistry.close();
    }
}
