package org.arbutuslock.daemon.internal.configuration;

import io.netty.channel.EventLoopGroup;
import java.util.Set;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.daemon.internal.fleet.FleetPlugin;
import org.arbutuslock.daemon.internal.store.GrpcStorePlugin;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.dialect.ConfigurationDialect;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.settings.LiveSettings;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * Keeps the configuration up to date when the node is integrated with a platform: follows the
 * configuration that the operators of the platform write into its store.
 */
public final class FollowedConfigurationPlugin implements Plugin {
    /** Name under which other plug-ins require this one. */
    public static final String NAME = "followed-configuration";

    private ConfigurationFollower mFollower;

    /** Creates the plug-in. Called by {@link java.util.ServiceLoader}. */
    public FollowedConfigurationPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(ConfigurationPlugin.NAME, FleetPlugin.NAME, GrpcStorePlugin.NAME);
    }

    @Override
    public boolean isSelected(PluginContext context) throws PluginException {
        return context.require(NodeSettings.class).integration()
                == NodeSettings.Integration.PLATFORM;
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        LiveSettings live = context.require(LiveSettings.class);
        FleetDirectory fleet = context.require(FleetDirectory.class);
        mFollower =
                new ConfigurationFollower(
                        context.require(PlatformStore.class),
                        context.require(ConfigurationDialect.class),
                        context.require(ConfigurationHolder.class),
                        () -> live.current().bounds().floorShare(),
                        () -> findNewestRevision(fleet.current()),
                        context.require(EventLoopGroup.class).next());
        mFollower.start();
    }

    private static long findNewestRevision(FleetSnapshot fleet) {
        return fleet.nodes().stream().mapToLong(NodeRecord::configurationRevision).max().orElse(0);
    }

    @Override
    public void stop() {
        mFollower.stop();
    }
}
