package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.execution.ExecutionLedger;
import org.arbutuslock.internal.execution.LedgerLimits;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.testng.annotations.Test;

/** Guards against a node that refuses all local requests after its local session was fenced. */
public class HomeNodeClientTest {
    private static final LocalNode LOCAL = new LocalNode("a", 9, "west", "calgary", "127.0.0.1:1");
    private static final NodeRecord RECORD =
            new NodeRecord("a", 9, 1, "127.0.0.1:1", "west", "calgary", 0, false, List.of());

    @Test
    public void should_take_local_requests_after_a_query_fenced_the_local_session() {
        ManualClock clock = new ManualClock();
        ExecutionLedger ledger = new ExecutionLedger(clock, 9, LedgerLimits.standard());
        HomeService home = new HomeService(clock, ledger, (endpoint, idempotent) -> true);
        HomeNodeClient client = new HomeNodeClient(LOCAL, home, null);
        long localSession = 1;
        home.query(new RequestId("b", 3, 8), 9, localSession);
        List<ResponseEvent> events = new ArrayList<>();
        client.submit(RECORD, request(), false, events::add);
        RefusalReason reason = ((ResponseEvent.Refused) events.getFirst()).reason();
        assertEquals(reason, RefusalReason.UNKNOWN_ENDPOINT);
    }

    private static ExecutionRequest request() {
        return new ExecutionRequest(
                new RequestId("a", 9, 16),
                new EndpointId("orders", "orders-1"),
                "POST",
                "/orders",
                List.of(),
                new byte[0],
                WorkClass.SHORT,
                false,
                "",
                1,
                5,
                1_000_000_000L,
                SubmissionRequirements.NONE,
                "");
    }
}
