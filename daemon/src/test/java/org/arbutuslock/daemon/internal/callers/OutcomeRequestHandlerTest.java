package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.dialect.OwnDialect;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;
import org.arbutuslock.daemon.internal.sessions.HomeNode;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.messages.OutcomeState;
import org.testng.annotations.Test;

/** Guards against a kept response that promises that an executed request has not run. */
public class OutcomeRequestHandlerTest {
    @Test
    public void should_replace_a_kept_response_that_promises_no_execution() {
        assertEquals(ask(503), 502);
        assertEquals(ask(429), 502);
    }

    @Test
    public void should_return_any_other_kept_response() {
        assertEquals(ask(201), 201);
        assertEquals(ask(500), 500);
    }

    private static int ask(int keptStatus) {
        BufferedResponse kept = new BufferedResponse(keptStatus, List.of(), new byte[0]);
        ManualClock clock = new ManualClock();
        LocalNode local = new LocalNode("a", 9, "west", "calgary", "127.0.0.1:1");
        NodeRecord node =
                new NodeRecord("a", 9, 1, "127.0.0.1:1", "west", "calgary", 0, false, List.of());
        EntryServices services =
                new EntryServices(
                        local,
                        clock,
                        clock.nanoTime(),
                        new ConfigurationHolder(),
                        new LocalEndpointChooser(0),
                        () -> FleetSnapshot.of(List.of(node)),
                        new HomeNodeClient(local, new KeepingHomeNode(kept), null),
                        new UnlimitedRetryPolicy(),
                        (route, tenant, latency, result) -> {},
                        new OwnDialect());
        EmbeddedChannel channel = new EmbeddedChannel();
        StatusRecorder writer = new StatusRecorder();
        new OutcomeRequestHandler(services, channel.eventLoop(), writer).start("a.9.8@a/9/1");
        channel.runPendingTasks();
        assertEquals(writer.mStatuses.size(), 1);
        return writer.mStatuses.getFirst();
    }

    /** Reports one response for every request. */
    private record KeepingHomeNode(BufferedResponse kept) implements HomeNode {
        @Override
        public long openSession(Runnable onFenced) {
            return 1;
        }

        @Override
        public void closeSession(long session) {}

        @Override
        public Exchange submit(long session, ExecutionRequest request, ResponseListener listener) {
            throw new AssertionError("the handler only queries outcomes");
        }

        @Override
        public OutcomeReport query(RequestId id, long incarnation, long fencedSession) {
            return new OutcomeReport(OutcomeState.ANSWERED, Optional.of(kept));
        }

        @Override
        public void acknowledge(RequestId id) {}
    }

    /** Records the status of complete responses. */
    private static final class StatusRecorder implements ResponseWriter {
        private final List<Integer> mStatuses = new ArrayList<>();

        @Override
        public void sendComplete(BufferedResponse response) {
            mStatuses.add(response.status());
        }

        @Override
        public void start(int status, List<HeaderField> headers) {}

        @Override
        public void sendPart(byte[] data, boolean last, Runnable sent) {}

        @Override
        public void abort() {}
    }
}
