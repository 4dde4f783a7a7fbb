package org.arbutuslock.testbed.backend;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Settings of one simulated backend server.
 *
 * <pre>{@code
 * new BackendSettings(
 *         "desk-1", "inventory-desk", 0, 5, 100, WorkTimes.of(5, 1 << 20, 1 << 20), home, seed);
 * }</pre>
 *
 * @param name unique name of the backend server
 * @param service service that the backend server belongs to
 * @param port TCP port on the loopback address, or 0 for a free port
 * @param slots maximum number of requests processed at the same time
 * @param queueLimit maximum number of requests that wait for a slot; further requests get status
 *     503
 * @param times service times
 * @param homeNode announcement address of the home node, or empty for no announcements
 * @param seed seed of the random faults
 */
public record BackendSettings(
        String name,
        String service,
        int port,
        int slots,
        int queueLimit,
        WorkTimes times,
        Optional<InetSocketAddress> homeNode,
        long seed) {
    /** Prefix of the paths whose requests are long work. */
    public static final String LONG_PATH_PREFIX = "/long";

    /**
     * Checks the ranges of the slots and the queue limit.
     *
     * @throws IllegalArgumentException when there is no slot or the queue limit is negative
     */
    public BackendSettings {
        if (slots < 1 || queueLimit < 0) {
            throw new IllegalArgumentException(
                    "slots is "
                            + slots
                            + " and queueLimit is "
                            + queueLimit
                            + "; slots must be at least 1 and queueLimit at least 0");
        }
    }
}
