package org.arbutuslock.testbed.backend;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Settings of one backend server.
 *
 * <pre>{@code
 * new BackendSettings(
 *         "desk-1", "inventory-desk", 0, 5, 100, WorkTimes.of(5, 1 << 20, 1 << 20), home, seed);
 * }</pre>
 *
 * @param name unique name in the announcement
 * @param service service that this server belongs to
 * @param port port on loopback, or 0 for a free one
 * @param slots requests worked on at the same time
 * @param queueLimit requests waiting for a slot; more are refused with status 503
 * @param times service times
 * @param homeNode announcement address of the home node, or empty for no announcements
 * @param seed seed of the faults that occur by share
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
    /** Start of the paths whose work is long. */
    public static final String LONG_PATH_PREFIX = "/long";

    /** Checks the values that the command line can set. */
    public BackendSettings {
        if (slots < 1 || queueLimit < 0) {
            throw new IllegalArgumentException(
                    "slots is "
                            + slots
                            + " and queueLimit is "
                            + queueLimit
                            + "; allowed are slots from 1 and queueLimit from 0");
        }
    }
}
