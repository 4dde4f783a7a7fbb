package org.arbutuslock.daemon.internal.callers;

import io.netty.channel.EventLoop;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.Submission;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/** Answers a caller's request for the outcome of an earlier request. */
final class OutcomeRequestHandler {
    private static final long TIMEOUT_MILLIS = 2_000;

    private final EntryServices mServices;
    private final EventLoop mEventLoop;
    private final ResponseWriter mResponseWriter;

    OutcomeRequestHandler(
            EntryServices services, EventLoop eventLoop, ResponseWriter responseWriter) {
        mServices = services;
        mEventLoop = eventLoop;
        mResponseWriter = responseWriter;
    }

    void start(String text) {
        Optional<OutcomeReference> reference = OutcomeReference.parse(text);
        if (reference.isEmpty()) {
            mResponseWriter.sendComplete(
                    TextResponses.create(
                            TextResponses.BAD_REQUEST,
                            "request id \""
                                    + text
                                    + "\" is malformed; pass the value of the header"
                                    + " arbutuslock-request-id\n"));
            return;
        }
        Submission named = reference.get().submission();
        Optional<NodeRecord> homeNode = mServices.fleet().get().findNode(named.node());
        if (homeNode.isEmpty()) {
            String detail = "home node " + named.node() + " is unknown to this node";
            mResponseWriter.sendComplete(
                    describe(TextResponses.SERVICE_UNAVAILABLE, "unknown", detail));
            return;
        }
        Submission submission =
                new Submission(
                        homeNode.get().peerAddress(),
                        named.node(),
                        named.incarnation(),
                        named.session());
        mServices
                .homeNodeClient()
                .query(reference.get().id(), submission)
                .orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((report, error) -> mEventLoop.execute(() -> answer(report, error)));
    }

    private void answer(OutcomeReport report, Throwable error) {
        if (error != null) {
            mResponseWriter.sendComplete(
                    describe(
                            TextResponses.SERVICE_UNAVAILABLE,
                            "unknown",
                            "home node could not be reached"));
            return;
        }
        switch (report.state()) {
            // Only the responses to requests that must not run twice are kept.
            case ANSWERED ->
                    mResponseWriter.sendComplete(
                            ExecutedResponse.forCaller(report.response().orElseThrow(), false));
            case NOT_RUN ->
                    mResponseWriter.sendComplete(describe(TextResponses.OK, "not-run", "not run"));
            case IN_PROGRESS ->
                    mResponseWriter.sendComplete(
                            describe(TextResponses.OK, "in-progress", "ask again later"));
            case ANSWERED_NOT_KEPT ->
                    mResponseWriter.sendComplete(
                            describe(
                                    TextResponses.OK,
                                    "executed",
                                    "executed; the response is not kept"));
            case FAILED, UNKNOWN_INCARNATION, FORGOTTEN -> {
                String detail = report.state().name().toLowerCase(Locale.ROOT);
                mResponseWriter.sendComplete(describe(TextResponses.OK, "unknown", detail));
            }
        }
    }

    private static BufferedResponse describe(int status, String outcome, String text) {
        return TextResponses.create(
                status, text + "\n", new HeaderField("arbutuslock-outcome", outcome));
    }
}
