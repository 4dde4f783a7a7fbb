package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.daemon.internal.sessions.PeerServer;
import org.arbutuslock.daemon.internal.shutdown.ShutdownPlan;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Shuts down a node without interrupting requests. Announces the shutdown, closes the listener and
 * waits until neither callers nor other nodes have requests in progress at this node. Answers the
 * requests that are unfinished at the time limit.
 *
 * @param clock clock of the time limits
 * @param server server for the connections of callers
 * @param home home node service for the backend servers of this host
 * @param peers server for the sessions of other nodes
 * @param plan supplies the time limits at the start of the shutdown
 */
record GracefulShutdown(
        Clock clock,
        CallerServer server,
        HomeService home,
        PeerServer peers,
        Supplier<ShutdownPlan> plan) {
    private static final EventLogger LOGGER = EventLogger.forComponent("callers");
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    // Covers requests and responses that are being handed over between event loops.
    private static final Duration QUIET_PERIOD = Duration.ofMillis(100);
    // Time of a round trip to the home nodes of the region.
    private static final Duration WITHDRAWAL_TIMEOUT = Duration.ofMillis(100);
    private static final Duration FINAL_RESPONSE_TIMEOUT = Duration.ofMillis(200);

    /**
     * Shuts down. Blocks the calling thread until no request is in progress, or until shortly after
     * the time limit.
     */
    void run() {
        long startNanos = clock.nanoTime();
        ShutdownPlan limits = plan.get();
        server.startDraining();
        await(startNanos + limits.notice().toNanos());
        server.refuseRequests();
        home.drain();
        server.closeListener();
        long limitNanos = startNanos + limits.drainLimit().toNanos();
        boolean finished = awaitNoRequests(limitNanos);
        // A request can arrive on an open connection until the connection is closed.
        server.closeIdleConnections();
        if (!finished || !awaitNoRequests(limitNanos)) {
            answerUnfinished(limits.drainLimit());
        }
    }

    private void await(long endNanos) {
        while (clock.nanoTime() - endNanos < 0) {
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    /**
     * Answers the unfinished requests. A caller whose connection is closed without a response does
     * not learn the outcome.
     */
    private void answerUnfinished(Duration limit) {
        LOGGER.log(Event.DRAIN_LIMIT_REACHED, limit.toMillis() / 1_000.0, unfinishedRequests());
        server.withdrawRequests();
        awaitNoRequests(clock.nanoTime() + WITHDRAWAL_TIMEOUT.toNanos());
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
