package org.arbutuslock.daemon.internal.sessions;

import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.progress.SubmissionRequirements;

/** Creates the requests that tests send over sessions. */
final class SessionRequests {
    private static final EndpointId ENDPOINT = new EndpointId("orders", "orders-1");

    /** Route of each request. */
    static final String ROUTE = "menu";

    private SessionRequests() {}

    /** Creates a request that never reaches its deadline. */
    static ExecutionRequest request(long sequence, List<HeaderField> headers) {
        return new ExecutionRequest(
                new RequestId("a", 1, sequence),
                ENDPOINT,
                "GET",
                "/orders",
                headers,
                new byte[0],
                WorkClass.SHORT,
                true,
                "",
                1,
                5,
                Long.MAX_VALUE,
                SubmissionRequirements.NONE,
                ROUTE);
    }

    /** Creates the submission of an order. */
    static PeerMessage.Submit submit(long stream, int bodyBytes) {
        return new PeerMessage.Submit(
                stream,
                new RequestId("b", 1, stream * RequestId.MAXIMUM_ATTEMPTS),
                ENDPOINT,
                "POST",
                "/orders",
                List.of(),
                bodyBytes,
                WorkClass.SHORT,
                false,
                "",
                1,
                5,
                1_000,
                SubmissionRequirements.NONE,
                ROUTE);
    }
}
