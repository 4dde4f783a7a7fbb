package org.arbutuslock.testbed.bench;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ConcurrentSkipListMap;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.daemon.internal.configuration.ConfigurationPlugin;
import org.arbutuslock.daemon.internal.configuration.ConfigurationSpreadPlugin;
import org.arbutuslock.daemon.internal.dialect.OwnDialectPlugin;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.daemon.internal.fleet.FleetPlugin;
import org.arbutuslock.daemon.internal.home.HomePlugin;
import org.arbutuslock.daemon.internal.metrics.MetricsPlugin;
import org.arbutuslock.daemon.internal.sessions.Addresses;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.sessions.SessionsPlugin;
import org.arbutuslock.daemon.internal.store.GrpcStorePlugin;
import org.arbutuslock.daemon.internal.store.MonitoredStore;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.internal.configuration.spread.SpreadRunner;
import org.arbutuslock.internal.plugins.PluginRuntime;
import org.arbutuslock.internal.settings.LiveSettings;
import org.arbutuslock.internal.settings.NodeSettings;
import org.arbutuslock.testbed.fleet.FleetSettings;
import org.arbutuslock.testbed.fleet.FreePorts;

/** A node with the session, membership and configuration plug-ins, behind a delaying relay. */
final class SpreadBenchNode {
    private final NodeSettings mSettings;
    private final EventLoopGroup mEventLoops;
    private final DelayingRelay mRelay;
    private final ConcurrentSkipListMap<Long, Long> mAppliedNanos = new ConcurrentSkipListMap<>();
    private volatile PluginRuntime mPlugins;
    private volatile int mStartCount;

    SpreadBenchNode(
            String name,
            String region,
            String zone,
            InetSocketAddress store,
            List<InetSocketAddress> seeds,
            EventLoopGroup eventLoops,
            Duration delay,
            long seed) {
        NodeSettings direct = FleetSettings.create(name, region, zone, store, seeds);
        InetSocketAddress address = direct.peers().address();
        InetSocketAddress advertised = FreePorts.next();
        mEventLoops = eventLoops;
        mRelay = new DelayingRelay(eventLoops, advertised, address, region, delay, seed);
        mSettings =
                new NodeSettings(
                        name,
                        region,
                        zone,
                        direct.callers(),
                        new NodeSettings.Peers(address, advertised, seeds),
                        direct.announcements(),
                        direct.operators(),
                        direct.metrics(),
                        direct.store(),
                        direct.limits(),
                        direct.integration(),
                        direct.service(),
                        direct.bounds(),
                        direct.tls());
    }

    void start() throws PluginException {
        Clock clock = Clock.system();
        PluginRuntime plugins =
                new PluginRuntime(
                        List.of(
                                new SharedEventLoops(mEventLoops),
                                new OwnDialectPlugin(),
                                new GrpcStorePlugin(),
                                new HomePlugin(),
                                new SessionsPlugin(),
                                new ConfigurationPlugin(),
                                new MetricsPlugin(),
                                new FleetPlugin(),
                                new ConfigurationSpreadPlugin()));
        plugins.provide(NodeSettings.class, mSettings);
        plugins.provide(LiveSettings.class, new LiveSettings(mSettings));
        plugins.provide(Clock.class, clock);
        plugins.provide(
                LocalNode.class,
                new LocalNode(
                        mSettings.nodeName(),
                        clock.wallTimeMillis(),
                        mSettings.region(),
                        mSettings.availabilityZone(),
                        Addresses.format(mSettings.peers().advertisedAddress())));
        plugins.start();
        mPlugins = plugins;
        mStartCount++;
        holder().addListener(new Recorder());
    }

    void stop() {
        PluginRuntime plugins = mPlugins;
        mPlugins = null;
        mAppliedNanos.clear();
        if (plugins != null) {
            plugins.stop();
        }
    }

    void close() {
        stop();
        mRelay.close();
    }

    boolean isRunning() {
        return mPlugins != null;
    }

    /** Returns how often the node was started, which shows whether it was restarted meanwhile. */
    int startCount() {
        return mStartCount;
    }

    String name() {
        return mSettings.nodeName();
    }

    InetSocketAddress advertisedAddress() {
        return mSettings.peers().advertisedAddress();
    }

    DelayingRelay relay() {
        return mRelay;
    }

    ConfigurationHolder holder() {
        return component(ConfigurationHolder.class);
    }

    ConfigurationLog log() {
        return component(ConfigurationLog.class);
    }

    boolean isWatching() {
        return component(SpreadRunner.class).status().watching();
    }

    long storeCalls() {
        return component(MonitoredStore.class).calls();
    }

    int knownNodes() {
        return component(FleetDirectory.class).current().nodes().size();
    }

    /**
     * Returns the system nanoseconds at which a revision was applied, or null when it is not yet.
     */
    Long appliedNanos(long revision) {
        var entry = mAppliedNanos.ceilingEntry(revision);
        return entry == null ? null : entry.getValue();
    }

    private <T> T component(Class<T> type) {
        try {
            return mPlugins.require(type);
        } catch (PluginException missing) {
            throw new IllegalStateException(missing);
        }
    }

    /** Records when each revision is applied. A snapshot includes all revisions up to its own. */
    private final class Recorder implements ConfigurationHolder.Listener {
        @Override
        public void changeApplied(ConfigurationChange change) {
            mAppliedNanos.putIfAbsent(change.revision(), System.nanoTime());
        }

        @Override
        public void snapshotApplied(Configuration configuration) {
            mAppliedNanos.putIfAbsent(configuration.revision(), System.nanoTime());
        }
    }
}
