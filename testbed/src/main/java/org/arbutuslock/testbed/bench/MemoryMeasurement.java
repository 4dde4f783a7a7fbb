package org.arbutuslock.testbed.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.GossipAction;
import org.arbutuslock.internal.membership.GossipMessage;
import org.arbutuslock.internal.membership.GossipMessageCodec;
import org.arbutuslock.internal.membership.GossipProtocol;
import org.arbutuslock.internal.membership.GossipSettings;
import org.arbutuslock.internal.membership.MembershipUpdate;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.membership.Tombstone;
import org.arbutuslock.internal.messages.MessageFormatException;

/** Measures the heap of one node's gossip protocol and fleet snapshot, and the time of changes. */
final class MemoryMeasurement {
    private static final int COLLECTIONS = 4;
    private static final int ROUNDS = 9;
    private static final int BURST_DIVISOR = 20;
    private static final int TOMBSTONES_PER_MESSAGE = 400;
    private static final double NANOS_PER_MILLI = 1e6;

    private final long mSeed;

    MemoryMeasurement(long seed) {
        mSeed = seed;
    }

    /** Measures a fleet with this number of endpoints. */
    Result measure(int endpoints) throws MessageFormatException {
        List<NodeRecord> records = SyntheticFleet.records(endpoints, mSeed);
        List<byte[]> messages = SyntheticFleet.repairs(records);
        long before = usedHeap();
        View view = new View(mSeed);
        for (byte[] message : messages) {
            view.apply(view.mProtocol.receive(GossipMessageCodec.decode(message)));
        }
        long retained = usedHeap() - before;
        double change = measureChange(view, records);
        double burst = measureBurst(view, records);
        return new Result(endpoints, records.size(), retained, change, burst);
    }

    /** Returns the median milliseconds to apply one changed record to the snapshot. */
    private static double measureChange(View view, List<NodeRecord> records) {
        List<Double> millis = new ArrayList<>();
        for (int round = 0; round < ROUNDS * ROUNDS; round++) {
            NodeRecord record = records.get(round % records.size());
            long start = System.nanoTime();
            view.mSnapshot.with(List.of(record), List.of());
            millis.add((System.nanoTime() - start) / NANOS_PER_MILLI);
        }
        return median(millis);
    }

    /** Returns the median milliseconds to decode and apply tombstones of 5% of all nodes. */
    private double measureBurst(View view, List<NodeRecord> records) throws MessageFormatException {
        SplittableRandom random = new SplittableRandom(mSeed);
        List<Double> millis = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            List<NodeRecord> left = new ArrayList<>(records);
            java.util.Collections.shuffle(left, java.util.Random.from(random));
            left = left.subList(0, Math.max(1, records.size() / BURST_DIVISOR));
            List<byte[]> tombstones = encodeTombstones(left, round + 1);
            long start = System.nanoTime();
            for (byte[] message : tombstones) {
                view.apply(view.mProtocol.receive(GossipMessageCodec.decode(message)));
            }
            millis.add((System.nanoTime() - start) / NANOS_PER_MILLI);
            view.rejoin(left, round + 2);
        }
        return median(millis);
    }

    private static List<byte[]> encodeTombstones(List<NodeRecord> left, long incarnation) {
        List<byte[]> messages = new ArrayList<>();
        GossipMessage.Sender sender = new GossipMessage.Sender("peer", "10.255.0.2:7000");
        for (int start = 0; start < left.size(); start += TOMBSTONES_PER_MESSAGE) {
            int end = Math.min(left.size(), start + TOMBSTONES_PER_MESSAGE);
            List<MembershipUpdate> updates = new ArrayList<>();
            for (NodeRecord record : left.subList(start, end)) {
                updates.add(
                        new MembershipUpdate.Departed(
                                new Tombstone(
                                        record.node(),
                                        incarnation,
                                        0,
                                        record.peerAddress(),
                                        record.region(),
                                        record.availabilityZone())));
            }
            messages.add(
                    GossipMessageCodec.encode(new GossipMessage.Delta(sender, false, updates)));
        }
        return messages;
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }

    private static long usedHeap() {
        for (int round = 0; round < COLLECTIONS; round++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /**
     * Figures for one fleet size.
     *
     * @param endpoints endpoints of the fleet
     * @param nodes nodes of the fleet
     * @param heapBytes heap that protocol and snapshot retain
     * @param changeMillis median time to apply one changed record to the snapshot
     * @param burstMillis median time to apply the departure of 5% of all nodes
     */
    record Result(
            int endpoints, int nodes, long heapBytes, double changeMillis, double burstMillis) {}

    /** A node's gossip protocol and the fleet snapshot built from its actions. */
    private static final class View {
        private final GossipProtocol mProtocol;
        private FleetSnapshot mSnapshot = FleetSnapshot.EMPTY;

        private View(long seed) {
            mProtocol =
                    new GossipProtocol(
                            SyntheticFleet.record(SyntheticFleet.DESIGN_NODES, 1, List.of()),
                            List.of(),
                            GossipSettings.DEFAULT,
                            new ManualClock(),
                            new SplittableRandom(seed));
            apply(mProtocol.tick());
        }

        private void apply(List<GossipAction> actions) {
            Map<String, NodeRecord> changed = new HashMap<>();
            List<String> gone = new ArrayList<>();
            for (GossipAction action : actions) {
                switch (action) {
                    case GossipAction.Joined(NodeRecord record) ->
                            changed.put(record.node(), record);
                    case GossipAction.Changed(NodeRecord record) ->
                            changed.put(record.node(), record);
                    case GossipAction.Left(NodeRecord record) -> gone.add(record.node());
                    default -> {}
                }
            }
            mSnapshot = mSnapshot.with(changed.values(), gone);
        }

        private void rejoin(List<NodeRecord> left, long incarnation) throws MessageFormatException {
            List<NodeRecord> back =
                    left.stream()
                            .map(
                                    record ->
                                            new NodeRecord(
                                                    record.node(),
                                                    incarnation,
                                                    0,
                                                    record.peerAddress(),
                                                    record.region(),
                                                    record.availabilityZone(),
                                                    0,
                                                    false,
                                                    record.endpoints()))
                            .toList();
            for (byte[] message : SyntheticFleet.repairs(back)) {
                apply(mProtocol.receive(GossipMessageCodec.decode(message)));
            }
        }
    }
}
