package org.arbutuslock.daemon.internal.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.callers.RequestObserver;

/** Counts and times the requests of callers by service, work class, result and tenant. */
public final class RequestMetrics implements RequestObserver {
    private static final Duration SHORTEST_LATENCY = Duration.ofMillis(1);
    private static final Duration LONGEST_LATENCY = Duration.ofSeconds(60);

    private final MeterRegistry mRegistry;
    private final RequestWindows mWindows;
    private final TenantMetrics mTenants;
    private final TenantActivity mActivity = new TenantActivity();
    private final Counter mUnknown;
    private final ConcurrentHashMap<Key, Timer> mTimers = new ConcurrentHashMap<>();

    /**
     * Registers the metrics.
     *
     * @param registry registry for histograms and counters
     * @param windows records requests for the summary of the last 10 s
     */
    public RequestMetrics(MeterRegistry registry, RequestWindows windows) {
        mRegistry = registry;
        mWindows = windows;
        mTenants = new TenantMetrics(registry);
        mUnknown =
                Counter.builder("arbutuslock.outcomes.unknown")
                        .description("requests whose caller was told that the outcome is unknown")
                        .register(registry);
    }

    @Override
    public void finished(
            RouteDefinition route, String tenant, Duration latency, RequestResult result) {
        Key key = new Key(route.service(), route.workClass(), result);
        mTimers.computeIfAbsent(key, this::createTimer).record(latency);
        String row = "";
        if (TenantActivity.isValidName(tenant)) {
            mActivity.record(tenant);
            row = mTenants.listed().contains(tenant) ? tenant : "";
        }
        mTenants.record(row, latency);
        mWindows.record(route.service(), route.workClass(), row, latency, isFailure(result));
        if (result == RequestResult.UNKNOWN) {
            mUnknown.increment();
        }
    }

    private static boolean isFailure(RequestResult result) {
        return switch (result) {
            case ANSWERED, CANCELLED -> false;
            case NOT_RUN, UNKNOWN, ABORTED -> true;
        };
    }

    /** Selects the most active tenants, which get metrics of their own. Not thread-safe. */
    void updateListedTenants() {
        mTenants.setListed(
                mActivity.selectMostActive(mTenants.listed(), TenantMetrics.MAXIMUM_TENANTS));
        mActivity.halve();
    }

    private Timer createTimer(Key key) {
        return Timer.builder("arbutuslock.requests")
                .description("time from a caller's request to the end of its response")
                .tag("service", key.service())
                .tag("class", key.workClass().name().toLowerCase(Locale.ROOT))
                .tag("result", key.result().name().toLowerCase(Locale.ROOT))
                .publishPercentileHistogram()
                .minimumExpectedValue(SHORTEST_LATENCY)
                .maximumExpectedValue(LONGEST_LATENCY)
                .register(mRegistry);
    }

    private record Key(String service, WorkClass workClass, RequestResult result) {}
}
