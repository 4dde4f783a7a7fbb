package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.membership.FleetSnapshot;

/**
 * Components that the entry node uses to handle the requests of callers.
 *
 * @param localNode identity of this node
 * @param clock clock of deadlines and latencies
 * @param startNanos {@link Clock#nanoTime} at the start of this node
 * @param configuration configuration in force
 * @param chooser chooses the endpoint of each attempt
 * @param fleet supplies the nodes that this node knows
 * @param homeNodeClient submits requests to home nodes
 * @param retries limits retries per service
 * @param observer is notified of the result of each request
 * @param dialect reads and writes the header fields of requests
 */
public record EntryServices(
        LocalNode localNode,
        Clock clock,
        long startNanos,
        ConfigurationHolder configuration,
        EndpointChooser chooser,
        Supplier<FleetSnapshot> fleet,
        HomeNodeClient homeNodeClient,
        RetryPolicy retries,
        RequestObserver observer,
        RequestDialect dialect) {
    // A starting node receives the records of the fleet within a few round trips.
    private static final long STARTING_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * Returns the revision of the configuration in force.
     *
     * @return the revision, or 0 before the first configuration
     */
    long revision() {
        return configuration.current().revision();
    }

    /**
     * Returns whether this node may still be receiving the records of the fleet.
     *
     * @return true during the first 2 s after the start
     */
    boolean isStarting() {
        return clock.nanoTime() - startNanos < STARTING_NANOS;
    }
}
