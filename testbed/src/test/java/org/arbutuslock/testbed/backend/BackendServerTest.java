package org.arbutuslock.testbed.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.arbutuslock.api.ManualClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a simulated fault that does not occur while it is on, or occurs while it is off.
 * Other tests would then test the proxy against the wrong backend behavior.
 */
public class BackendServerTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 7);
    private static final int LONG_BODY_BYTES = 20_000;
    private static final byte[] NO_BODY = {};

    private final ManualClock mClock = new ManualClock();
    private EventLoopGroup mGroup;
    private HttpClient mClient;
    private BackendServer mServer;

    @BeforeMethod
    public void start() {
        System.out.println("BackendServerTest arbutuslock.seed=" + SEED);
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        mServer = startServer(WorkTimes.of(1, LONG_BODY_BYTES, 100_000), Optional.empty());
    }

    @AfterMethod
    public void stop() {
        mServer.close();
        mClient.shutdownNow();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void should_echo_the_request_and_list_duplicate_executions() throws Exception {
        byte[] body = "three pens".getBytes(StandardCharsets.UTF_8);
        for (String id : new String[] {"a", "b", "a"}) {
            HttpResponse<byte[]> response = send("POST", "/restock?item=7", body, id);
            assertTrue(EchoBody.matches(response.body(), "POST", "/restock?item=7", body));
            assertFalse(EchoBody.matches(response.body(), "POST", "/restock?item=8", body));
            assertEquals(response.headers().firstValue("arbutuslock-request-id").get(), id);
        }
        assertEquals(mServer.executions().executedMoreThanOnce(), Map.of("a", 2));
        assertEquals(mServer.executions().count("b"), 1);
    }

    @Test
    public void should_limit_the_send_rate_of_long_work() throws Exception {
        long start = System.nanoTime();
        HttpResponse<byte[]> response = send("GET", "/long/1", NO_BODY, "a");
        assertTrue(elapsedMillis(start) >= 150, "20 kB at 100 kB/s must take at least 150 ms");
        assertEquals(response.body().length, LONG_BODY_BYTES);
        assertTrue(EchoBody.matches(response.body(), "GET", "/long/1", NO_BODY));
    }

    @Test
    public void should_queue_then_shed_and_cancel_when_a_connection_closes() throws Exception {
        mServer.setFaults(BackendFaults.none().withHangShare(1));
        Socket[] hanging = {open("/1"), open("/2")};
        waitUntil(() -> mServer.executions().total() == 2);
        Socket queued = open("/3");
        Socket alsoQueued = open("/4");
        waitUntil(() -> readExecutionsField("waiting") == 2);
        assertEquals(send("GET", "/5", NO_BODY, "shed").statusCode(), 503);
        assertEquals(mServer.executions().count("shed"), 0);
        assertEquals(send("GET", "/health", NO_BODY, "").statusCode(), 200);
        alsoQueued.close();
        waitUntil(() -> mServer.cancelled() == 1);
        assertEquals(mServer.executions().total(), 2);
        hanging[0].close();
        waitUntil(() -> mServer.executions().total() == 3);
        hanging[1].close();
        queued.close();
        waitUntil(() -> mServer.cancelled() == 4);
        mServer.setFaults(BackendFaults.none());
        assertEquals(send("GET", "/6", NO_BODY, "").statusCode(), 200);
    }

    @Test
    public void should_send_wrong_responses_and_truncate() throws Exception {
        mServer.setFaults(BackendFaults.none().withErrorShare(1));
        assertEquals(send("GET", "/a", NO_BODY, "").statusCode(), 500);
        mServer.setFaults(BackendFaults.none().withWrongBodyShare(1));
        HttpResponse<byte[]> wrong = send("GET", "/a", NO_BODY, "");
        assertEquals(wrong.statusCode(), 200);
        assertFalse(EchoBody.matches(wrong.body(), "GET", "/a", NO_BODY));
        mServer.setFaults(BackendFaults.none().withTruncateShare(1));
        assertThrows(IOException.class, () -> send("GET", "/a", NO_BODY, ""));
        assertThrows(IOException.class, () -> send("GET", "/long/a", NO_BODY, ""));
    }

    @Test
    public void should_apply_a_share_of_faults() throws Exception {
        mServer.setFaults(BackendFaults.none().withErrorShare(0.3));
        int errors = 0;
        for (int index = 0; index < 300; index++) {
            errors += send("GET", "/a", NO_BODY, "").statusCode() == 500 ? 1 : 0;
        }
        assertTrue(
                errors > 50 && errors < 130,
                errors + " of 300 responses had status 500; expected 51 to 129");
    }

    @Test
    public void should_apply_the_slow_factor_only_while_flapping_faults_are_on() throws Exception {
        mServer.setFaults(BackendFaults.none().withSlowFactor(200).withFlapMillis(1000));
        long start = System.nanoTime();
        send("GET", "/a", NO_BODY, "");
        assertTrue(
                elapsedMillis(start) >= 200,
                "with the fault on, the request took " + elapsedMillis(start) + " ms");
        mClock.advance(Duration.ofMillis(1500));
        start = System.nanoTime();
        send("GET", "/a", NO_BODY, "");
        assertTrue(
                elapsedMillis(start) < 150,
                "with the fault off, the request took " + elapsedMillis(start) + " ms");
    }

    @Test
    public void should_be_slow_after_a_cold_start() {
        BackendState state =
                new BackendState(
                        settings(new WorkTimes(1, 1, 1, 10_000, 5), Optional.empty()), mClock);
        assertEquals(state.coldStartFactor(), 5.0);
        mClock.advance(Duration.ofSeconds(5));
        assertEquals(state.coldStartFactor(), 3.0);
        mClock.advance(Duration.ofSeconds(5));
        assertEquals(state.coldStartFactor(), 1.0);
    }

    @Test
    public void should_switch_faults_by_the_control_path() throws Exception {
        byte[] faults = "{\"errorShare\": 1}".getBytes(StandardCharsets.UTF_8);
        assertEquals(send("PUT", "/.backend/faults", faults, "").statusCode(), 200);
        assertEquals(send("GET", "/a", NO_BODY, "").statusCode(), 500);
        byte[] invalid = "{\"errorShare\": 1.5}".getBytes(StandardCharsets.UTF_8);
        HttpResponse<byte[]> refused = send("PUT", "/.backend/faults", invalid, "");
        assertEquals(refused.statusCode(), 400);
        assertTrue(new String(refused.body(), StandardCharsets.UTF_8).contains("error 1.5"));
    }

    @Test
    public void should_announce_itself_and_finish_its_work_when_it_departs() throws Exception {
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        HttpServer home = HttpServer.create(new InetSocketAddress(loopback(), 0), 0);
        home.createContext(
                "/.arbutuslock/announcements/",
                exchange -> {
                    String body = new String(exchange.getRequestBody().readAllBytes());
                    received.add(exchange.getRequestMethod() + " " + body);
                    exchange.sendResponseHeaders(200, -1);
                    exchange.close();
                });
        home.start();
        try (BackendServer server =
                startServer(WorkTimes.of(300, 1, 1), Optional.of(home.getAddress()))) {
            String announcement = received.poll(5, TimeUnit.SECONDS);
            assertTrue(announcement.startsWith("PUT "), announcement);
            assertTrue(announcement.contains("\"address\":\"127.0.0.1:" + server.port() + "\""));
            var response =
                    mClient.sendAsync(
                            HttpRequest.newBuilder(uri(server, "/a")).build(),
                            HttpResponse.BodyHandlers.ofByteArray());
            waitUntil(() -> server.executions().total() == 1);
            var drained = server.drain(Duration.ofMillis(100), Duration.ofSeconds(10));
            assertEquals(response.get(5, TimeUnit.SECONDS).statusCode(), 200);
            assertTrue(drained.get(5, TimeUnit.SECONDS));
            assertTrue(received.stream().anyMatch(entry -> entry.startsWith("DELETE")));
            assertThrows(IOException.class, () -> new Socket(loopback(), server.port()).close());
        } finally {
            home.stop(0);
        }
    }

    private BackendServer startServer(WorkTimes times, Optional<InetSocketAddress> home) {
        return BackendServer.start(settings(times, home), mClock, mGroup);
    }

    private static BackendSettings settings(WorkTimes times, Optional<InetSocketAddress> home) {
        return new BackendSettings("desk-1", "inventory-desk", 0, 2, 2, times, home, SEED);
    }

    private HttpResponse<byte[]> send(String method, String path, byte[] body, String id)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(uri(mServer, path))
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                        .header("arbutuslock-request-id", id)
                        .timeout(Duration.ofSeconds(10))
                        .build();
        return mClient.send(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    private static URI uri(BackendServer server, String path) {
        return URI.create("http://127.0.0.1:" + server.port() + path);
    }

    private Socket open(String path) throws IOException {
        Socket socket = new Socket(loopback(), mServer.port());
        String request = "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private int readExecutionsField(String field) {
        try {
            String body = new String(send("GET", "/.backend/executions", NO_BODY, "").body());
            return Integer.parseInt(body.replaceAll(".*\"" + field + "\":(\\d+).*\n", "$1"));
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    private static long elapsedMillis(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private static void waitUntil(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "condition not met within 10 s");
            Thread.onSpinWait();
        }
    }
}
