package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.selection.LoadReport;

/** Ignores the results of attempts, for tests that only need the choice of endpoints. */
abstract class StatelessEndpointChooser implements EndpointChooser {
    @Override
    public void started(FleetSnapshot.Member member, RouteDefinition route) {}

    @Override
    public void finished(
            FleetSnapshot.Member member,
            RouteDefinition route,
            Duration latency,
            AttemptResult result,
            LoadReport load,
            long bytes) {}
}
