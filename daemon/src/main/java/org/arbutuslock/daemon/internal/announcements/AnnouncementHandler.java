package org.arbutuslock.daemon.internal.announcements;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.daemon.internal.home.Announcement;
import org.arbutuslock.daemon.internal.home.LocalEndpoints;
import org.arbutuslock.daemon.internal.http.SmallHttpServer;

/**
 * Handles the HTTP requests by which backend servers announce themselves. {@code PUT
 * /.arbutuslock/announcements/NAME} creates or renews an announcement. Its body is a JSON object
 * with {@code service}, {@code address} and {@code slots}; optional are {@code state}, which may be
 * {@code ready} or {@code draining}, and {@code born} and {@code sequence}, which order
 * announcements that arrive late. {@code DELETE} of the same path starts the departure of the
 * backend server. Thread-safe; runs on event loops.
 */
public final class AnnouncementHandler implements Function<FullHttpRequest, FullHttpResponse> {
    private static final String PATH = "/.arbutuslock/announcements/";
    private static final String NAME_PATTERN = "[A-Za-z0-9-]{1,63}";
    private static final String READY = "ready";
    private static final String DRAINING = "draining";
    private static final int MAXIMUM_SLOTS = 100_000;
    private static final int MAXIMUM_PORT = 65_535;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final LocalEndpoints mEndpoints;

    /**
     * Creates a handler.
     *
     * @param endpoints endpoints of this host, which are updated by announcements
     */
    public AnnouncementHandler(LocalEndpoints endpoints) {
        mEndpoints = endpoints;
    }

    @Override
    public FullHttpResponse apply(FullHttpRequest request) {
        if (!request.uri().startsWith(PATH)) {
            return SmallHttpServer.text(404, "read path " + request.uri() + ", allowed " + PATH);
        }
        String name = request.uri().substring(PATH.length());
        if (!name.matches(NAME_PATTERN)) {
            return SmallHttpServer.text(
                    400, "read name \"" + name + "\", allowed letters, digits and hyphens\n");
        }
        if (request.method().equals(HttpMethod.DELETE)) {
            int endpoints = mEndpoints.startDeparture(name);
            return endpoints == 0
                    ? SmallHttpServer.text(404, name + " is not announced here\n")
                    : SmallHttpServer.text(200, name + " gets no new work\n");
        }
        if (!request.method().equals(HttpMethod.PUT)) {
            return SmallHttpServer.text(
                    405, "read method " + request.method() + ", allowed PUT or DELETE\n");
        }
        return announce(name, request.content().toString(StandardCharsets.UTF_8));
    }

    private FullHttpResponse announce(String name, String body) {
        try {
            JsonNode json = mMapper.readTree(body);
            String service = json.path("service").asText("");
            if (!service.matches(NAME_PATTERN)) {
                return invalid("service", service, "letters, digits and hyphens");
            }
            int slots = json.path("slots").asInt(0);
            if (slots < 1 || slots > MAXIMUM_SLOTS) {
                return invalid("slots", json.path("slots").asText(), "1 to " + MAXIMUM_SLOTS);
            }
            InetSocketAddress address = parseAddress(json.path("address").asText(""));
            if (address == null) {
                return invalid("address", json.path("address").asText(), "IP:port");
            }
            String state = json.path("state").asText(READY);
            if (!state.equals(READY) && !state.equals(DRAINING)) {
                return invalid("state", state, READY + " or " + DRAINING);
            }
            mEndpoints.announce(
                    new Announcement(
                            new EndpointId(service, name),
                            address,
                            slots,
                            state.equals(DRAINING),
                            json.path("born").asLong(0),
                            json.path("sequence").asLong(0)));
            return SmallHttpServer.text(200, "announced\n");
        } catch (JsonProcessingException malformed) {
            return SmallHttpServer.text(
                    400, "malformed JSON: " + malformed.getOriginalMessage() + "\n");
        }
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(0, colon).matches("[0-9a-fA-F.:\\[\\]]+")) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            boolean allowed = port > 0 && port <= MAXIMUM_PORT;
            return allowed ? new InetSocketAddress(text.substring(0, colon), port) : null;
        } catch (NumberFormatException malformed) {
            return null;
        }
    }

    private static FullHttpResponse invalid(String field, String read, String allowed) {
        return SmallHttpServer.text(
                400, "field " + field + ": read \"" + read + "\", allowed " + allowed + "\n");
    }
}
