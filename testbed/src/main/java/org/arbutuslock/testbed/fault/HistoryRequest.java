package org.arbutuslock.testbed.fault;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.testbed.backend.EchoBody;
import org.arbutuslock.testbed.backend.WorkTimes;

/**
 * A request that a caller sends in a fault history.
 *
 * @param token unique id by which the backend servers count the executions of the request
 * @param kind kind of request
 * @param body request body; empty unless the kind is {@link Kind#ORDER}
 */
record HistoryRequest(String token, Kind kind, byte[] body) {
    static final String SERVICE = "order-hub";
    static final int DOWNLOAD_BYTES = 200_000;
    static final WorkTimes WORK_TIMES = WorkTimes.of(2, DOWNLOAD_BYTES, 8_000_000);

    private static final int DEADLINE_MILLIS = 10_000;
    private static final int PRIORITY = 5;
    private static final int SLOTS = 5;
    private static final int RETRY_PERCENT = 20;
    private static final double ORDER_SHARE = 0.5;
    private static final double DOWNLOAD_SHARE = 0.05;
    // Some orders span several frames, so that a duplicated frame would corrupt the body if it were
    // not dropped.
    private static final double LARGE_ORDER_SHARE = 0.1;
    private static final int LARGE_ORDER_BYTES = 40_000;

    /** Kinds of request, each with its own route. */
    enum Kind {
        /** Short and not idempotent: must not be executed twice. */
        ORDER("POST", "/orders"),
        /** Short and idempotent. */
        LOOKUP("GET", "/price"),
        /** Long and idempotent. Its response is streamed. */
        DOWNLOAD("GET", "/long/bundle");

        private final String mMethod;
        private final String mPath;

        Kind(String method, String path) {
            mMethod = method;
            mPath = path;
        }
    }

    static HistoryRequest draw(String token, SplittableRandom random) {
        double draw = random.nextDouble();
        if (draw < DOWNLOAD_SHARE) {
            return new HistoryRequest(token, Kind.DOWNLOAD, new byte[0]);
        }
        if (draw >= DOWNLOAD_SHARE + ORDER_SHARE) {
            return new HistoryRequest(token, Kind.LOOKUP, new byte[0]);
        }
        if (random.nextDouble() < LARGE_ORDER_SHARE) {
            byte[] body = new byte[LARGE_ORDER_BYTES];
            random.nextBytes(body);
            return new HistoryRequest(token, Kind.ORDER, body);
        }
        return new HistoryRequest(
                token, Kind.ORDER, ("1 of " + token).getBytes(StandardCharsets.UTF_8));
    }

    String method() {
        return kind.mMethod;
    }

    String uri() {
        return kind.mPath + "?token=" + token;
    }

    /** Returns whether a body is exactly the complete response to this request. */
    boolean isOwnResponse(byte[] response) {
        int headBytes = EchoBody.head(method(), uri(), body).length;
        int expected = kind == Kind.DOWNLOAD ? Math.max(headBytes, DOWNLOAD_BYTES) : headBytes;
        return response.length == expected && EchoBody.matches(response, method(), uri(), body);
    }

    /**
     * Returns the changes that create the service and its routes.
     *
     * @param ordersIdempotent true injects a configuration error: nodes may retry orders although a
     *     second execution is a violation
     */
    static List<ConfigurationOperation> configuration(int endpoints, boolean ordersIdempotent) {
        return List.of(
                new ConfigurationOperation.PutService(
                        new ServiceDefinition(
                                SERVICE, new Floor.Count(1), endpoints, SLOTS, RETRY_PERCENT)),
                putRoute("orders", Kind.ORDER, WorkClass.SHORT, ordersIdempotent),
                putRoute("prices", Kind.LOOKUP, WorkClass.SHORT, true),
                putRoute("bundles", Kind.DOWNLOAD, WorkClass.LONG, true));
    }

    private static ConfigurationOperation putRoute(
            String name, Kind kind, WorkClass workClass, boolean idempotent) {
        return new ConfigurationOperation.PutRoute(
                new RouteDefinition(
                        name,
                        "",
                        "",
                        kind.mPath,
                        true,
                        Map.of(),
                        SERVICE,
                        workClass,
                        idempotent,
                        DEADLINE_MILLIS,
                        PRIORITY));
    }
}
