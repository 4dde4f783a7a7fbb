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
 * Sends requests, outcome queries and messages of plug-ins to other nodes, over one {@link
 * PeerLink} for each address. Thread safe.
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
    private final ChannelMessageDispatcher mMessageDispatcher;
    private final ConcurrentHashMap<String, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, PeerLink> mIsolatedLinks = new ConcurrentHashMap<>();

    /**
     * Creates an object without links; a link opens its connection on first use.
     *
     * @param eventLoops event loops of the connections
     * @param localNode identity of this node
     * @param clock time of heartbeats and retry delays
     * @param counts counters of the sessions
     * @param messageDispatcher dispatches the messages of plug-ins that arrive on these sessions
     */
    public PeerLinks(
            EventLoopGroup eventLoops,
            LocalNode localNode,
            Clock clock,
            SessionCounts counts,
            ChannelMessageDispatcher messageDispatcher) {
        mEventLoops = eventLoops;
        mLocalNode = localNode;
        mClock = clock;
        mCounts = counts;
        mMessageDispatcher = messageDispatcher;
    }

    /**
     * Submits a request to a home node. The listener gets a refusal when no session can be opened
     * or a node with another name has the address.
     *
     * @param peerAddress address of the home node
     * @param node expected name of the home node
     * @param request the request
     * @param isolated whether the request must share no session with requests that are not isolated
     * @param listener gets the response or a refusal, on any thread, possibly before this method
     *     returns
     * @return handle of the request
     */
    public Exchange submit(
            String peerAddress,
            String node,
            ExecutionRequest request,
            boolean isolated,
            ResponseListener listener) {
        DeferredExchange exchange = new DeferredExchange();
        link(isolated ? mIsolatedLinks : mLinks, peerAddress)
                .session()
                .whenComplete(
                        (session, error) -> {
                            if (error != null) {
                                listener.handle(connectFailed(peerAddress, error.getMessage()));
                            } else if (!session.remote().node().equals(node)) {
                                String found =
                                        "the address belongs to node " + session.remote().node();
                                listener.handle(connectFailed(peerAddress, found));
                            } else {
                                exchange.attach(() -> session.submit(request, listener));
                            }
                        });
        return exchange;
    }

    /**
     * Queries a home node for the outcome of a request, over a session other than the one on which
     * the request was submitted.
     *
     * @param id id of the request
     * @param submission where the request was submitted
     * @return the reply; fails when no session can be opened or the session closes before the reply
     */
    public CompletableFuture<OutcomeReport> query(RequestId id, Submission submission) {
        return link(submission.peerAddress())
                .session()
                .thenCompose(
                        session ->
                                session.query(id, submission.incarnation(), submission.session()));
    }

    /**
     * Tells a home node to free the kept response of a request. Best effort: the message is not
     * sent without a session, and the response also expires by time.
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
     * Sends a message of a plug-in. Best effort: the message is lost when no session can be opened.
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
     * Sends a message of a plug-in and reports whether it may have reached the other node.
     *
     * @param peerAddress address of the other node
     * @param node expected name of the other node
     * @param channel channel of the plug-in
     * @param payload encoded message
     * @param wanted called when a session is open; the message is not sent when it returns false,
     *     for example because a time limit has passed
     * @return empty when the message was passed to a session, otherwise why it was not sent
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
                                return Optional.of("the address belongs to node " + found);
                            }
                            if (!session.isOpen() || !wanted.getAsBoolean()) {
                                return Optional.of("the session was not open in time");
                            }
                            session.send(new PeerMessage.ChannelMessage(channel, payload));
                            return Optional.empty();
                        });
    }

    /** Closes the sessions of all links. Does not wait until they are closed. */
    public void close() {
        mLinks.values().forEach(PeerLink::close);
        mIsolatedLinks.values().forEach(PeerLink::close);
    }

    private PeerLink link(String peerAddress) {
        return link(mLinks, peerAddress);
    }

    private PeerLink link(ConcurrentHashMap<String, PeerLink> links, String peerAddress) {
        return links.computeIfAbsent(
                peerAddress,
                address ->
                        new PeerLink(
                                mEventLoops,
                                mLocalNode,
                                mClock,
                                mCounts,
                                address,
                                mMessageDispatcher));
    }

    private static ResponseEvent connectFailed(String peerAddress, String reason) {
        return new ResponseEvent.Refused(
                RefusalReason.CONNECT_FAILED,
                "connect to node at " + peerAddress + ": " + reason,
                LoadReport.UNKNOWN);
    }

    /**
     * Forwards calls to an exchange that is created when the session opens, and stores credit and
     * cancellation until then.
     */
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
