package org.arbutuslock.testbed.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.arbutuslock.internal.settings.NodeSettings;

/** Creates settings for nodes that run on the loopback address. */
public final class FleetSettings {
    private static final int MAXIMUM_HEADER_BYTES = 16_384;
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int STORE_CALLS_PER_SECOND = 200;
    private static final int STORE_TIMEOUT_MILLIS = 1_000;
    private static final long KEPT_RESPONSE_BYTES = 64L << 20;
    private static final int QUEUE_LENGTH = 256;
    private static final int DRAIN_SECONDS = 30;
    private static final int MAXIMUM_CONNECTIONS = 10_000;

    private static final double ANNOUNCEMENT_LEASE_SECONDS = 3;
    // Equal to the defaults of the settings file.
    private static final NodeSettings.Bounds BOUNDS =
            new NodeSettings.Bounds(0.75, 3, 0.2, 10, 10, 3_600);

    private FleetSettings() {}

    /**
     * Creates settings with a free loopback port for each listener.
     *
     * @param name name of the node
     * @param region region of the node
     * @param availabilityZone availability zone of the node
     * @param store address of the store
     * @param seeds peer addresses of nodes to contact at the start; empty for the first node
     * @return settings without TLS
     */
    public static NodeSettings create(
            String name,
            String region,
            String availabilityZone,
            InetSocketAddress store,
            List<InetSocketAddress> seeds) {
        InetSocketAddress peers = FreePorts.next();
        InetSocketAddress metrics = FreePorts.next();
        return new NodeSettings(
                name,
                region,
                availabilityZone,
                new NodeSettings.Callers(
                        FreePorts.next(), MAXIMUM_HEADER_BYTES, IDLE_TIMEOUT_MILLIS, 0, 0),
                new NodeSettings.Peers(peers, peers, seeds),
                new NodeSettings.Announcements(FreePorts.next(), ANNOUNCEMENT_LEASE_SECONDS),
                new NodeSettings.Operators(FreePorts.next()),
                new NodeSettings.Metrics(metrics, metrics),
                new NodeSettings.Store(store, STORE_CALLS_PER_SECOND, STORE_TIMEOUT_MILLIS),
                new NodeSettings.Limits(
                        KEPT_RESPONSE_BYTES, QUEUE_LENGTH, DRAIN_SECONDS, MAXIMUM_CONNECTIONS),
                NodeSettings.Integration.NONE,
                "",
                BOUNDS,
                Optional.empty());
    }

    /**
     * Copies settings with another advertised peer address. The node still listens on its own peer
     * address.
     *
     * @param settings settings of the node
     * @param advertised address at which other nodes reach the node
     * @return changed copy
     */
    public static NodeSettings withAdvertisedAddress(
            NodeSettings settings, InetSocketAddress advertised) {
        return new NodeSettings(
                settings.nodeName(),
                settings.region(),
                settings.availabilityZone(),
                settings.callers(),
                new NodeSettings.Peers(
                        settings.peers().address(), advertised, settings.peers().seeds()),
                settings.announcements(),
                settings.operators(),
                settings.metrics(),
                settings.store(),
                settings.limits(),
                settings.integration(),
                settings.service(),
                settings.bounds(),
                settings.tls());
    }
}
