package org.arbutuslock.internal.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.testing.Seeds;
import org.testng.annotations.Test;

/**
 * Guards against snapshots of the fleet that are wrong, or copied whole, after nodes were added,
 * changed and removed.
 */
public final class FleetSnapshotTest {
    private static NodeRecord record(String node, long version, String... services) {
        List<EndpointRecord> endpoints =
                List.of(services).stream()
                        .map(service -> new EndpointId(service, node))
                        .map(id -> new EndpointRecord(id, 5, EndpointState.IN_SERVICE, 100))
                        .toList();
        return new NodeRecord(node, 1, version, node, "west", "a", 0, false, endpoints);
    }

    /** Guards against a snapshot that, after many changes, differs from one built from scratch. */
    @Test
    public void should_equal_a_snapshot_built_from_the_same_records() {
        Seeds.run(
                20,
                seed -> {
                    SplittableRandom random = new SplittableRandom(seed);
                    Map<String, NodeRecord> records = new HashMap<>();
                    FleetSnapshot snapshot = FleetSnapshot.EMPTY;
                    for (int step = 0; step < 200; step++) {
                        String removed = "node-" + random.nextInt(10);
                        NodeRecord changed =
                                record(
                                        "node-" + random.nextInt(10, 20),
                                        step,
                                        "service-" + random.nextInt(3),
                                        "service-" + random.nextInt(3, 6));
                        records.remove(removed);
                        records.put(changed.node(), changed);
                        snapshot = snapshot.with(List.of(changed), Set.of(removed));
                    }
                    assertSameContent(snapshot, FleetSnapshot.of(records.values()));
                });
    }

    private static void assertSameContent(FleetSnapshot snapshot, FleetSnapshot expected) {
        assertEquals(new HashSet<>(snapshot.nodes()), new HashSet<>(expected.nodes()));
        for (int service = 0; service < 6; service++) {
            assertEquals(
                    new HashSet<>(snapshot.membersOf("service-" + service)),
                    new HashSet<>(expected.membersOf("service-" + service)));
        }
    }

    /** Guards against a change of one node that copies the endpoints of unrelated services. */
    @Test
    public void should_share_what_did_not_change() {
        FleetSnapshot before = FleetSnapshot.of(List.of(record("x", 1, "a"), record("y", 1, "b")));
        FleetSnapshot after = before.with(List.of(record("x", 2, "a")), Set.of());
        assertSame(after.membersOf("b"), before.membersOf("b"));
        assertEquals(before.membersOf("a").getFirst().node().version(), 1);
        assertEquals(after.membersOf("a").getFirst().node().version(), 2);
    }
}
