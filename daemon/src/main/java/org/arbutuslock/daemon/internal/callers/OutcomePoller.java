package org.arbutuslock.daemon.internal.callers;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.Submission;
import org.arbutuslock.internal.messages.BufferedResponse;

/**
 * Queries the home node, over new sessions, for the outcome of a request whose session was lost.
 * Polls until the home node reports a final outcome, the home node has stopped, or the caller no
 * longer waits. Confined to one event loop.
 */
final class OutcomePoller {
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final EntryServices mServices;
    private final EventLoop mEventLoop;
    private final RequestId mId;
    private final Submission mSubmission;
    private final Listener mListener;

    OutcomePoller(
            EntryServices services,
            EventLoop eventLoop,
            RequestId id,
            Submission submission,
            Listener listener) {
        mServices = services;
        mEventLoop = eventLoop;
        mId = id;
        mSubmission = submission;
        mListener = listener;
    }

    /** Receives the outcome. All methods are called on the event loop. */
    interface Listener {
        /** Returns whether the request has ended, so that its outcome is no longer needed. */
        boolean isDone();

        /** Called when the request has not been executed and will not be. */
        void notRun();

        /** Called with the complete response when the request has been executed. */
        void answered(BufferedResponse response);

        /**
         * Called when it cannot be determined whether the request was executed, or when its
         * response is lost.
         */
        void unknown(String detail);
    }

    void poll() {
        if (mListener.isDone()) {
            return;
        }
        mServices
                .homeNodeClient()
                .query(mId, mSubmission)
                .whenComplete((report, error) -> mEventLoop.execute(() -> handle(report, error)));
    }

    private void handle(OutcomeReport report, Throwable error) {
        if (mListener.isDone()) {
            return;
        }
        if (error != null) {
            handleFailure();
            return;
        }
        switch (report.state()) {
            case NOT_RUN -> mListener.notRun();
            case IN_PROGRESS -> schedulePoll();
            case ANSWERED -> mListener.answered(report.response().orElseThrow());
            case ANSWERED_NOT_KEPT -> mListener.unknown("executed, but the response was lost");
            case FAILED ->
                    mListener.unknown("the backend server failed while executing the request");
            case UNKNOWN_INCARNATION, FORGOTTEN ->
                    mListener.unknown("the home node has no record of the request");
        }
    }

    /**
     * Polls again unless the home node has stopped, because its records are lost with its process.
     */
    private void handleFailure() {
        boolean alive =
                mServices
                        .fleet()
                        .get()
                        .findNode(mSubmission.node())
                        .filter(node -> node.incarnation() == mSubmission.incarnation())
                        .isPresent();
        if (alive) {
            schedulePoll();
        } else {
            mListener.unknown("the home node has stopped");
        }
    }

    private void schedulePoll() {
        mEventLoop.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
