package org.arbutuslock.daemon.internal.metrics;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import org.arbutuslock.daemon.internal.home.EndpointRuntime;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.FleetSnapshot;

/** Gauges of the fleet as this node knows it, computed when they are read. */
final class FleetMetrics {
    private FleetMetrics() {}

    /**
     * Registers the gauges.
     *
     * @param fleet supplies the current knowledge of this node about the fleet
     * @param home endpoints of this host
     */
    static void register(MeterRegistry registry, Supplier<FleetSnapshot> fleet, HomeService home) {
        Gauge.builder("arbutuslock.fleet.nodes", fleet, known -> known.get().nodes().size())
                .description("nodes that this node knows, itself included")
                .strongReference(true)
                .register(registry);
        for (EndpointState state : EndpointState.values()) {
            Gauge.builder("arbutuslock.fleet.endpoints", fleet, known -> count(known.get(), state))
                    .description("endpoints that this node knows, by state")
                    .tag("state", state.name().toLowerCase(Locale.ROOT))
                    .strongReference(true)
                    .register(registry);
        }
        Gauge.builder("arbutuslock.endpoints.suspect", home, FleetMetrics::countSuspects)
                .description("endpoints of this host with overdue or failed work")
                .strongReference(true)
                .register(registry);
    }

    private static double count(FleetSnapshot fleet, EndpointState state) {
        return fleet.nodes().stream()
                .flatMap(node -> node.endpoints().stream())
                .filter(endpoint -> endpoint.state() == state)
                .count();
    }

    private static double countSuspects(HomeService home) {
        return home.endpoints().values().stream().filter(EndpointRuntime::isSuspect).count();
    }
}
