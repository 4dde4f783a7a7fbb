package org.arbutuslock.daemon.internal.metrics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.callers.RequestObserver.RequestResult;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against metrics that grow with the number of tenants, and against requests that are lost
 * or counted twice when a tenant loses its row.
 */
public class RequestMetricsTest {
    private static final int TENANTS = 5_000;
    private static final RouteDefinition ROUTE =
            new RouteDefinition(
                    "orders", "", "", "/", true, Map.of(), "hub", WorkClass.SHORT, true, 100, 5);

    private ManualClock mClock;
    private RequestWindows mWindows;
    private PrometheusMeterRegistry mRegistry;
    private RequestMetrics mMetrics;

    @BeforeMethod
    public void createMetrics() {
        mClock = new ManualClock();
        mWindows = new RequestWindows(mClock);
        mRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        mMetrics = new RequestMetrics(mRegistry, mWindows);
    }

    @Test
    public void should_list_busy_tenants_only_and_add_evicted_ones_to_the_others() {
        int sent = sendFromMany("early");
        mMetrics.updateListedTenants();
        sent += sendFromMany("early");
        assertEquals(requestsOf("early-busy"), 200);
        assertEquals(rows(), TenantMetrics.MAXIMUM_TENANTS + 1);
        assertEquals(sum(), sent);
        for (int round = 0; round < 8; round++) {
            sent += sendFromMany("late");
            mMetrics.updateListedTenants();
            assertEquals(sum(), sent, "requests were lost or counted twice");
        }
        assertFalse(mRegistry.scrape().contains("early-busy"));
        assertTrue(mRegistry.scrape().contains("late-busy"));
        assertEquals(rows(), TenantMetrics.MAXIMUM_TENANTS + 1);
    }

    @Test
    public void should_summarize_the_last_ten_seconds() {
        send("team", 5, RequestResult.ANSWERED, 90);
        send("team", 800, RequestResult.UNKNOWN, 10);
        assertEquals(mWindows.read("", 5).rows().size(), 0);
        advance(1);
        RequestWindows.Row row = mWindows.read("hub", 5).rows().getFirst();
        assertEquals(row.requests(), 100);
        assertEquals(row.failures(), 10);
        assertEquals(row.p50Micros(), 5_000, 50);
        assertEquals(row.p95Micros(), 800_000, 8_000);
        assertTrue(mWindows.read("other", 5).rows().isEmpty());
        advance(4);
        assertEquals(mWindows.read("", 5).rows().size(), 1);
        assertEquals(mWindows.read("", 5).period(), Duration.ofSeconds(10));
        advance(1);
        assertTrue(
                mWindows.read("", 5).rows().isEmpty(),
                "requests older than 10 s are still reported");
    }

    private void advance(int intervals) {
        for (int interval = 0; interval < intervals; interval++) {
            mClock.advance(RequestWindows.INTERVAL);
            mWindows.rotate();
        }
    }

    /**
     * Sends 200 requests of one busy tenant, one of each other tenant and one with an invalid name,
     * which counts for the common row. Returns the number of requests.
     */
    private int sendFromMany(String prefix) {
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            send(prefix + "-" + tenant, 1, RequestResult.ANSWERED, 1);
        }
        send(prefix + "-busy", 1, RequestResult.ANSWERED, 200);
        send("not a name\n", 1, RequestResult.ANSWERED, 1);
        return TENANTS + 201;
    }

    private void send(String tenant, int millis, RequestResult result, int count) {
        for (int request = 0; request < count; request++) {
            mMetrics.finished(ROUTE, tenant, Duration.ofMillis(millis), result);
        }
    }

    private double requestsOf(String tenant) {
        return mRegistry
                .get("arbutuslock.tenant.requests")
                .tag("tenant", tenant)
                .functionCounter()
                .count();
    }

    private int rows() {
        return mRegistry.get("arbutuslock.tenant.requests").functionCounters().size();
    }

    private long sum() {
        return (long)
                mRegistry.get("arbutuslock.tenant.requests").functionCounters().stream()
                        .mapToDouble(FunctionCounter::count)
                        .sum();
    }
}
