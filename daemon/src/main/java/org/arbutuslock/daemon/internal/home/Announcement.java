package org.arbutuslock.daemon.internal.home;

import java.net.InetSocketAddress;
import org.arbutuslock.api.EndpointId;

/**
 * Announcement of a backend server to the home node on its host.
 *
 * @param id endpoint of the backend server
 * @param address IP address and port of the backend server
 * @param slots requests that the backend server executes at the same time
 * @param draining true when the backend server is about to stop
 * @param startMillis time at which the backend server started, in milliseconds since the epoch, or
 *     0 when it is not given
 * @param sequence number that increases with each announcement since the start, or 0 when it is not
 *     given
 */
public record Announcement(
        EndpointId id,
        InetSocketAddress address,
        int slots,
        boolean draining,
        long startMillis,
        long sequence) {
    /**
     * Tells whether this announcement was sent before another one of the same address. Start times
     * are compared first; sequence numbers are compared only within one run of a backend server.
     *
     * @param other announcement that arrived earlier
     * @return true when this announcement arrived out of order
     */
    public boolean isOlderThan(Announcement other) {
        if (startMillis != other.startMillis) {
            return startMillis < other.startMillis;
        }
        return id.equals(other.id) && sequence != 0 && sequence <= other.sequence;
    }
}
