package org.arbutuslock.daemon.internal.sessions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;
import org.arbutuslock.daemon.internal.exchange.Submission;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.messages.MessageSubject;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.selection.LoadReport;

/**
 * The connecting end of a session: submits requests and receives their responses. Confined to the
 * event loop of its channel, except the methods that say "Any thread".
 */
final class ClientSession extends PeerChannel {
    private static final EventLogger LOGGER = EventLogger.forComponent("sessions");

    private final LocalNode mLocalNode;
    private final Clock mClock;
    private final String mPeerAddress;
    private final ChannelMessageDispatcher mMessageDispatcher;
    private final Runnable mOnSuspected;
    private final CompletableFuture<ClientSession> mReady = new CompletableFuture<>();
    private final Map<Long, Stream> mStreams = new HashMap<>();
    private final Map<Long, CompletableFuture<OutcomeReport>> mQueries = new HashMap<>();
    private volatile PeerMessage.HelloReply mRemote;
    private long mLastStream;
    private long mLastQuery;

    ClientSession(
            LocalNode localNode,
            Clock clock,
            SessionCounts counts,
            String peerAddress,
            ChannelMessageDispatcher messageDispatcher,
            Runnable onSuspected) {
        super(clock, counts);
        mLocalNode = localNode;
        mClock = clock;
        mPeerAddress = peerAddress;
        mMessageDispatcher = messageDispatcher;
        mOnSuspected = onSuspected;
    }

    /**
     * Completes when the HelloReply of the other node has arrived, or fails when the session
     * closes.
     */
    CompletableFuture<ClientSession> ready() {
        return mReady;
    }

    PeerMessage.HelloReply remote() {
        return mRemote;
    }

    boolean isOpen() {
        return mRemote != null && channel().isActive();
    }

    /**
     * Submits a request. Any thread. The listener gets {@link ResponseEvent.SessionLost} when the
     * session is closed or closes before the response is complete.
     */
    Exchange submit(ExecutionRequest request, ResponseListener listener) {
        StreamExchange exchange = new StreamExchange();
        execute(() -> exchange.start(request, listener));
        return exchange;
    }

    /** Queries the outcome of a request that was submitted on an earlier session. Any thread. */
    CompletableFuture<OutcomeReport> query(RequestId id, long incarnation, long session) {
        CompletableFuture<OutcomeReport> reply = new CompletableFuture<>();
        execute(
                () -> {
                    if (!isOpen()) {
                        reply.completeExceptionally(
                                new IllegalStateException("the session is closed"));
                        return;
                    }
                    long number = ++mLastQuery;
                    mQueries.put(number, reply);
                    becameBusy();
                    send(new PeerMessage.OutcomeQuery(number, id, incarnation, session));
                });
        return reply;
    }

    @Override
    void opened() {
        send(
                new PeerMessage.Hello(
                        LOWEST_VERSION,
                        HIGHEST_VERSION,
                        mLocalNode.name(),
                        mLocalNode.incarnation(),
                        mLocalNode.region(),
                        mLocalNode.availabilityZone()));
    }

    @Override
    void handle(PeerMessage message) {
        switch (message) {
            case PeerMessage.HelloReply reply -> completeHello(reply);
            case PeerMessage.ResponseHead head ->
                    deliver(
                            head.stream(),
                            new ResponseEvent.Head(head.status(), head.headers(), head.load()),
                            false);
            case PeerMessage.ResponseBody part -> deliverBody(part);
            case PeerMessage.Refusal refusal ->
                    deliver(
                            refusal.stream(),
                            new ResponseEvent.Refused(
                                    refusal.reason(), refusal.detail(), refusal.load()),
                            true);
            case PeerMessage.OutcomeUnknown unknown ->
                    deliver(
                            unknown.stream(),
                            new ResponseEvent.OutcomeUnknown(unknown.detail(), unknown.load()),
                            true);
            case PeerMessage.OutcomeReply reply -> completeQuery(reply);
            case PeerMessage.ChannelMessage channelMessage ->
                    dispatch(mMessageDispatcher, channelMessage);
            default -> close("unexpected message " + message.getClass().getSimpleName());
        }
    }

    private void completeHello(PeerMessage.HelloReply reply) {
        if (reply.version() < LOWEST_VERSION || reply.version() > HIGHEST_VERSION) {
            close(
                    "protocol version "
                            + reply.version()
                            + ", allowed "
                            + LOWEST_VERSION
                            + " to "
                            + HIGHEST_VERSION);
            return;
        }
        setPeerLocation(mLocalNode, reply.region(), reply.availabilityZone());
        mRemote = reply;
        LOGGER.log(Event.SESSION_OPENED, reply.node(), reply.incarnation(), reply.session());
        mReady.complete(this);
    }

    private void completeQuery(PeerMessage.OutcomeReply reply) {
        CompletableFuture<OutcomeReport> waiting = mQueries.remove(reply.query());
        if (waiting != null) {
            waiting.complete(new OutcomeReport(reply.state(), reply.response()));
        }
    }

    @Override
    void handleUnreadable(MessageSubject subject, String problem) {
        handleFailure(subject, "the reply of the home node could not be read: " + problem);
    }

    @Override
    void handleFailure(MessageSubject subject, String problem) {
        switch (subject) {
            case MessageSubject.Handshake handshake -> close("HelloReply: " + problem);
            case MessageSubject.Stream(long stream) -> abandon(stream, problem);
            case MessageSubject.Query(long number) -> {
                CompletableFuture<OutcomeReport> waiting = mQueries.remove(number);
                if (waiting != null) {
                    waiting.completeExceptionally(new IllegalStateException(problem));
                }
            }
            case MessageSubject.Submission submission -> {}
            case MessageSubject.Other other -> {}
        }
    }

    @Override
    void handleUnsent(PeerMessage message, String problem) {
        if (message instanceof PeerMessage.Submit submit) {
            deliver(
                    submit.stream(),
                    new ResponseEvent.Refused(
                            RefusalReason.NOT_TRANSMITTED, problem, LoadReport.UNKNOWN),
                    true);
        }
    }

    /** Ends one request of which a part of the response is missing. Its outcome can be queried. */
    private void abandon(long stream, String problem) {
        if (mStreams.containsKey(stream)) {
            send(new PeerMessage.Cancel(stream));
            deliver(stream, new ResponseEvent.SessionLost(submission(), problem), true);
        }
    }

    private void deliver(long stream, ResponseEvent event, boolean last) {
        Stream open = last ? mStreams.remove(stream) : mStreams.get(stream);
        // The stream does not exist when it was cancelled or when its last frame arrived twice.
        if (open != null) {
            open.mListener.handle(event);
        }
    }

    private void deliverBody(PeerMessage.ResponseBody part) {
        Stream open = mStreams.get(part.stream());
        if (open == null || part.position() < open.mReceivedBytes) {
            return;
        }
        if (part.position() > open.mReceivedBytes) {
            abandon(
                    part.stream(),
                    describeGap(part.stream(), part.position(), open.mReceivedBytes));
            return;
        }
        open.mReceivedBytes += part.data().length;
        deliver(part.stream(), new ResponseEvent.Body(part.data(), part.last()), part.last());
    }

    @Override
    void closed(String reason) {
        mReady.completeExceptionally(new IllegalStateException(reason));
        mQueries.values()
                .forEach(query -> query.completeExceptionally(new IllegalStateException(reason)));
        mQueries.clear();
        var open = new ArrayList<>(mStreams.values());
        mStreams.clear();
        open.forEach(
                stream ->
                        stream.mListener.handle(
                                new ResponseEvent.SessionLost(submission(), reason)));
    }

    Submission submission() {
        return new Submission(
                mPeerAddress, mRemote.node(), mRemote.incarnation(), mRemote.session());
    }

    @Override
    boolean isBusy() {
        return !mStreams.isEmpty() || !mQueries.isEmpty() || mRemote == null;
    }

    @Override
    boolean closesWhenIdle() {
        return true;
    }

    @Override
    void handleSuspicion() {
        mOnSuspected.run();
    }

    @Override
    String peerName() {
        return mRemote == null ? mPeerAddress : mRemote.node();
    }

    private void execute(Runnable step) {
        if (channel().eventLoop().inEventLoop()) {
            step.run();
        } else {
            channel().eventLoop().execute(step);
        }
    }

    /** A request whose response is not complete. */
    private static final class Stream {
        private final ResponseListener mListener;
        private long mReceivedBytes;

        private Stream(ResponseListener listener) {
            mListener = listener;
        }
    }

    private final class StreamExchange implements Exchange {
        private long mStream;

        private void start(ExecutionRequest request, ResponseListener listener) {
            if (!isOpen()) {
                listener.handle(
                        new ResponseEvent.SessionLost(
                                ClientSession.this.submission(), "the session is closed"));
                return;
            }
            mStream = ++mLastStream;
            mStreams.put(mStream, new Stream(listener));
            becameBusy();
            send(toSubmit(request));
            if (mStreams.containsKey(mStream)) {
                sendBody(request.body());
            }
        }

        private PeerMessage.Submit toSubmit(ExecutionRequest request) {
            long remaining =
                    TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - mClock.nanoTime());
            return new PeerMessage.Submit(
                    mStream,
                    request.id(),
                    request.endpoint(),
                    request.method(),
                    request.target(),
                    request.headers(),
                    request.body().length,
                    request.workClass(),
                    request.idempotent(),
                    request.tenant(),
                    request.tenantWeight(),
                    request.priority(),
                    (int) Math.clamp(remaining, 0, Integer.MAX_VALUE),
                    request.requirements(),
                    mRemote.version() >= PeerMessage.ROUTE_VERSION ? request.route() : "");
        }

        private void sendBody(byte[] body) {
            int part = PeerMessage.MAXIMUM_BODY_PART_BYTES;
            for (int from = 0; from < body.length; from += part) {
                int until = Math.min(body.length, from + part);
                byte[] data = Arrays.copyOfRange(body, from, until);
                send(new PeerMessage.RequestBody(mStream, from, data));
            }
        }

        @Override
        public Optional<Submission> submission() {
            return Optional.of(ClientSession.this.submission());
        }

        @Override
        public void grantCredit(int bytes) {
            execute(
                    () -> {
                        if (mStreams.containsKey(mStream)) {
                            send(new PeerMessage.Credit(mStream, bytes));
                        }
                    });
        }

        @Override
        public void cancel() {
            execute(
                    () -> {
                        if (mStreams.remove(mStream) != null) {
                            send(new PeerMessage.Cancel(mStream));
                        }
                    });
        }
    }
}
