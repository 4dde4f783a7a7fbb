package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.arbutuslock.api.Clock;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.daemon.internal.sessions.PeerServer;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Ends the work of a node without cutting off a request: gives notice, closes the listener, waits
 * until neither callers nor other nodes have requests in progress here, and answers what is left at
 * the limit.
 *
 * @param clock time of the limit
 * @param server connections of callers
 * @param home work of the backend servers of this host
 * @param peers sessions of other nodes
 * @param limit longest wait for requests after the notice
 */
record GracefulShutdown(
        Clock clock, CallerServer server, HomeService home, PeerServer peers, Duration limit) {
    /**
     * Time for callers and other nodes to learn that this node is leaving. Below the 3 s within
     * which a leaving server must get no new work.
     */
    static final Duration NOTICE = Duration.ofMillis(2_500);

    /** Time for the responses that are sent at the limit, and for the plug-ins to stop. */
    static final Duration STOP_MARGIN = Duration.ofMillis(400);

    private static final EventLogger LOGGER = EventLogger.forComponent("callers");
    private static final Duration POLL = Duration.ofMillis(20);
    // Covers requests and responses that are on their way from one event loop to another.
    private static final Duration QUIET = Duration.ofMillis(100);
    // Half of the stop margin; the rest is for the plug-ins.
    private static final Duration LAST_RESPONSES = Duration.ofMillis(200);

    /** Returns when no request is in progress, or shortly after the limit. */
    void run() {
        server.startDraining();
        LockSupport.parkNanos(NOTICE.toNanos());
        server.refuseRequests();
        home.drain();
        server.closeListener();
        long limitNanos = clock.nanoTime() + limit.toNanos();
        boolean finished = awaitQuiet(limitNanos);
        // A request can arrive on an open connection until the moment at which it closes.
        server.closeIdleConnections();
        if (!finished || !awaitQuiet(limitNanos)) {
            answerUnfinished();
        }
    }

    /** Answers at the limit, since a connection that just closes tells its caller nothing. */
    private void answerUnfinished() {
        LOGGER.log(Event.DRAIN_LIMIT_REACHED, limit.toMillis() / 1_000.0, unfinished());
        home.abortRequests();
        server.abortRequests();
        awaitQuiet(clock.nanoTime() + LAST_RESPONSES.toNanos());
    }

    /** Waits until nothing has been in progress for a moment; false when the limit has passed. */
    private boolean awaitQuiet(long limitNanos) {
        long now = clock.nanoTime();
        long lastBusyNanos = now;
        while (now - lastBusyNanos < QUIET.toNanos()) {
            if (now - limitNanos > 0) {
                return false;
            }
            LockSupport.parkNanos(POLL.toNanos());
            now = clock.nanoTime();
            if (unfinished() > 0) {
                lastBusyNanos = now;
            }
        }
        return true;
    }

    private int unfinished() {
        return server.activeRequests() + home.activeRequests() + peers.sessionsWithPendingWrites();
    }
}
