package org.arbutuslock.daemon.internal.store;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the store client.
 *
 * <pre>{@code
 * StoreClientSettings settings = StoreClientSettings.withDefaults(address);
 * }</pre>
 *
 * @param address resolved IP address and port of the store
 * @param callDeadline longest wait for the response of one call
 * @param callsPerSecond budget of calls; unused calls of the last second may be used at once
 * @param initialBackoff wait after the first failed connection
 * @param maximumBackoff longest wait between connections
 * @param watchSilence a watch without a message for this long has ended
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
     * @return 2 s for each call, 20 calls per second, back-off from 100 ms to 30 s, 5 s of silence
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
