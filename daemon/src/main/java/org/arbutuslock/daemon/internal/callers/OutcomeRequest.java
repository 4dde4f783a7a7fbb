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
final class OutcomeRequest {
    private static final long TIMEOUT_MILLIS = 2_000;

    private final EntryServices mServices;
    private final EventLoop mEventLoop;
    private final CallerResponse mResponse;

    OutcomeRequest(EntryServices services, EventLoop eventLoop, CallerResponse response) {
        mServices = services;
        mEventLoop = eventLoop;
        mResponse = response;
    }

    void start(String text) {
        Optional<OutcomeReference> reference = OutcomeReference.parse(text);
        if (reference.isEmpty()) {
            mResponse.sendWhole(
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
            String detail = "home node " + named.node() + " is not known here";
            mResponse.sendWhole(describe(TextResponses.SERVICE_UNAVAILABLE, "unknown", detail));
            return;
        }
        Submission submission =
                new Submission(
                        homeNode.get().peerAddress(),
                        named.node(),
                        named.incarnation(),
                        named.session());
        mServices
                .homeNodes()
                .query(reference.get().id(), submission)
                .orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((report, error) -> mEventLoop.execute(() -> answer(report, error)));
    }

    private void answer(OutcomeReport report, Throwable error) {
        if (error != null) {
            mResponse.sendWhole(
                    describe(
                            TextResponses.SERVICE_UNAVAILABLE, "unknown", "home node not reached"));
            return;
        }
        switch (report.state()) {
            case ANSWERED -> mResponse.sendWhole(report.response().orElseThrow());
            case NOT_RUN -> mResponse.sendWhole(describe(TextResponses.OK, "not-run", "not run"));
            case IN_PROGRESS ->
                    mResponse.sendWhole(
                            describe(TextResponses.OK, "in-progress", "ask again later"));
            case ANSWERED_NOT_KEPT ->
                    mResponse.sendWhole(
                            describe(
                                    TextResponses.OK,
                                    "executed",
                                    "executed; the response is not kept"));
            case FAILED, UNKNOWN_INCARNATION, FORGOTTEN -> {
                String detail = report.state().name().toLowerCase(Locale.ROOT);
                mResponse.sendWhole(describe(TextResponses.OK, "unknown", detail));
            }
        }
    }

    private static BufferedResponse describe(int status, String outcome, String text) {
        return TextResponses.create(
                status, text + "\n", new HeaderField("arbutuslock-outcome", outcome));
    }
}
