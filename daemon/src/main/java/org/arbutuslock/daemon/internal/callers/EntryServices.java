package org.arbutuslock.daemon.internal.callers;

import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.membership.FleetSnapshot;

/**
 * What the requests of callers need.
 *
 * @param localNode identity of this node
 * @param clock time
 * @param configuration configuration in force
 * @param chooser chooses endpoints
 * @param fleet nodes that this node knows
 * @param homeNodes reaches home nodes
 * @param retries retry budgets of the services
 * @param observer gets the result of each request
 */
public record EntryServices(
        LocalNode localNode,
        Clock clock,
        ConfigurationHolder configuration,
        EndpointChooser chooser,
        Supplier<FleetSnapshot> fleet,
        HomeNodes homeNodes,
        RetryPolicy retries,
        RequestObserver observer) {}
