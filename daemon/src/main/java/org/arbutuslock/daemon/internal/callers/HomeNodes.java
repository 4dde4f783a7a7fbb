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

/** Reaches the home node of an endpoint: in this process or over a session. */
public final class HomeNodes {
    private final LocalNode mLocalNode;
    private final HomeNode mLocalHome;
    private final PeerLinks mLinks;
    private final long mLocalSession;

    /**
     * Creates access to all home nodes.
     *
     * @param localNode identity of this node
     * @param localHome home node's side of this process
     * @param links sessions to other nodes
     */
    public HomeNodes(LocalNode localNode, HomeNode localHome, PeerLinks links) {
        mLocalNode = localNode;
        mLocalHome = localHome;
        mLinks = links;
        mLocalSession = localHome.openSession(() -> {});
    }

    Exchange submit(NodeRecord node, ExecutionRequest request, ResponseListener listener) {
        if (isLocal(node.node())) {
            return new LocalExchange(
                    mLocalHome.submit(mLocalSession, request, listener), localSubmission());
        }
        return mLinks.submit(node.peerAddress(), node.node(), request, listener);
    }

    CompletableFuture<OutcomeReport> query(RequestId id, Submission submission) {
        if (isLocal(submission.node())) {
            long session = submission.session();
            // The local session lives as long as the node, so that it is never fenced.
            long fenced = session == mLocalSession ? 0 : session;
            return CompletableFuture.completedFuture(
                    mLocalHome.query(id, submission.incarnation(), fenced));
        }
        return mLinks.query(id, submission);
    }

    void acknowledge(RequestId id, NodeRecord node) {
        if (isLocal(node.node())) {
            mLocalHome.acknowledge(id);
        } else {
            mLinks.acknowledge(id, node.peerAddress());
        }
    }

    /** Describes where a request is submitted at this process's own home node. */
    private Submission localSubmission() {
        return new Submission(
                mLocalNode.peerAddress(),
                mLocalNode.name(),
                mLocalNode.incarnation(),
                mLocalSession);
    }

    private boolean isLocal(String node) {
        return node.equals(mLocalNode.name());
    }

    /** Adds to an exchange of this process where it was submitted. */
    private record LocalExchange(Exchange exchange, Submission local) implements Exchange {
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
            return Optional.of(local);
        }
    }
}
