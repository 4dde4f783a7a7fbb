package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.Optional;
import org.arbutuslock.api.CallerBounds;
import org.arbutuslock.internal.messages.PeerMessageCodec;

/**
 * Limits for the connections of callers.
 *
 * @param maximumHeaderBytes maximum total size of the header fields of a request, in bytes
 * @param maximumBodyBytes maximum size of a request body, in bytes
 * @param headTimeout maximum time from the first byte of a request to the end of its head
 * @param idleTimeout time after which an idle connection is closed
 * @param connections maximum number of open connections of callers
 */
public record CallerLimits(
        int maximumHeaderBytes,
        int maximumBodyBytes,
        Duration headTimeout,
        Duration idleTimeout,
        int connections) {
    // A caller that obeys the configured idle timeout may send a request just before it expires.
    private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofSeconds(2);

    /**
     * Creates limits with the maximum body size of a peer message and a head timeout that equals
     * the idle timeout.
     *
     * @param maximumHeaderBytes maximum total size of the header fields of a request, in bytes
     * @param idleTimeout time after which an idle connection is closed
     * @param connections maximum number of open connections of callers
     */
    public CallerLimits(int maximumHeaderBytes, Duration idleTimeout, int connections) {
        this(
                maximumHeaderBytes,
                PeerMessageCodec.MAXIMUM_REQUEST_BODY_BYTES,
                idleTimeout,
                idleTimeout,
                connections);
    }

    /**
     * Restricts these limits to those of a configuration. The configured idle timeout is extended
     * by a margin of 2 s.
     *
     * @param bounds limits of the configuration in force, or empty if it has none
     * @return the smaller of the two values for each limit; the number of connections is unchanged
     */
    CallerLimits restrictedTo(Optional<CallerBounds> bounds) {
        if (bounds.isEmpty()) {
            return this;
        }
        CallerBounds configured = bounds.get();
        return new CallerLimits(
                Math.min(maximumHeaderBytes, configured.headerBytes()),
                (int) Math.min(maximumBodyBytes, configured.bodyBytes()),
                shorter(headTimeout, configured.headTimeout()),
                shorter(idleTimeout, configured.idleTimeout().plus(IDLE_TIMEOUT_MARGIN)),
                connections);
    }

    private static Duration shorter(Duration left, Duration right) {
        return left.compareTo(right) <= 0 ? left : right;
    }
}
