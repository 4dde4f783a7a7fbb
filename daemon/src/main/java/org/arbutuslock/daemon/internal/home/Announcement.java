package org.arbutuslock.daemon.internal.home;

import java.net.InetSocketAddress;
import org.arbutuslock.api.EndpointId;

/**
 * What a backend server says about itself.
 *
 * @param id endpoint of the backend server
 * @param address its address
 * @param slots requests that it works on at once
 * @param draining true when it is about to leave
 * @param startMillis time of its start in milliseconds since the epoch, or 0 when it does not say
 * @param sequence number that grows with each announcement since the start, or 0
 */
public record Announcement(
        EndpointId id,
        InetSocketAddress address,
        int slots,
        boolean draining,
        long startMillis,
        long sequence) {
    /**
     * Tells whether this announcement was sent before another of the same host.
     *
     * @param other announcement that arrived earlier
     * @return true when this one arrived out of order
     */
    public boolean isOlderThan(Announcement other) {
        if (startMillis != other.startMillis) {
            return startMillis < other.startMillis;
        }
        return id.equals(other.id) && sequence != 0 && sequence <= other.sequence;
    }
}
