package org.arbutuslock.testbed.fleet;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.daemon.internal.node.Node;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.testng.annotations.Test;

/** Guards against errors in the membership of nodes that are connected by TCP. */
public final class FleetMembershipTest {
    private static final Duration DRAIN_NOTICE_LIMIT = Duration.ofSeconds(3);
    private static final Duration DEPARTURE_NOTICE_LIMIT = Duration.ofSeconds(6);

    /**
     * Guards against nodes and endpoints that other nodes never learn of, and against records that
     * stay after the node has left.
     */
    @Test
    public void should_follow_a_node_from_its_start_to_its_departure() throws Exception {
        try (InProcessFleet fleet = InProcessFleet.start(1)) {
            Node first = fleet.addNode("calgary-a-1", "west-prairie", "calgary-a");
            Node second = fleet.addNode("winnipeg-a-1", "east-prairie", "winnipeg-a");
            Node third = fleet.addNode("calgary-a-2", "west-prairie", "calgary-a");
            fleet.addBackend("calgary-a-2", "order-hub-1", "order-hub", 5, WorkTimes.of(5, 0, 1));
            fleet.awaitReady();
            long start = System.nanoTime();
            third.drain();
            for (Node node : List.of(first, second)) {
                InProcessFleet.await("drain notice", () -> isDraining(node, "calgary-a-2"));
            }
            assertTrue(System.nanoTime() - start < DRAIN_NOTICE_LIMIT.toNanos());
            long stopped = System.nanoTime();
            fleet.stopNode("calgary-a-2");
            for (Node node : List.of(first, second)) {
                InProcessFleet.await(
                        "departure",
                        () ->
                                snapshot(node).findNode("calgary-a-2").isEmpty()
                                        && snapshot(node).membersOf("order-hub").isEmpty());
            }
            // Without a departure message, failure detection would take more than 10 s.
            assertTrue(System.nanoTime() - stopped < DEPARTURE_NOTICE_LIMIT.toNanos());
        }
    }

    private static boolean isDraining(Node node, String name) {
        return snapshot(node).findNode(name).orElseThrow().draining();
    }

    private static FleetSnapshot snapshot(Node node) {
        return node.component(FleetDirectory.class).current();
    }
}
