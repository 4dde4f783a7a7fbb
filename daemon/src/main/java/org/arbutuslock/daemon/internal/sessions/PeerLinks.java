package org.arbutuslock.daemon.internal.sessions;

import io.netty.channel.EventLoopGroup;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;
import org.arbutuslock.daemon.internal.exchange.Submission;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.selection.LoadReport;

/**
 * Sends requests, queries and messages of plug-ins to other nodes.
 *
 * <pre>{@code
 * Exchange exchange = links.submit("127.0.0.1:7001", "calgary-a-2", request, listener);
 * }</pre>
 */
public final class PeerLinks {
    private final EventLoopGroup mEventLoops;
    private final LocalNode mLocalNode;
    private final Clock mClock;
    private final SessionCounts mCounts;
    private final ChannelMessageDispatcher mChannelMessages;
    private final ConcurrentHashMap<String, PeerLink> mLinks = new ConcurrentHashMap<>();

    /**
     * Creates links without opening connections.
     *
     * @param eventLoops event loops of the connections
     * @param localNode identity of this node
     * @param clock time of heartbeats and pauses
     * @param counts counts the sessions
     * @param channelMessages receivers of messages of plug-ins
     */
    public PeerLinks(
            EventLoopGroup eventLoops,
            LocalNode localNode,
            Clock clock,
            SessionCounts counts,
            ChannelMessageDispatcher channelMessages) {
        mEventLoops = eventLoops;
        mLocalNode = localNode;
        mClock = clock;
        mCounts = counts;
        mChannelMessages = channelMessages;
    }

    /**
     * Submits a request to a home node.
     *
     * @param peerAddress address of the home node
     * @param node expected name of the home node
     * @param request the request
     * @param listener gets the response
     * @return handle of the request
     */
    public Exchange submit(
            String peerAddress, String node, ExecutionRequest request, ResponseListener listener) {
        DeferredExchange exchange = new DeferredExchange();
        link(peerAddress)
                .session()
                .whenComplete(
                        (session, error) -> {
                            if (error != null) {
                                listener.handle(connectFailed(peerAddress, error.getMessage()));
                            } else if (!session.remote().node().equals(node)) {
                                String found = "found node " + session.remote().node();
                                listener.handle(connectFailed(peerAddress, found));
                            } else {
                                exchange.attach(() -> session.submit(request, listener));
                            }
                        });
        return exchange;
    }

    /**
     * Asks a home node for the outcome of a request, over a session other than the one on which it
     * was submitted.
     *
     * @param id id of the request
     * @param submission where it was submitted
     * @return the reply; fails when no session can be opened or it breaks
     */
    public CompletableFuture<OutcomeReport> query(RequestId id, Submission submission) {
        return link(submission.peerAddress())
                .session()
                .thenCompose(
                        session ->
                                session.query(id, submission.incarnation(), submission.session()));
    }

    /**
     * Frees the kept response of a request. Best effort: the response also expires by time.
     *
     * @param id id of the request
     * @param peerAddress address of the home node
     */
    public void acknowledge(RequestId id, String peerAddress) {
        PeerLink link = mLinks.get(peerAddress);
        if (link != null) {
            link.session().thenAccept(session -> session.send(new PeerMessage.Acknowledge(id)));
        }
    }

    /**
     * Sends a message of a plug-in. Best effort: it is lost when no session can be opened.
     *
     * @param peerAddress address of the other node
     * @param channel channel of the plug-in
     * @param payload encoded message
     */
    public void send(String peerAddress, PeerMessage.Channel channel, byte[] payload) {
        link(peerAddress)
                .session()
                .thenAccept(
                        session -> session.send(new PeerMessage.ChannelMessage(channel, payload)));
    }

    /**
     * Sends a message of a plug-in and tells whether it may have reached the other node.
     *
     * @param peerAddress address of the other node
     * @param node expected name of the other node
     * @param channel channel of the plug-in
     * @param payload encoded message
     * @param wanted asked once a session is open; the message is not sent when it is false
     * @return empty when the message was handed to a session, otherwise why it was not sent
     */
    public CompletableFuture<Optional<String>> trySend(
            String peerAddress,
            String node,
            PeerMessage.Channel channel,
            byte[] payload,
            BooleanSupplier wanted) {
        return link(peerAddress)
                .session()
                .handle(
                        (session, error) -> {
                            if (error != null) {
                                return Optional.of(error.getMessage());
                            }
                            String found = session.remote().node();
                            if (!found.equals(node)) {
                                return Optional.of("found node " + found);
                            }
                            if (!session.isOpen() || !wanted.getAsBoolean()) {
                                return Optional.of("the session was not open in time");
                            }
                            session.send(new PeerMessage.ChannelMessage(channel, payload));
                            return Optional.empty();
                        });
    }

    /** Closes all sessions. */
    public void close() {
        mLinks.values().forEach(PeerLink::close);
    }

    private PeerLink link(String peerAddress) {
        return mLinks.computeIfAbsent(
                peerAddress,
                address ->
                        new PeerLink(
                                mEventLoops,
                                mLocalNode,
                                mClock,
                                mCounts,
                                address,
                                mChannelMessages));
    }

    private static ResponseEvent connectFailed(String peerAddress, String reason) {
        return new ResponseEvent.Refused(
                RefusalReason.CONNECT_FAILED,
                "connect to node at " + peerAddress + ": " + reason,
                LoadReport.UNKNOWN);
    }

    /** Passes calls on to an exchange that exists only once the session is open. */
    private static final class DeferredExchange implements Exchange {
        private Optional<Exchange> mExchange = Optional.empty();
        private boolean mCancelled;
        private int mCredit;

        private synchronized void attach(Supplier<Exchange> submit) {
            if (mCancelled) {
                return;
            }
            Exchange exchange = submit.get();
            mExchange = Optional.of(exchange);
            if (mCredit > 0) {
                exchange.grantCredit(mCredit);
            }
        }

        @Override
        public synchronized Optional<Submission> submission() {
            return mExchange.flatMap(Exchange::submission);
        }

        @Override
        public synchronized void grantCredit(int bytes) {
            mExchange.ifPresentOrElse(
                    exchange -> exchange.grantCredit(bytes), () -> mCredit += bytes);
        }

        @Override
        public synchronized void cancel() {
            mCancelled = true;
            mExchange.ifPresent(Exchange::cancel);
        }
    }
}
