package org.arbutuslock.daemon.internal.rendezvous;

import io.netty.channel.EventLoopGroup;
import java.util.Set;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.daemon.internal.fleet.FleetContacts;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.daemon.internal.fleet.FleetPlugin;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.store.GrpcStorePlugin;
import org.arbutuslock.internal.settings.NodeSettings;

/** Lets nodes without configured seeds find each other through the platform's store. */
public final class RendezvousPlugin implements Plugin {
    /** Name under which other plug-ins require this one. */
    public static final String NAME = "rendezvous";

    private StoreRendezvous mRendezvous;

    /** Creates the plug-in. Called by {@link java.util.ServiceLoader}. */
    public RendezvousPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(FleetPlugin.NAME, GrpcStorePlugin.NAME);
    }

    @Override
    public boolean isSelected(PluginContext context) throws PluginException {
        return context.require(NodeSettings.class).integration()
                == NodeSettings.Integration.PLATFORM;
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        FleetDirectory fleet = context.require(FleetDirectory.class);
        mRendezvous =
                new StoreRendezvous(
                        context.require(PlatformStore.class),
                        context.require(LocalNode.class),
                        context.require(FleetContacts.class),
                        fleet::current,
                        context.require(Clock.class),
                        context.require(EventLoopGroup.class).next());
        mRendezvous.start();
    }

    @Override
    public void stop() {
        mRendezvous.stop();
    }
}
