package org.arbutuslock.daemon.internal.store;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.internal.settings.NodeSettings;

/** Provides the client of the key-value store over the gRPC protocol in store.proto. */
public final class GrpcStorePlugin implements Plugin {
    /** Name of every plug-in that provides a {@link PlatformStore}. */
    public static final String NAME = "store";

    private MonitoredStore mStore;

    /** Creates the plug-in; called by the service loader. */
    public GrpcStorePlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of();
    }

    @Override
    public boolean isSelected(PluginContext context) throws PluginException {
        return context.require(NodeSettings.class).integration() == NodeSettings.Integration.NONE;
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        Clock clock = context.require(Clock.class);
        StoreClientSettings settings = clientSettings(context.require(NodeSettings.class).store());
        // Unseeded random numbers are acceptable here: they only add jitter to the back-off.
        mStore =
                new MonitoredStore(
                        new GrpcPlatformStore(
                                settings, clock, () -> ThreadLocalRandom.current().nextLong()),
                        clock);
        context.provide(PlatformStore.class, mStore);
        context.provide(MonitoredStore.class, mStore);
    }

    private static StoreClientSettings clientSettings(NodeSettings.Store settings) {
        StoreClientSettings defaults = StoreClientSettings.withDefaults(settings.address());
        return new StoreClientSettings(
                settings.address(),
                Duration.ofMillis(settings.timeoutMillis()),
                settings.callsPerSecond(),
                defaults.initialBackoff(),
                defaults.maximumBackoff(),
                defaults.watchSilence());
    }

    @Override
    public void stop() {
        mStore.close();
    }
}
