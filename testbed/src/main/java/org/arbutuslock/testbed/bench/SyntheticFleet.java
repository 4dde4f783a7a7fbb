package org.arbutuslock.testbed.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.membership.GossipMessage;
import org.arbutuslock.internal.membership.GossipMessageCodec;
import org.arbutuslock.internal.membership.MembershipUpdate;
import org.arbutuslock.internal.membership.NodeRecord;

/** Creates the node records of a fleet with the proportions that the design assumes. */
final class SyntheticFleet {
    /** Number of nodes in a fleet of the design size. */
    static final int DESIGN_NODES = 8_500;

    /** Number of endpoints in a fleet of the design size. */
    static final int DESIGN_ENDPOINTS = 120_000;

    /** Number of endpoints of one node; the last node of a fleet can have fewer. */
    static final int ENDPOINTS_PER_NODE = 14;

    private static final int REGIONS = 10;
    private static final int ZONES_PER_REGION = 2;
    private static final int ENDPOINTS_PER_SERVICE = 21;
    private static final int SLOTS = 5;
    private static final int FULL_PERCENT = 100;
    private static final int RECORDS_PER_MESSAGE = 60;

    private SyntheticFleet() {}

    /** Returns the name of a node, which includes its region and availability zone. */
    static String nodeName(int number) {
        return "region-" + regionOf(number) + "-" + zoneOf(number) + "-node-" + number;
    }

    /** Creates the first record of an incarnation of a node. */
    static NodeRecord record(int number, long incarnation, List<EndpointRecord> endpoints) {
        return new NodeRecord(
                nodeName(number),
                incarnation,
                0,
                "10." + number / 65_536 + "." + number / 256 % 256 + "." + number % 256 + ":7000",
                "region-" + regionOf(number),
                "region-" + regionOf(number) + "-" + zoneOf(number),
                0,
                false,
                endpoints);
    }

    /** Creates the endpoints of a node. The seed decides to which services they belong. */
    static List<EndpointRecord> endpoints(int number, int count, int fleetEndpoints, long seed) {
        SplittableRandom random = new SplittableRandom(seed + number);
        int services = Math.max(1, fleetEndpoints / ENDPOINTS_PER_SERVICE);
        List<EndpointRecord> endpoints = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            EndpointId id =
                    new EndpointId(
                            "service-" + random.nextInt(services),
                            "server-" + number + "-" + index);
            endpoints.add(new EndpointRecord(id, SLOTS, EndpointState.IN_SERVICE, FULL_PERCENT));
        }
        return endpoints;
    }

    /** Creates the records of a fleet with this number of endpoints. */
    static List<NodeRecord> records(int endpoints, long seed) {
        List<NodeRecord> records = new ArrayList<>();
        for (int number = 0, left = endpoints; left > 0; number++) {
            int count = Math.min(ENDPOINTS_PER_NODE, left);
            records.add(record(number, 1, endpoints(number, count, endpoints, seed)));
            left -= count;
        }
        return records;
    }

    /** Encodes records as the repair messages that a joining node receives. */
    static List<byte[]> repairs(List<NodeRecord> records) {
        List<byte[]> messages = new ArrayList<>();
        GossipMessage.Sender sender = new GossipMessage.Sender("joining-peer", "10.255.0.1:7000");
        for (int start = 0; start < records.size(); start += RECORDS_PER_MESSAGE) {
            int end = Math.min(records.size(), start + RECORDS_PER_MESSAGE);
            List<MembershipUpdate> updates = new ArrayList<>();
            records.subList(start, end)
                    .forEach(record -> updates.add(new MembershipUpdate.Present(record)));
            messages.add(GossipMessageCodec.encode(new GossipMessage.Delta(sender, true, updates)));
        }
        return messages;
    }

    private static int regionOf(int number) {
        return number % REGIONS;
    }

    private static String zoneOf(int number) {
        return number / REGIONS % ZONES_PER_REGION == 0 ? "a" : "b";
    }
}
