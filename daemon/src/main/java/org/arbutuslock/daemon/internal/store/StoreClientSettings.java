package org.arbutuslock.daemon.internal.store;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the gRPC store client.
 *
 * <pre>{@code
 * StoreClientSettings settings = StoreClientSettings.withDefaults(address);
 * }</pre>
 *
 * @param address resolved IP address and port of the store
 * @param callDeadline longest wait for the response to one call
 * @param callsPerSecond limit on calls per second; also the largest burst
 * @param initialBackoff wait after the first failed connection, jitter included
 * @param maximumBackoff longest wait between connections, jitter included
 * @param watchSilence time without a message after which a watch is cancelled
 */
public record StoreClientSettings(
        InetSocketAddress address,
        Duration callDeadline,
        int callsPerSecond,
        Duration initialBackoff,
        Duration maximumBackoff,
        Duration watchSilence) {
    /**
     * Returns settings with the defaults of a node.
     *
     * @param address resolved IP address and port of the store
     * @return 2 s call deadline, 20 calls per second, back-off from 100 ms to 30 s, watches
     *     cancelled after 5 s without a message
     */
    public static StoreClientSettings withDefaults(InetSocketAddress address) {
        return new StoreClientSettings(
                address,
                Duration.ofSeconds(2),
                20,
                Duration.ofMillis(100),
                Duration.ofSeconds(30),
                Duration.ofSeconds(5));
    }
}
