package org.arbutuslock.daemon.internal.announcements;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.daemon.internal.home.Announcement;
import org.arbutuslock.daemon.internal.home.LocalEndpoints;
import org.arbutuslock.daemon.internal.http.SmallHttpServer;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.logging.LogRateLimiter;

/**
 * Handles the HTTP requests by which backend servers announce themselves. {@code PUT
 * /.arbutuslock/announcements/NAME} creates or renews an announcement. Its body is a JSON object
 * with {@code service}, {@code address} and {@code slots}; optional are {@code state}, which may be
 * {@code ready} or {@code draining}, and {@code born} and {@code sequence}, which order
 * announcements that arrive late. A field of another type or out of range refuses the whole
 * announcement. {@code DELETE} of the same path starts the departure of the backend server.
 * Thread-safe; runs on event loops.
 */
public final class AnnouncementHandler implements Function<FullHttpRequest, FullHttpResponse> {
    private static final String PATH = "/.arbutuslock/announcements/";
    private static final String READY = "ready";
    private static final String DRAINING = "draining";
    private static final int MAXIMUM_SLOTS = 100_000;
    // Announcements are ordered by start time and sequence number. A value far in the future would
    // make every later announcement of a sound server look old.
    private static final long START_TIME_TOLERANCE_MILLIS = Duration.ofHours(1).toMillis();
    private static final long MAXIMUM_SEQUENCE = 1L << 53;
    private static final EventLogger LOGGER = EventLogger.forComponent("endpoints");
    private static final LogRateLimiter REFUSED_LINE_LIMIT = new LogRateLimiter(1);

    private final ObjectReader mReader =
            new ObjectMapper()
                    .reader()
                    .with(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private final LocalEndpoints mEndpoints;
    private final Clock mClock;

    /**
     * Creates a handler.
     *
     * @param endpoints endpoints of this host, which are updated by announcements
     * @param clock wall-clock time, with which start times of backend servers are compared
     */
    public AnnouncementHandler(LocalEndpoints endpoints, Clock clock) {
        mEndpoints = endpoints;
        mClock = clock;
    }

    @Override
    public FullHttpResponse apply(FullHttpRequest request) {
        if (!request.uri().startsWith(PATH)) {
            return SmallHttpServer.text(404, "read path " + request.uri() + ", allowed " + PATH);
        }
        String name = request.uri().substring(PATH.length());
        if (!name.matches(AnnouncementFields.NAME_PATTERN)) {
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
        return announce(name, ByteBufUtil.getBytes(request.content()));
    }

    private FullHttpResponse announce(String name, byte[] body) {
        try {
            AnnouncementFields fields = new AnnouncementFields(mReader.readTree(body));
            String service = fields.requireName("service");
            int slots = (int) fields.requireNumber("slots", 1, MAXIMUM_SLOTS);
            InetSocketAddress address = fields.requireAddress("address");
            String state = fields.choice("state", List.of(READY, DRAINING));
            long latestStart = mClock.wallTimeMillis() + START_TIME_TOLERANCE_MILLIS;
            mEndpoints.announce(
                    new Announcement(
                            new EndpointId(service, name),
                            address,
                            slots,
                            state.equals(DRAINING),
                            fields.number("born", 0, latestStart),
                            fields.number("sequence", 0, MAXIMUM_SEQUENCE)));
            return SmallHttpServer.text(200, "announced\n");
        } catch (AnnouncementFields.InvalidField invalid) {
            return refuse(name, invalid.field(), invalid.getMessage());
        } catch (IOException malformed) {
            return refuse(name, "body", "malformed JSON: " + malformed.getMessage());
        }
    }

    private FullHttpResponse refuse(String name, String field, String problem) {
        long leftOut = REFUSED_LINE_LIMIT.tryAcquire(mClock.nanoTime());
        if (leftOut != LogRateLimiter.SUPPRESSED) {
            LOGGER.log(Event.ANNOUNCEMENT_REFUSED, name, field, problem, leftOut);
        }
        return SmallHttpServer.text(400, "field " + field + ": " + problem + "\n");
    }
}
