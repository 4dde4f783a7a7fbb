package org.arbutuslock.testbed.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.arbutuslock.platform.v1.StoreFaults;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a command-line tool whose output or exit code differs from what the fleet has
 * done, above all when the store fails during a change.
 */
public class OperatorsFleetTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 11);
    private static final String FIRST = "calgary-a-1";
    private static final String SECOND = "regina-b-1";
    private static final int REFUSED = 1;
    private static final int UNAVAILABLE = 4;
    private static final int UNKNOWN = 5;

    private final HttpClient mClient = HttpClient.newHttpClient();
    private InProcessFleet mFleet;

    @BeforeMethod
    public void startFleet() throws Exception {
        System.out.println("OperatorsFleetTest arbutuslock.seed=" + SEED);
        mFleet = InProcessFleet.start(SEED);
        mFleet.addNode(FIRST, "west-prairie", "calgary-a");
        mFleet.addNode(SECOND, "west-prairie", "regina-b");
        WorkTimes times = WorkTimes.of(2, 0, 1);
        mFleet.addBackend(FIRST, "order-hub-1", "order-hub", 5, times);
        mFleet.addBackend(SECOND, "content-shelf-1", "content-shelf", 5, times);
        mFleet.awaitReady();
        expect(0, createService("order-hub"));
        expect(0, createService("content-shelf"));
        expect(
                0,
                run(
                        FIRST,
                        "route",
                        "create",
                        "orders",
                        "--path",
                        "/orders",
                        "--service",
                        "order-hub",
                        "--class",
                        "short",
                        "--deadline-millis",
                        "2000",
                        "--wait"));
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    @Test
    public void should_change_list_and_roll_back_a_route() throws Exception {
        assertEquals(send(SECOND), 200);
        assertEquals(executions("order-hub-1"), 1);
        expect(0, run(FIRST, "route", "change", "orders", "--service", "content-shelf", "--wait"));
        assertEquals(send(SECOND), 200);
        assertEquals(executions("content-shelf-1"), 1);
        expect(0, run(SECOND, "rollback", "3", "--wait"));
        assertEquals(send(SECOND), 200);
        assertEquals(executions("order-hub-1"), 2);
        String history = expect(0, run(SECOND, "history")).text();
        assertTrue(history.contains("rollback to 3: put route orders"), history);
        String status = expect(0, run(SECOND, "status")).text();
        assertTrue(status.contains("configuration revision 5"), status);
        assertTrue(status.contains("is reachable"), status);
        assertTrue(status.contains("order-hub/order-hub-1"), status);
        expect(0, run(FIRST, "wait", "5"));
        String nothing = expect(REFUSED, run(FIRST, "rollback", "5")).text();
        assertTrue(nothing.contains("nothing to restore"), nothing);
    }

    @Test
    public void should_name_the_field_of_an_invalid_entity() {
        String text =
                expect(REFUSED, run(FIRST, "route", "change", "orders", "--service", "absent"))
                        .text();
        assertTrue(text.contains("operations[0].put.route.service is \"absent\""), text);
    }

    @Test
    public void should_refuse_changes_while_the_store_is_down_and_serve_requests()
            throws Exception {
        mFleet.store().setFaults(StoreFaults.newBuilder().setDown(true).build());
        CommandRun change = run(FIRST, "route", "change", "orders", "--priority", "3");
        assertTrue(expect(UNAVAILABLE, change).text().contains("refused: the store"), "" + change);
        assertEquals(send(SECOND), 200);
        expect(0, run(FIRST, "route", "list"));
        String status = expect(0, run(FIRST, "status")).text();
        assertTrue(status.contains("is unavailable since"), status);
    }

    @Test
    public void should_accept_a_change_whose_store_response_is_lost() {
        mFleet.store().setFaults(StoreFaults.newBuilder().setLostResponseShare(1).build());
        CommandRun change = run(FIRST, "route", "change", "orders", "--priority", "3");
        assertTrue(expect(0, change).text().contains("accepted as revision 4"), "" + change);
    }

    @Test
    public void should_report_unknown_until_a_late_write_is_found() {
        mFleet.store()
                .setFaults(
                        StoreFaults.newBuilder()
                                .setLateWriteShare(1)
                                .setLateWriteMillis(2_500)
                                .build());
        CommandRun change =
                run(FIRST, "--timeout", "1", "route", "change", "orders", "--priority", "3");
        String id = expect(UNKNOWN, change).text().lines().findFirst().orElseThrow().substring(10);
        CommandRun before = run(SECOND, "outcome", id);
        assertTrue(before.code() == 0 || before.code() == UNKNOWN, before.toString());
        InProcessFleet.await(
                "acceptance of the late write", () -> run(SECOND, "outcome", id).code() == 0);
    }

    private CommandRun createService(String name) {
        return run(
                FIRST,
                "service",
                "create",
                name,
                "--floor",
                "1",
                "--expected-endpoints",
                "1",
                "--slots",
                "5");
    }

    private CommandRun run(String node, String... arguments) {
        return CommandRun.run(mFleet, node, arguments);
    }

    private static CommandRun expect(int code, CommandRun run) {
        return run.expect(code);
    }

    private long executions(String backendServer) {
        return mFleet.backends().get(backendServer).executions().total();
    }

    private int send(String node) throws Exception {
        InetSocketAddress address = mFleet.settings(node).callers().address();
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + address.getPort() + "/orders"))
                        .version(HttpClient.Version.HTTP_1_1)
                        .POST(HttpRequest.BodyPublishers.ofString("1 cell"))
                        .build();
        return mClient.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }
}
