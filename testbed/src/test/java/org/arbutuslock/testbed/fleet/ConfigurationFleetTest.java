package org.arbutuslock.testbed.fleet;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.daemon.internal.node.Node;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.platform.v1.StoreFaults;
import org.testng.annotations.Test;

/** Guards against errors in how a configuration spreads between nodes connected by TCP. */
public final class ConfigurationFleetTest {
    private static final int NODES = 6;

    /**
     * Guards against a fleet in which more than three nodes watch the store, and against a node
     * that gets no configuration at its start while the store is down.
     */
    @Test
    public void should_watch_with_three_nodes_and_serve_the_others_from_peers() throws Exception {
        try (InProcessFleet fleet = InProcessFleet.start(1)) {
            for (int index = 0; index < NODES; index++) {
                fleet.addNode("mona-" + index, "kingston", "kgn-mona");
            }
            InProcessFleet.await("3 watches", () -> openWatches(fleet) == 3);
            long revision =
                    fleet.change(
                            List.of(
                                    new ConfigurationOperation.PutTenant(
                                            new TenantDefinition("team-1", 2))));
            assertEquals(openWatches(fleet), 3);
            fleet.store().setFaults(StoreFaults.newBuilder().setDown(true).build());
            Node late = fleet.addNode("mona-late", "kingston", "kgn-mona");
            InProcessFleet.await(
                    "configuration from peers",
                    () ->
                            late.component(ConfigurationHolder.class).current().revision()
                                    == revision);
        }
    }

    private static long openWatches(InProcessFleet fleet) {
        return fleet.store().callCounts().getOpenWatches();
    }
}
