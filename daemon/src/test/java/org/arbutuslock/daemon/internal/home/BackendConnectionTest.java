package org.arbutuslock.daemon.internal.home;

import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.dialect.OwnDialect;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.testng.annotations.Test;

/**
 * Guards against a reused connection that never reads a response. Reading stops for lack of credit
 * and would stay stopped when the last part of the response arrives right after that.
 */
public class BackendConnectionTest {
    @Test
    public void should_resume_reading_for_the_next_request() {
        BackendConnection connection =
                new BackendConnection(
                        new OwnDialect(),
                        1,
                        new DroppedResponseLog(new ManualClock(), new OwnDialect()));
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        // The state after a response whose last part arrived right after reading was stopped.
        connection.setReading(false);
        connection.send(request(), 1_000, event -> {});
        assertTrue(channel.config().isAutoRead());
        channel.finishAndReleaseAll();
    }

    private static ExecutionRequest request() {
        return new ExecutionRequest(
                new RequestId("a", 9, 16),
                new EndpointId("orders", "orders-1"),
                "GET",
                "/price",
                List.of(),
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
}
