package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.membership.FleetSnapshot;

/**
 * What the requests of callers need.
 *
 * @param localNode identity of this node
 * @param clock time
 * @param startNanos reading of the clock at the start of this node
 * @param configuration configuration in force
 * @param chooser chooses endpoints
 * @param fleet nodes that this node knows
 * @param homeNodes reaches home nodes
 * @param retries retry budgets of the services
 * @param observer gets the result of each request
 * @param dialect names of header fields
 */
public record EntryServices(
        LocalNode localNode,
        Clock clock,
        long startNanos,
        ConfigurationHolder configuration,
        EndpointChooser chooser,
        Supplier<FleetSnapshot> fleet,
        HomeNodes homeNodes,
        RetryPolicy retries,
        RequestObserver observer,
        RequestDialect dialect) {
    // A starting node gets the records of the fleet within a few round trips.
    private static final long STARTING_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * Returns the revision of the configuration in force, for logs.
     *
     * @return revision, 0 before the first configuration
     */
    long revision() {
        return configuration.current().revision();
    }

    /**
     * Tells whether this node may still lack records that it will get at once.
     *
     * @return true shortly after the start
     */
    boolean isStarting() {
        return clock.nanoTime() - startNanos < STARTING_NANOS;
    }
}
