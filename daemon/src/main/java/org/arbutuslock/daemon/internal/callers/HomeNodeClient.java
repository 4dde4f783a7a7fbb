package org.arbutuslock.daemon.internal.callers;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;
import org.arbutuslock.daemon.internal.exchange.Submission;
import org.arbutuslock.daemon.internal.sessions.HomeNode;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.internal.membership.NodeRecord;

/**
 * Submits requests to the home node of an endpoint, either within this process or over a session to
 * another node.
 */
public final class HomeNodeClient {
    private final LocalNode mLocalNode;
    private final HomeNode mLocalHome;
    private final PeerLinks mPeerLinks;
    private volatile long mLocalSession;

    /**
     * Creates a client and opens its session to the home node of this process.
     *
     * @param localNode identity of this node
     * @param localHome home node of this process
     * @param peerLinks sessions to other nodes
     */
    public HomeNodeClient(LocalNode localNode, HomeNode localHome, PeerLinks peerLinks) {
        mLocalNode = localNode;
        mLocalHome = localHome;
        mPeerLinks = peerLinks;
        openLocalSession();
    }

    /**
     * Opens the local session. The home node calls this method again when it has fenced the
     * session. The new session replaces the fenced one, just as another node reconnects after its
     * session was closed.
     */
    private void openLocalSession() {
        mLocalSession = mLocalHome.openSession(this::openLocalSession);
    }

    /** Submits a request; an isolated one shares no session with requests that are not. */
    Exchange submit(
            NodeRecord node,
            ExecutionRequest request,
            boolean isolated,
            ResponseListener listener) {
        if (isLocal(node.node())) {
            long session = mLocalSession;
            return new LocalExchange(
                    mLocalHome.submit(session, request, listener), localSubmission(session));
        }
        return mPeerLinks.submit(node.peerAddress(), node.node(), request, isolated, listener);
    }

    CompletableFuture<OutcomeReport> query(RequestId id, Submission submission) {
        if (isLocal(submission.node())) {
            return CompletableFuture.completedFuture(
                    mLocalHome.query(id, submission.incarnation(), submission.session()));
        }
        return mPeerLinks.query(id, submission);
    }

    void acknowledge(RequestId id, NodeRecord node) {
        if (isLocal(node.node())) {
            mLocalHome.acknowledge(id);
        } else {
            mPeerLinks.acknowledge(id, node.peerAddress());
        }
    }

    /** Returns the submission data of a request to the home node of this process. */
    private Submission localSubmission(long session) {
        return new Submission(
                mLocalNode.peerAddress(), mLocalNode.name(), mLocalNode.incarnation(), session);
    }

    private boolean isLocal(String node) {
        return node.equals(mLocalNode.name());
    }

    /** Adds the submission data to an exchange with the home node of this process. */
    private record LocalExchange(Exchange exchange, Submission localSubmission)
            implements Exchange {
        @Override
        public void grantCredit(int bytes) {
            exchange.grantCredit(bytes);
        }

        @Override
        public void cancel() {
            exchange.cancel();
        }

        @Override
        public Optional<Submission> submission() {
            return Optional.of(localSubmission);
        }
    }
}
