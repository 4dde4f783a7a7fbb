package org.arbutuslock.daemon.internal.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.callers.RequestObserver;

/** Histograms of callers' requests for each service, class and result. */
public final class RequestMetrics implements RequestObserver {
    private static final Duration SHORTEST = Duration.ofMillis(1);
    private static final Duration LONGEST = Duration.ofSeconds(60);

    private final MeterRegistry mRegistry;
    private final ConcurrentHashMap<Key, Timer> mTimers = new ConcurrentHashMap<>();

    /**
     * Creates metrics without observations.
     *
     * @param registry gets the histograms
     */
    public RequestMetrics(MeterRegistry registry) {
        mRegistry = registry;
    }

    @Override
    public void finished(
            RouteDefinition route, String tenant, Duration latency, RequestResult result) {
        Key key = new Key(route.service(), route.workClass(), result);
        mTimers.computeIfAbsent(key, this::createTimer).record(latency);
    }

    private Timer createTimer(Key key) {
        return Timer.builder("arbutuslock.requests")
                .description("time from a caller's request to the end of its response")
                .tag("service", key.service())
                .tag("class", key.workClass().name().toLowerCase(Locale.ROOT))
                .tag("result", key.result().name().toLowerCase(Locale.ROOT))
                .publishPercentileHistogram()
                .minimumExpectedValue(SHORTEST)
                .maximumExpectedValue(LONGEST)
                .register(mRegistry);
    }

    private record Key(String service, WorkClass workClass, RequestResult result) {}
}
