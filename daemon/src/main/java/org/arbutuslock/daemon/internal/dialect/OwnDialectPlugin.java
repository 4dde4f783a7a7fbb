package org.arbutuslock.daemon.internal.dialect;

import java.util.Set;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.settings.NodeSettings;

/** Provides the header names of nodes that are not embedded in a platform. */
public final class OwnDialectPlugin implements Plugin {
    /** Name shared by all plug-ins that provide a {@link RequestDialect}; only one is selected. */
    public static final String NAME = "dialect";

    /** Creates the plug-in; called by the service loader. */
    public OwnDialectPlugin() {}

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
        context.provide(RequestDialect.class, new OwnDialect());
    }

    @Override
    public void stop() {}
}
