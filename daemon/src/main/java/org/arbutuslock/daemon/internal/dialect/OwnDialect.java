package org.arbutuslock.daemon.internal.dialect;

import java.util.List;
import java.util.OptionalLong;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.dialect.ResponseKind;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.routing.HeaderAccessor;

/**
 * Header names of nodes that are not embedded in a platform. Callers cannot set a request name or a
 * timeout.
 */
public final class OwnDialect implements RequestDialect {
    private static final String REQUEST_ID_HEADER = "arbutuslock-request-id";
    private static final String DEADLINE_HEADER = "arbutuslock-deadline-millis";

    /** Creates the dialect. */
    public OwnDialect() {}

    @Override
    public String requestName(HeaderAccessor headers) {
        return "";
    }

    @Override
    public OptionalLong callerTimeoutMillis(HeaderAccessor headers) {
        return OptionalLong.empty();
    }

    @Override
    public List<HeaderField> forwardedHeaders(List<HeaderField> received) {
        return received;
    }

    @Override
    public List<HeaderField> backendHeaders(
            RequestId id, String backendServer, long remainingMillis) {
        return List.of(
                new HeaderField(REQUEST_ID_HEADER, id.withAttempt(0).format()),
                new HeaderField(DEADLINE_HEADER, Long.toString(remainingMillis)));
    }

    @Override
    public boolean mayRepeatAsProbe() {
        return true;
    }

    @Override
    public ResponseKind classifyResponse(
            List<HeaderField> request,
            int status,
            HeaderAccessor response,
            boolean firstOnConnection) {
        return ResponseKind.ANSWER;
    }
}
