package org.arbutuslock.testbed.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.testbed.backend.BackendFaults;
import org.arbutuslock.testbed.backend.BackendServer;
import org.arbutuslock.testbed.backend.BackendSettings;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a load generator that counts a wrong or truncated response as a success, or that
 * leaves the time a request waited for a connection out of its latency.
 */
public class LoadGeneratorTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 7);
    private static final RequestKind ORDER =
            new RequestKind(
                    "order",
                    "POST",
                    "/order",
                    new byte[100],
                    Map.of(RequestKind.TENANT_HEADER, "team-1"),
                    1);

    private EventLoopGroup mGroup;
    private BackendServer mServer;

    @BeforeMethod
    public void start() {
        System.out.println("LoadGeneratorTest arbutuslock.seed=" + SEED);
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        BackendSettings settings =
                new BackendSettings(
                        "desk-1",
                        "inventory-desk",
                        0,
                        4,
                        1000,
                        WorkTimes.of(1, 10_000, 1_000_000),
                        Optional.empty(),
                        SEED);
        mServer = BackendServer.start(settings, Clock.system(), mGroup);
    }

    @AfterMethod
    public void stop() {
        mServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void should_verify_every_response_of_all_kinds_and_steps() throws Exception {
        LoadPlan plan =
                plan(
                        List.of(step(300, 400), step(600, 400)),
                        List.of(ORDER, RequestKind.get("bundle", "/long/1", 0.25)),
                        2000);
        LoadReport report = LoadGenerator.run(plan, sample -> {});
        System.out.print(report.toTable());
        assertEquals(report.total().count(LoadResult.SUCCESS), report.total().total());
        assertEquals(report.total().total(), mServer.executions().total());
        assertTrue(report.kind(1, "order").total() > report.kind(0, "order").total());
        assertTrue(report.kind("bundle").total() > 0);
        assertTrue(report.toJson().contains("\"kind\":\"bundle\""));
    }

    @Test
    public void should_count_each_fault_as_its_own_result() throws Exception {
        mServer.setFaults(new BackendFaults(1, 0.2, 0.2, 0, 0.2, 0));
        LoadPlan plan =
                plan(
                        List.of(step(400, 500)),
                        List.of(ORDER, RequestKind.get("bundle", "/long/1", 0.1)),
                        2000);
        KindReport total = LoadGenerator.run(plan, sample -> {}).total();
        for (LoadResult result :
                List.of(
                        LoadResult.SUCCESS,
                        LoadResult.OTHER_STATUS,
                        LoadResult.WRONG_RESPONSE,
                        LoadResult.TRUNCATED)) {
            assertTrue(total.count(result) > 10, result + " " + total.count(result));
        }
        assertEquals(total.count(LoadResult.CONNECTION_FAILED), 0);
        assertEquals((long) total.statuses().get(500), total.count(LoadResult.OTHER_STATUS));
    }

    @Test
    public void should_count_waiting_as_latency_and_hanging_as_timeout() throws Exception {
        mServer.setFaults(BackendFaults.none().withSlowFactor(40));
        LoadPlan plan = plan(List.of(step(200, 500)), List.of(ORDER), 5000);
        KindReport slow = LoadGenerator.run(plan, sample -> {}).total();
        // 4 slots of 40 ms serve 100 requests per second. At 200 per second for 500 ms, the last of
        // 100 requests waits about 500 ms.
        assertTrue(slow.successMicros().getMaxValue() > 300_000);
        mServer.setFaults(BackendFaults.none().withHangShare(1));
        plan = plan(List.of(step(100, 100)), List.of(ORDER), 200);
        KindReport hanging = LoadGenerator.run(plan, sample -> {}).total();
        assertEquals(hanging.count(LoadResult.TIMED_OUT), hanging.total());
        mServer.close();
        KindReport refused = LoadGenerator.run(plan, sample -> {}).total();
        assertEquals(refused.count(LoadResult.CONNECTION_FAILED), refused.total());
    }

    @Test
    public void should_generate_the_same_arrivals_for_the_same_seed() {
        LoadPlan plan = plan(List.of(step(1000, 1000), step(10, 1000)), List.of(ORDER), 1000);
        List<Arrival> first = new ArrayList<>();
        new ArrivalSchedule(plan).forEachRemaining(first::add);
        List<Arrival> second = new ArrayList<>();
        new ArrivalSchedule(plan).forEachRemaining(second::add);
        assertEquals(first, second);
        long inFirstStep = first.stream().filter(arrival -> arrival.step() == 0).count();
        assertTrue(inFirstStep > 850 && inFirstStep < 1150, inFirstStep + " arrivals");
        assertTrue(first.getLast().intendedNanos() < 2_000_000_000L);
    }

    @Test
    public void should_reject_plans_with_other_than_loopback_targets_or_beyond_the_limits() {
        IllegalArgumentException error =
                expectThrows(
                        IllegalArgumentException.class,
                        () ->
                                new LoadPlan(
                                        List.of(LoadOptions.parseTarget("192.0.2.1:80")),
                                        List.of(step(1, 1000)),
                                        List.of(ORDER),
                                        ArrivalPattern.UNIFORM,
                                        1,
                                        1,
                                        Duration.ofSeconds(1),
                                        SEED));
        assertTrue(error.getMessage().contains("not a loopback address"), error.getMessage());
        expectThrows(
                IllegalArgumentException.class,
                () -> plan(List.of(step(1e6, 6000)), List.of(ORDER), 1000));
        expectThrows(
                IllegalArgumentException.class,
                () -> plan(List.of(step(1, 3_600_001)), List.of(ORDER), 1000));
    }

    private LoadPlan plan(List<LoadStep> steps, List<RequestKind> kinds, long timeoutMillis) {
        return new LoadPlan(
                List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), mServer.port())),
                steps,
                kinds,
                ArrivalPattern.POISSON,
                16,
                2,
                Duration.ofMillis(timeoutMillis),
                SEED);
    }

    private static LoadStep step(double requestsPerSecond, long millis) {
        return new LoadStep(requestsPerSecond, Duration.ofMillis(millis));
    }
}
