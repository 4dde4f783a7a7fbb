package org.arbutuslock.daemon.internal.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.daemon.internal.home.EndpointRuntime;
import org.arbutuslock.daemon.internal.home.LocalEndpoints;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.membership.EndpointRecord;

/** Metrics of admission and ejection for each endpoint of this host. */
final class EndpointMetrics {
    private final MeterRegistry mRegistry;
    private final LocalEndpoints mEndpoints;
    private final Map<EndpointId, Registration> mRegistrations = new HashMap<>();

    private record Registration(EndpointRuntime runtime, List<Meter> meters) {}

    EndpointMetrics(MeterRegistry registry, LocalEndpoints endpoints) {
        mRegistry = registry;
        mEndpoints = endpoints;
    }

    /**
     * Registers meters of new endpoints and removes those of departed endpoints. Not thread-safe.
     */
    void refresh() {
        Map<EndpointId, EndpointRuntime> present = new HashMap<>();
        mEndpoints
                .records()
                .forEach(
                        endpoint ->
                                mEndpoints
                                        .find(endpoint.id())
                                        .ifPresent(runtime -> present.put(endpoint.id(), runtime)));
        mRegistrations
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean gone =
                                    present.get(entry.getKey()) != entry.getValue().runtime();
                            if (gone) {
                                entry.getValue().meters().forEach(mRegistry::remove);
                            }
                            return gone;
                        });
        present.forEach(
                (id, runtime) ->
                        mRegistrations.computeIfAbsent(
                                id, key -> new Registration(runtime, register(id, runtime))));
    }

    private List<Meter> register(EndpointId id, EndpointRuntime runtime) {
        Tags tags = Tags.of("service", id.service(), "backend_server", id.backendServer());
        List<Meter> meters = new ArrayList<>();
        meters.add(
                gauge(
                        "arbutuslock.endpoint.limit",
                        "requests that admission lets the backend server work on at once",
                        tags,
                        () -> runtime.load().limit()));
        meters.add(
                gauge(
                        "arbutuslock.endpoint.queue.length",
                        "requests that wait for the backend server",
                        tags,
                        () -> runtime.load().queueLength()));
        meters.add(
                gauge(
                        "arbutuslock.endpoint.weight",
                        "share of work relative to a healthy endpoint in percent",
                        tags,
                        () -> record(id).map(EndpointRecord::weightPercent).orElse(0)));
        for (EndpointState state : EndpointState.values()) {
            meters.add(
                    gauge(
                            "arbutuslock.endpoint.state",
                            "1 for the state of the endpoint, 0 for all others",
                            tags.and("state", lowerCaseName(state)),
                            () -> record(id).filter(r -> r.state() == state).isPresent() ? 1 : 0));
        }
        for (RefusalReason reason : RefusalReason.values()) {
            meters.add(refusals(runtime, reason, tags));
        }
        return meters;
    }

    private Meter refusals(EndpointRuntime runtime, RefusalReason reason, Tags tags) {
        ToDoubleFunction<EndpointRuntime> count = endpoint -> endpoint.refusals(reason);
        return FunctionCounter.builder("arbutuslock.endpoint.refusals", runtime, count)
                .tags(tags.and("reason", lowerCaseName(reason)))
                .description("requests that were refused and not run")
                .register(mRegistry);
    }

    private Meter gauge(
            String name, String description, Tags tags, java.util.function.Supplier<Number> value) {
        return Gauge.builder(name, value)
                .tags(tags)
                .description(description)
                .strongReference(true)
                .register(mRegistry);
    }

    private Optional<EndpointRecord> record(EndpointId id) {
        return mEndpoints.records().stream().filter(r -> r.id().equals(id)).findFirst();
    }

    private static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
