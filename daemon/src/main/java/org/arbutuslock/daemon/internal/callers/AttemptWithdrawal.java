package org.arbutuslock.daemon.internal.callers;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.Consumer;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.exchange.Submission;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.messages.OutcomeState;
import org.arbutuslock.internal.selection.LoadReport;

/**
 * Withdraws an attempt that still waits at its home node. Queries the outcome once: a home node
 * refuses a request that it has not dispatched, so that its caller can be told that it was not
 * executed. A dispatched request is not affected.
 */
final class AttemptWithdrawal {
    private AttemptWithdrawal() {}

    /**
     * Sends the query and returns at once.
     *
     * @param services connects to the home node
     * @param eventLoop runs the listener
     * @param id id of the attempt
     * @param submission where the attempt was submitted; empty if it was not
     * @param listener gets a refusal if the request was not dispatched, and nothing otherwise
     */
    static void send(
            EntryServices services,
            EventLoop eventLoop,
            RequestId id,
            Optional<Submission> submission,
            Consumer<ResponseEvent> listener) {
        submission
                .map(sent -> services.homeNodeClient().query(id, sent))
                .ifPresent(
                        query ->
                                query.thenAcceptAsync(
                                        report -> handle(report, listener), eventLoop));
    }

    private static void handle(OutcomeReport report, Consumer<ResponseEvent> listener) {
        if (report.state() == OutcomeState.NOT_RUN) {
            String detail = "the entry node is shutting down";
            listener.accept(
                    new ResponseEvent.Refused(RefusalReason.QUERIED, detail, LoadReport.UNKNOWN));
        }
    }
}
