package org.arbutuslock.testbed.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Announces a backend server to its home node every second until the backend server leaves. Logs
 * the first of several failures in a row.
 */
final class Announcer {
    private static final long INTERVAL_MILLIS = 1000;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .proxy(HttpClient.Builder.NO_PROXY)
                    .connectTimeout(TIMEOUT)
                    .executor(task -> Thread.ofVirtual().start(task))
                    .build();
    private final URI mUri;
    private final String mBody;
    private Future<?> mTimer;
    private boolean mFailing;

    Announcer(InetSocketAddress homeNode, BackendSettings settings, int port) {
        String name = URLEncoder.encode(settings.name(), StandardCharsets.UTF_8);
        mUri =
                URI.create(
                        "http://"
                                + homeNode.getAddress().getHostAddress()
                                + ":"
                                + homeNode.getPort()
                                + "/.arbutuslock/announcements/"
                                + name);
        mBody = toJson(settings, port);
    }

    void start(ScheduledExecutorService executor) {
        mTimer =
                executor.scheduleAtFixedRate(
                        this::announce, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Stops the announcements and sends the departure to the home node. The future completes
     * normally when the home node has responded or the request has failed.
     */
    CompletableFuture<?> sendDeparture() {
        mTimer.cancel(false);
        return send(HttpRequest.newBuilder(mUri).timeout(TIMEOUT).DELETE().build());
    }

    void close() {
        mTimer.cancel(false);
        mClient.shutdownNow();
    }

    private void announce() {
        send(
                HttpRequest.newBuilder(mUri)
                        .timeout(TIMEOUT)
                        .header("content-type", "application/json")
                        .PUT(HttpRequest.BodyPublishers.ofString(mBody))
                        .build());
    }

    private CompletableFuture<?> send(HttpRequest request) {
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .handle((response, error) -> report(request, response, error));
    }

    private synchronized Void report(
            HttpRequest request, HttpResponse<Void> response, Throwable error) {
        boolean failed = error != null || response.statusCode() / 100 != 2;
        if (failed && !mFailing) {
            String reason = error == null ? "status " + response.statusCode() : error.toString();
            System.getLogger(Announcer.class.getName())
                    .log(
                            System.Logger.Level.WARNING,
                            request.method() + " " + mUri + " failed: " + reason);
        }
        mFailing = failed;
        return null;
    }

    private static String toJson(BackendSettings settings, int port) {
        try {
            return new ObjectMapper()
                    .writeValueAsString(
                            Map.of(
                                    "service", settings.service(),
                                    "address", "127.0.0.1:" + port,
                                    "slots", settings.slots()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the announcement as JSON", e);
        }
    }
}
