package org.arbutuslock.daemon.internal.sessions;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.messages.MessageSubject;
import org.arbutuslock.internal.messages.OutcomeState;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.selection.LoadReport;

/**
 * The accepting end of a session: receives the requests of one entry node, executes them at this
 * home node and sends the responses. Confined to the event loop of its channel, except the events
 * of responses, which arrive on the event loops of endpoints.
 */
final class ServerSession extends PeerChannel {
    private static final EventLogger LOGGER = EventLogger.forComponent("sessions");
    private static final int MAXIMUM_STREAMS = 16_384;

    private final LocalNode mLocalNode;
    private final Clock mClock;
    private final HomeNode mHomeNode;
    private final ChannelMessageDispatcher mMessageDispatcher;
    private final Map<Long, IncomingRequest> mIncomingRequests = new HashMap<>();
    private final Map<Long, Exchange> mExchanges = new HashMap<>();
    private String mPeerName = "";
    private long mSession;
    private long mLastStream;

    ServerSession(
            LocalNode localNode,
            Clock clock,
            SessionCounts counts,
            HomeNode homeNode,
            ChannelMessageDispatcher messageDispatcher) {
        super(clock, counts);
        mLocalNode = localNode;
        mClock = clock;
        mHomeNode = homeNode;
        mMessageDispatcher = messageDispatcher;
    }

    @Override
    void handle(PeerMessage message) {
        if (mPeerName.isEmpty()) {
            completeHello(message);
            return;
        }
        switch (message) {
            case PeerMessage.Submit submit -> receiveSubmit(submit);
            case PeerMessage.RequestBody part -> receiveBody(part);
            case PeerMessage.Credit(long stream, int bytes) -> {
                Exchange exchange = mExchanges.get(stream);
                if (exchange != null) {
                    exchange.grantCredit(bytes);
                }
            }
            case PeerMessage.Cancel(long stream) -> cancel(stream);
            case PeerMessage.OutcomeQuery query -> reply(query);
            case PeerMessage.Acknowledge acknowledge ->
                    mHomeNode.acknowledge(acknowledge.requestId());
            case PeerMessage.ChannelMessage channelMessage ->
                    dispatch(mMessageDispatcher, channelMessage);
            case PeerMessage.Hello duplicate -> {}
            default -> close("unexpected message " + message.getClass().getSimpleName());
        }
    }

    private void completeHello(PeerMessage message) {
        if (!(message instanceof PeerMessage.Hello hello)) {
            close("the first message must be Hello, read " + message.getClass().getSimpleName());
            return;
        }
        mPeerName = hello.node();
        setPeerLocation(mLocalNode, hello.region(), hello.availabilityZone());
        mSession = mHomeNode.openSession(() -> close("the session is fenced"));
        int version = Math.min(hello.highestVersion(), HIGHEST_VERSION);
        PeerMessage reply =
                new PeerMessage.HelloReply(
                        version,
                        mLocalNode.name(),
                        mLocalNode.incarnation(),
                        mSession,
                        mLocalNode.region(),
                        mLocalNode.availabilityZone());
        if (hello.lowestVersion() > HIGHEST_VERSION || version < LOWEST_VERSION) {
            closeAfter(
                    reply,
                    "protocol versions "
                            + hello.lowestVersion()
                            + " to "
                            + hello.highestVersion()
                            + ", allowed "
                            + LOWEST_VERSION
                            + " to "
                            + HIGHEST_VERSION);
            return;
        }
        LOGGER.log(Event.SESSION_ACCEPTED, mPeerName, hello.incarnation(), mSession);
        send(reply);
    }

    private void receiveSubmit(PeerMessage.Submit submit) {
        if (submit.stream() <= mLastStream) {
            LOGGER.log(Event.DUPLICATE_FRAME, mPeerName, submit.stream(), mLastStream);
            return;
        }
        mLastStream = submit.stream();
        if (mExchanges.size() + mIncomingRequests.size() >= MAXIMUM_STREAMS) {
            refuse(
                    submit.stream(),
                    RefusalReason.LEDGER_FULL,
                    "more than " + MAXIMUM_STREAMS + " open streams");
            return;
        }
        IncomingRequest incoming = new IncomingRequest(submit);
        mIncomingRequests.put(submit.stream(), incoming);
        incoming.startIfComplete();
    }

    private void receiveBody(PeerMessage.RequestBody part) {
        IncomingRequest incoming = mIncomingRequests.get(part.stream());
        // A duplicate of a frame has a lower position, or arrives after the last part, when the
        // request is no longer incoming.
        if (incoming == null || part.position() < incoming.mLength) {
            return;
        }
        if (part.position() > incoming.mLength) {
            abandon(part.stream(), describeGap(part.stream(), part.position(), incoming.mLength));
            return;
        }
        incoming.append(part.data());
    }

    private void cancel(long stream) {
        mIncomingRequests.remove(stream);
        Exchange exchange = mExchanges.remove(stream);
        if (exchange != null) {
            exchange.cancel();
            dropBody(stream);
        }
    }

    private void reply(PeerMessage.OutcomeQuery query) {
        OutcomeReport report =
                mHomeNode.query(query.requestId(), query.incarnation(), query.fencedSession());
        send(new PeerMessage.OutcomeReply(query.query(), report.state(), report.response()));
    }

    @Override
    void handleUnreadable(MessageSubject subject, String problem) {
        if (mPeerName.isEmpty()) {
            close("the first message must be Hello: " + problem);
            return;
        }
        switch (subject) {
            case MessageSubject.Submission(long stream) -> {
                if (stream > mLastStream) {
                    mLastStream = stream;
                    refuse(stream, RefusalReason.NOT_TRANSMITTED, problem);
                }
            }
            case MessageSubject.Stream(long stream) -> abandon(stream, problem);
            // Without a reply the other node would wait until the deadline of the request.
            case MessageSubject.Query(long query) ->
                    send(
                            new PeerMessage.OutcomeReply(
                                    query, OutcomeState.FORGOTTEN, Optional.empty()));
            case MessageSubject.Handshake duplicate -> {}
            case MessageSubject.Other other -> {}
        }
    }

    @Override
    void handleFailure(MessageSubject subject, String problem) {
        switch (subject) {
            case MessageSubject.Submission(long stream) -> failExchange(stream, problem);
            case MessageSubject.Stream(long stream) -> failExchange(stream, problem);
            case MessageSubject.Query query -> handleUnreadable(query, problem);
            case MessageSubject.Handshake handshake -> close("Hello: " + problem);
            case MessageSubject.Other other -> {}
        }
    }

    @Override
    void handleUnsent(PeerMessage message, String problem) {
        switch (message) {
            case PeerMessage.ResponseHead head ->
                    failExchange(head.stream(), "the response head could not be sent: " + problem);
            case PeerMessage.OutcomeReply reply ->
                    send(
                            new PeerMessage.OutcomeReply(
                                    reply.query(),
                                    OutcomeState.ANSWERED_NOT_KEPT,
                                    Optional.empty()));
            default -> {}
        }
    }

    /**
     * Ends a request of which a message is missing. It is refused if its body is incomplete, since
     * it was not started then; otherwise its outcome is unknown.
     */
    private void abandon(long stream, String problem) {
        if (mIncomingRequests.remove(stream) != null) {
            refuse(stream, RefusalReason.NOT_TRANSMITTED, problem);
        } else if (mExchanges.containsKey(stream)) {
            failExchange(stream, problem);
        }
    }

    private void refuse(long stream, RefusalReason reason, String detail) {
        send(new PeerMessage.Refusal(stream, reason, detail, LoadReport.UNKNOWN));
    }

    private void failExchange(long stream, String problem) {
        cancel(stream);
        send(new PeerMessage.OutcomeUnknown(stream, problem, LoadReport.UNKNOWN));
    }

    private void forward(StreamListener listener, ResponseEvent event) {
        long stream = listener.mStream;
        switch (event) {
            case ResponseEvent.Head head ->
                    send(
                            new PeerMessage.ResponseHead(
                                    stream, head.status(), head.headers(), head.load()));
            case ResponseEvent.Body(byte[] data, boolean last) -> sendParts(listener, data, last);
            case ResponseEvent.Refused refused -> {
                finish(stream);
                send(
                        new PeerMessage.Refusal(
                                stream, refused.reason(), refused.detail(), refused.load()));
            }
            case ResponseEvent.OutcomeUnknown(String detail, var load) -> {
                finish(stream);
                send(new PeerMessage.OutcomeUnknown(stream, detail, load));
            }
            case ResponseEvent.SessionLost lost ->
                    throw new IllegalStateException(
                            "a home node never reports SessionLost, which only an entry node sees");
        }
    }

    private void sendParts(StreamListener listener, byte[] data, boolean last) {
        long stream = listener.mStream;
        long position = listener.mSentBytes;
        listener.mSentBytes += data.length;
        int part = PeerMessage.MAXIMUM_BODY_PART_BYTES;
        int from = 0;
        while (data.length - from > part) {
            byte[] slice = Arrays.copyOfRange(data, from, from + part);
            send(new PeerMessage.ResponseBody(stream, position + from, slice, false));
            from += part;
        }
        byte[] rest = from == 0 ? data : Arrays.copyOfRange(data, from, data.length);
        if (last) {
            finish(stream);
        }
        send(new PeerMessage.ResponseBody(stream, position + from, rest, last));
    }

    /** Removes the exchange of a stream. Body parts that are queued are still sent. Any thread. */
    private void finish(long stream) {
        if (channel().eventLoop().inEventLoop()) {
            mExchanges.remove(stream);
        } else {
            channel().eventLoop().execute(() -> mExchanges.remove(stream));
        }
    }

    @Override
    void closed(String reason) {
        if (!mPeerName.isEmpty()) {
            mHomeNode.closeSession(mSession);
        }
        mIncomingRequests.clear();
        mExchanges.values().forEach(Exchange::cancel);
        mExchanges.clear();
    }

    @Override
    boolean isBusy() {
        return !mExchanges.isEmpty() || mPeerName.isEmpty();
    }

    @Override
    boolean closesWhenIdle() {
        return false;
    }

    @Override
    void handleSuspicion() {}

    @Override
    String peerName() {
        return mPeerName.isEmpty() ? String.valueOf(channel().remoteAddress()) : mPeerName;
    }

    /** A request whose body is not complete yet. */
    private final class IncomingRequest {
        private final PeerMessage.Submit mSubmit;
        private final long mDeadlineNanos;
        private byte[] mBody = new byte[0];
        private int mLength;

        private IncomingRequest(PeerMessage.Submit submit) {
            mSubmit = submit;
            mDeadlineNanos =
                    mClock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(submit.remainingMillis());
        }

        private void append(byte[] data) {
            if (mLength + data.length > mSubmit.bodyBytes()) {
                abandon(mSubmit.stream(), "the body is longer than Submit announced");
                return;
            }
            if (mBody.length < mLength + data.length) {
                int doubled = Math.max(mLength + data.length, mBody.length * 2);
                mBody = Arrays.copyOf(mBody, Math.min(mSubmit.bodyBytes(), doubled));
            }
            System.arraycopy(data, 0, mBody, mLength, data.length);
            mLength += data.length;
            startIfComplete();
        }

        private void startIfComplete() {
            if (mLength < mSubmit.bodyBytes()) {
                return;
            }
            long stream = mSubmit.stream();
            mIncomingRequests.remove(stream);
            StreamListener listener = new StreamListener(stream);
            Exchange exchange = mHomeNode.submit(mSession, toRequest(), listener);
            if (!listener.isFinished()) {
                mExchanges.put(stream, exchange);
                becameBusy();
            }
        }

        private ExecutionRequest toRequest() {
            return new ExecutionRequest(
                    mSubmit.requestId(),
                    mSubmit.endpoint(),
                    mSubmit.method(),
                    mSubmit.target(),
                    mSubmit.headers(),
                    mBody,
                    mSubmit.workClass(),
                    mSubmit.idempotent(),
                    mSubmit.tenant(),
                    mSubmit.tenantWeight(),
                    mSubmit.priority(),
                    mDeadlineNanos,
                    mSubmit.requirements(),
                    mSubmit.route());
        }
    }

    /**
     * Sends the events of one response. Records its end, since a response can finish before {@link
     * HomeNode#submit} returns the exchange; such an exchange must not be registered.
     */
    private final class StreamListener implements ResponseListener {
        private final long mStream;
        private long mSentBytes;
        private volatile boolean mFinished;

        private StreamListener(long stream) {
            mStream = stream;
        }

        private boolean isFinished() {
            return mFinished;
        }

        @Override
        public void handle(ResponseEvent event) {
            boolean more =
                    event instanceof ResponseEvent.Head
                            || event instanceof ResponseEvent.Body(byte[] data, boolean last)
                                    && !last;
            mFinished = !more;
            forward(this, event);
        }
    }
}
