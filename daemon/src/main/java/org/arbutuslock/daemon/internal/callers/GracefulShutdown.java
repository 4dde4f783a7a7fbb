package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.arbutuslock.api.Clock;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.daemon.internal.sessions.PeerServer;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Shuts down a node without interrupting requests. Announces the shutdown, closes the listener and
 * waits until neither callers nor other nodes have requests in progress at this node. Answers the
 * requests that are unfinished at the time limit.
 *
 * @param clock clock of the time limit
 * @param server server for the connections of callers
 * @param home home node service for the backend servers of this host
 * @param peers server for the sessions of other nodes
 * @param limit maximum wait for requests in progress after the notice period
 */
record GracefulShutdown(
        Clock clock, CallerServer server, HomeService home, PeerServer peers, Duration limit) {
    /**
     * Time for callers and other nodes to learn that this node is leaving. Must be less than 3 s,
     * because a leaving server must get no new work after that time.
     */
    static final Duration NOTICE_PERIOD = Duration.ofMillis(2_500);

    /** Time to send the remaining responses at the time limit and to stop the plug-ins. */
    static final Duration STOP_MARGIN = Duration.ofMillis(400);

    private static final EventLogger LOGGER = EventLogger.forComponent("callers");
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    // Covers requests and responses that are being handed over between event loops.
    private static final Duration QUIET_PERIOD = Duration.ofMillis(100);
    // Half of the stop margin; the other half is for stopping the plug-ins.
    private static final Duration FINAL_RESPONSE_TIMEOUT = Duration.ofMillis(200);

    /**
     * Shuts down. Blocks the calling thread until no request is in progress, or until shortly after
     * the time limit.
     */
    void run() {
        server.startDraining();
        LockSupport.parkNanos(NOTICE_PERIOD.toNanos());
        server.refuseRequests();
        home.drain();
        server.closeListener();
        long limitNanos = clock.nanoTime() + limit.toNanos();
        boolean finished = awaitNoRequests(limitNanos);
        // A request can arrive on an open connection until the connection is closed.
        server.closeIdleConnections();
        if (!finished || !awaitNoRequests(limitNanos)) {
            answerUnfinished();
        }
    }

    /**
     * Answers the unfinished requests. A caller whose connection is closed without a response does
     * not learn the outcome.
     */
    private void answerUnfinished() {
        LOGGER.log(Event.DRAIN_LIMIT_REACHED, limit.toMillis() / 1_000.0, unfinishedRequests());
        home.abortRequests();
        server.abortRequests();
        awaitNoRequests(clock.nanoTime() + FINAL_RESPONSE_TIMEOUT.toNanos());
    }

    /**
     * Waits until no request has been in progress for the quiet period. Returns false when the time
     * limit passes first.
     */
    private boolean awaitNoRequests(long limitNanos) {
        long now = clock.nanoTime();
        long lastBusyNanos = now;
        while (now - lastBusyNanos < QUIET_PERIOD.toNanos()) {
            if (now - limitNanos > 0) {
                return false;
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
            now = clock.nanoTime();
            if (unfinishedRequests() > 0) {
                lastBusyNanos = now;
            }
        }
        return true;
    }

    private int unfinishedRequests() {
        return server.activeRequests() + home.activeRequests() + peers.sessionsWithPendingWrites();
    }
}
