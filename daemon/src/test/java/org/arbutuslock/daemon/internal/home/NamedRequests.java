package org.arbutuslock.daemon.internal.home;

import java.util.List;
import java.util.OptionalLong;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.arbutuslock.internal.routing.HeaderAccessor;

/** Requests whose names stand in a header field, for tests of connections to backend servers. */
final class NamedRequests {
    /** Field with the name of a request and of the request that a response belongs to. */
    static final String NAME = "x-name";

    private NamedRequests() {}

    static ExecutionRequest create(String method, String name) {
        return new ExecutionRequest(
                new RequestId("a", 9, 16),
                new EndpointId("orders", "orders-1"),
                method,
                "/price",
                List.of(new HeaderField(NAME, name)),
                new byte[0],
                WorkClass.SHORT,
                true,
                "",
                1,
                5,
                1_000_000_000L,
                SubmissionRequirements.NONE,
                "");
    }

    /** Leaves it to a test to which request a response belongs. */
    abstract static class Dialect implements RequestDialect {
        @Override
        public String requestName(HeaderAccessor headers) {
            return headers.firstValue(NAME);
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
            return List.of();
        }

        @Override
        public boolean mayRepeatAsProbe() {
            return false;
        }
    }
}
