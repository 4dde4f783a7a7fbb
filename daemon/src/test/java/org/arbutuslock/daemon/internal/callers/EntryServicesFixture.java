package org.arbutuslock.daemon.internal.callers;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.dialect.OwnDialect;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.membership.FleetSnapshot;

/** Creates components of an entry node that has one route and knows no endpoint. */
final class EntryServicesFixture {
    private EntryServicesFixture() {}

    static EntryServices create(ManualClock clock) {
        ConfigurationHolder configuration = new ConfigurationHolder();
        configuration.apply(Configuration.of(3, List.of(), List.of(route())));
        LocalNode local = new LocalNode("node", 1, "region", "zone", "127.0.0.1:1");
        return new EntryServices(
                local,
                clock,
                clock.nanoTime(),
                configuration,
                new NoEndpoints(),
                () -> FleetSnapshot.EMPTY,
                null,
                new NoRetries(),
                (route, tenant, latency, result) -> {},
                new OwnDialect());
    }

    private static RouteDefinition route() {
        return new RouteDefinition(
                "route",
                "a.example",
                "",
                "/x",
                true,
                Map.of(),
                "service",
                WorkClass.SHORT,
                true,
                1_000,
                5);
    }

    private static final class NoEndpoints extends StatelessEndpointChooser {
        @Override
        public Optional<FleetSnapshot.Member> choose(
                RouteDefinition route, boolean idempotent, Set<EndpointId> tried) {
            return Optional.empty();
        }
    }

    private static final class NoRetries implements RetryPolicy {
        @Override
        public void recordFirstAttempt(String service) {}

        @Override
        public boolean tryRetry(String service) {
            return false;
        }
    }
}
