package org.arbutuslock.daemon.internal.callers;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.daemon.internal.exchange.HttpHeaderFields;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.routing.RequestMethods;

/**
 * Checks the requests of callers and finds their routes in the configuration in force. Thread safe.
 *
 * @param server server that accepted the connection
 * @param services components that handle the requests
 */
record RequestPreparer(CallerServer server, EntryServices services) {
    private static final String TENANT_HEADER = "arbutuslock-tenant";
    private static final String OUTCOME_PATH = "/.arbutuslock/requests/";

    /**
     * Finds what makes a request unacceptable on any configuration. The connection closes after the
     * response to such a request.
     */
    Optional<MalformedRequest> findFault(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return Optional.of(describe(request.decoderResult().cause()));
        }
        int hosts = request.headers().getAll(HttpHeaderNames.HOST).size();
        if (hosts != 1) {
            // RFC 9112, section 3.2: a request without exactly one Host field is answered with 400.
            String reason = hosts + " Host header fields read, exactly 1 allowed";
            return Optional.of(new MalformedRequest(TextResponses.BAD_REQUEST, reason));
        }
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            String reason = request.protocolVersion() + " read, only HTTP/1.1 allowed";
            return Optional.of(
                    new MalformedRequest(TextResponses.HTTP_VERSION_NOT_SUPPORTED, reason));
        }
        if (!request.uri().chars().allMatch(RequestPreparer::isTargetCharacter)) {
            // RFC 9112, section 3.2: other bytes must be escaped. Forwarded, they would be encoded
            // as UTF-8 and so reach the backend server as a different target.
            String reason = "a byte of the target is neither printable ASCII nor escaped";
            return Optional.of(new MalformedRequest(TextResponses.BAD_REQUEST, reason));
        }
        return Optional.empty();
    }

    private static boolean isTargetCharacter(int character) {
        return character > ' ' && character < 0x7f;
    }

    private static MalformedRequest describe(Throwable cause) {
        int status =
                switch (cause) {
                    case TooLongHttpHeaderException tooLong -> TextResponses.HEADER_TOO_LARGE;
                    case TooLongHttpLineException tooLong -> TextResponses.URI_TOO_LONG;
                    case TooLongHttpContentException tooLong -> TextResponses.BODY_TOO_LARGE;
                    default -> TextResponses.BAD_REQUEST;
                };
        return new MalformedRequest(status, String.valueOf(cause.getMessage()));
    }

    /**
     * Finds the route of a request that has no fault.
     *
     * @param arrivalNanos when the request was read completely, on the clock of this node
     */
    PreparedRequest prepare(FullHttpRequest request, long arrivalNanos) {
        if (server.isRefusing()) {
            return new PreparedRequest.Answered(TextResponses.notRun("the node is shutting down"));
        }
        if (request.uri().startsWith(OUTCOME_PATH)) {
            return new PreparedRequest.OutcomeQuery(request.uri().substring(OUTCOME_PATH.length()));
        }
        useOriginForm(request);
        Configuration configuration = services.configuration().current();
        if (configuration.revision() == 0) {
            return new PreparedRequest.Answered(
                    TextResponses.notRun("no configuration yet; try another node"));
        }
        return configuration
                .routeTable()
                .match(
                        request.method().name(),
                        request.headers().get(HttpHeaderNames.HOST, ""),
                        request.uri(),
                        name -> request.headers().get(name))
                .map(route -> route.resolve(ThreadLocalRandom.current().nextDouble()))
                .<PreparedRequest>map(
                        route ->
                                new PreparedRequest.Routed(
                                        toRoutedRequest(
                                                request, route, configuration, arrivalNanos)))
                .orElseGet(() -> new PreparedRequest.Answered(noRoute(request, configuration)));
    }

    /**
     * Converts a request target in absolute form (RFC 9112, section 3.2.2) into a path and a Host
     * field.
     */
    private static void useOriginForm(FullHttpRequest request) {
        String target = request.uri();
        int scheme = target.indexOf("://");
        if (scheme < 0 || target.startsWith("/")) {
            return;
        }
        int authority = scheme + "://".length();
        int path = target.indexOf('/', authority);
        int end = path < 0 ? target.length() : path;
        request.headers().set(HttpHeaderNames.HOST, target.substring(authority, end));
        request.setUri(path < 0 ? "/" : target.substring(path));
    }

    private static BufferedResponse noRoute(FullHttpRequest request, Configuration configuration) {
        String text =
                "no route for "
                        + request.method()
                        + " "
                        + request.uri()
                        + " at revision "
                        + configuration.revision()
                        + "\n";
        return TextResponses.create(
                TextResponses.NOT_FOUND, text, new HeaderField("arbutuslock-outcome", "not-run"));
    }

    private RoutedRequest toRoutedRequest(
            FullHttpRequest request,
            RouteDefinition route,
            Configuration configuration,
            long arrivalNanos) {
        RequestId id = server.nextRequestId();
        String method = request.method().name();
        String tenant = request.headers().get(TENANT_HEADER, "");
        RequestDialect dialect = services.dialect();
        long callerTimeoutMillis =
                dialect.callerTimeoutMillis(name -> request.headers().get(name))
                        .orElse(Long.MAX_VALUE);
        int weight = configuration.tenant(tenant).map(TenantDefinition::weight).orElse(1);
        return new RoutedRequest(
                id,
                route,
                RequestMethods.isIdempotent(route, method),
                method,
                request.uri(),
                dialect.forwardedHeaders(HttpHeaderFields.withoutHopByHopFields(request.headers())),
                ByteBufUtil.getBytes(request.content()),
                tenant,
                weight,
                arrivalNanos,
                Math.min(route.deadlineMillis(), callerTimeoutMillis));
    }

    /**
     * Why a request is unacceptable.
     *
     * @param status HTTP status code of the response
     * @param reason what was read and what is allowed
     */
    record MalformedRequest(int status, String reason) {
        /** Creates the response to the request. */
        BufferedResponse toResponse() {
            return TextResponses.create(status, "malformed request: " + reason + "\n");
        }
    }
}
