package org.arbutuslock.testbed.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.testbed.backend.BackendFaults;
import org.arbutuslock.testbed.backend.BackendServer;
import org.arbutuslock.testbed.backend.EchoBody;
import org.arbutuslock.testbed.backend.ExecutionRecord;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against responses that are lost, swapped or truncated while a request passes two nodes,
 * and against a wrong outcome when a backend server fails.
 */
public class RequestPathTest {
    private static final long SEED = 7;

    private final HttpClient mClient = HttpClient.newHttpClient();
    private InProcessFleet mFleet;

    @BeforeMethod
    public void startFleet() throws Exception {
        mFleet = InProcessFleet.start(SEED);
        mFleet.addNode("calgary-a-1", "west-prairie", "calgary-a");
        mFleet.addNode("calgary-a-2", "west-prairie", "calgary-a");
        mFleet.addBackend(
                "calgary-a-2", "order-hub-1", "order-hub", 5, WorkTimes.of(2, 200_000, 20_000_000));
        mFleet.change(configuration());
        mFleet.awaitReady();
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    @Test
    public void should_carry_a_request_across_two_nodes() throws Exception {
        HttpResponse<byte[]> response = send("POST", "/orders?shop=12", "12 cells");
        assertEquals(response.statusCode(), 200);
        assertTrue(EchoBody.matches(response.body(), "POST", "/orders?shop=12", bytes("12 cells")));
        assertEquals(mFleet.backends().get("order-hub-1").executions().total(), 1);
    }

    @Test
    public void should_stream_a_long_response_completely() throws Exception {
        HttpResponse<byte[]> response = send("GET", "/long/bundle", "");
        assertEquals(response.body().length, 200_000);
        assertTrue(EchoBody.matches(response.body(), "GET", "/long/bundle", bytes("")));
    }

    @Test
    public void should_report_an_unknown_outcome_when_the_response_to_an_order_is_truncated()
            throws Exception {
        mFleet.backends().get("order-hub-1").setFaults(BackendFaults.none().withTruncateShare(1));
        HttpResponse<byte[]> response = send("POST", "/orders", "1 cell");
        assertEquals(response.statusCode(), 504);
        assertEquals(response.headers().firstValue("arbutuslock-outcome").orElse(""), "unknown");
        assertEquals(mFleet.backends().get("order-hub-1").executions().total(), 1);
        String id = response.headers().firstValue("arbutuslock-request-id").orElseThrow();
        HttpResponse<byte[]> outcome = send("GET", "/.arbutuslock/requests/" + id, "");
        assertEquals(outcome.headers().firstValue("arbutuslock-outcome").orElse(""), "unknown");
    }

    /**
     * Guards against a download that is put together from two executions, and against a caller that
     * waits for a second execution whose response it cannot get.
     */
    @Test
    public void should_break_off_a_download_with_its_only_execution() throws Exception {
        WorkTimes times = WorkTimes.of(2, 200_000, 20_000_000);
        BackendServer truncating = mFleet.backends().get("order-hub-1");
        truncating.setFaults(BackendFaults.none().withTruncateShare(1));
        BackendServer sound =
                mFleet.addBackend("calgary-a-2", "order-hub-2", "order-hub", 5, times);
        mFleet.awaitReady();
        boolean brokenOff = false;
        for (int request = 0; request < 200 && !brokenOff; request++) {
            String token = "download-" + request;
            try {
                HttpResponse<byte[]> response = send("GET", "/long/bundle", "", token);
                assertEquals(response.body().length, 200_000);
                assertTrue(EchoBody.matches(response.body(), "GET", "/long/bundle", bytes("")));
                assertEquals(sound.executions().countToken(token), 1);
                assertEquals(truncating.executions().countToken(token), 0);
            } catch (IOException broken) {
                brokenOff = true;
                assertEquals(truncating.executions().countToken(token), 1);
                assertEquals(sound.executions().countToken(token), 0);
            }
        }
        assertTrue(brokenOff);
    }

    @Test
    public void should_report_an_unknown_outcome_when_a_retry_is_refused() throws Exception {
        mFleet.backends().get("order-hub-1").setFaults(BackendFaults.none().withTruncateShare(1));
        HttpResponse<byte[]> response = send("GET", "/price", "");
        assertTrue(mFleet.backends().get("order-hub-1").executions().total() > 0);
        assertEquals(response.headers().firstValue("arbutuslock-outcome").orElse(""), "unknown");
    }

    @Test
    public void should_report_not_run_when_no_endpoint_is_available() throws Exception {
        mFleet.backends().get("order-hub-1").close();
        InProcessFleet.await(
                "status 503", () -> sendUnchecked("POST", "/orders", "1 cell").statusCode() == 503);
        HttpResponse<byte[]> response = send("POST", "/orders", "1 cell");
        assertEquals(response.headers().firstValue("arbutuslock-outcome").orElse(""), "not-run");
    }

    @Test
    public void should_answer_a_malformed_request_with_the_reason() throws Exception {
        InetSocketAddress address = mFleet.settings("calgary-a-1").callers().address();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(bytes("GET / HTTP/1.1\r\nbad header\r\n\r\n"));
            String response = new String(socket.getInputStream().readAllBytes());
            assertTrue(response.startsWith("HTTP/1.1 400"), response);
            assertTrue(response.contains("malformed request"), response);
        }
    }

    @Test
    public void should_close_only_the_session_with_a_malformed_frame() throws Exception {
        InetSocketAddress peers = mFleet.settings("calgary-a-2").peers().address();
        byte[] claimsTwoGigabytes = {0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1};
        byte[] notAnArray = {0, 0, 0, 1, (byte) 0xc1};
        for (byte[] malformed : List.of(claimsTwoGigabytes, notAnArray)) {
            try (Socket socket = new Socket(peers.getAddress(), peers.getPort())) {
                socket.getOutputStream().write(malformed);
                assertEquals(socket.getInputStream().read(), -1);
            }
        }
        assertEquals(send("POST", "/orders", "1 cell").statusCode(), 200);
    }

    private HttpResponse<byte[]> sendUnchecked(String method, String path, String body) {
        try {
            return send(method, path, body);
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }

    private HttpResponse<byte[]> send(String method, String path, String body) throws Exception {
        return send(method, path, body, "");
    }

    private HttpResponse<byte[]> send(String method, String path, String body, String token)
            throws Exception {
        InetSocketAddress address = mFleet.settings("calgary-a-1").callers().address();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                        .version(HttpClient.Version.HTTP_1_1)
                        .header(ExecutionRecord.TOKEN_HEADER, token)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mClient.send(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static List<ConfigurationOperation> configuration() {
        return List.of(
                new ConfigurationOperation.PutService(
                        new ServiceDefinition("order-hub", new Floor.Count(1), 1, 5, 20)),
                new ConfigurationOperation.PutRoute(route("orders", "/orders", false)),
                new ConfigurationOperation.PutRoute(route("prices", "/price", true)),
                new ConfigurationOperation.PutRoute(route("bundles", "/long", true)));
    }

    private static RouteDefinition route(String name, String path, boolean idempotent) {
        return new RouteDefinition(
                name,
                "",
                "",
                path,
                true,
                Map.of(),
                "order-hub",
                idempotent ? WorkClass.LONG : WorkClass.SHORT,
                idempotent,
                5_000,
                5);
    }
}
