package org.arbutuslock.daemon.internal.sessions;

import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;

/**
 * The home node as the accepting end of a session sees it. All methods may be called by any thread.
 */
public interface HomeNode {
    /**
     * Opens a session in the execution ledger.
     *
     * @param onFenced called at most once, when the ledger fences the session; must close its
     *     connection
     * @return number of the session, never used again in this incarnation of the node
     */
    long openSession(Runnable onFenced);

    /**
     * Fences a session whose connection is closed: no request that arrives on it is admitted from
     * now on.
     *
     * @param session number of the session
     */
    void closeSession(long session);

    /**
     * Executes a request.
     *
     * @param session number of the session on which the request arrived
     * @param request the request
     * @param listener gets the response, possibly before this method returns
     * @return handle of the request
     */
    Exchange submit(long session, ExecutionRequest request, ResponseListener listener);

    /**
     * Reports the outcome of a request. A queued request is refused. When the request has no
     * record, its session is fenced first, so that a late copy of the request cannot run.
     *
     * @param id id of the request
     * @param incarnation incarnation of this node to which the request was submitted
     * @param fencedSession session on which the request was submitted, fenced when there is no
     *     record
     * @return the outcome, with the response when it is kept
     */
    OutcomeReport query(RequestId id, long incarnation, long fencedSession);

    /**
     * Frees the kept response of a request, because the entry node has received the outcome.
     *
     * @param id id of the request
     */
    void acknowledge(RequestId id);
}
