package org.arbutuslock.daemon.internal.sessions;

import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;

/** What the accepting end of a session needs from the home node's side. */
public interface HomeNode {
    /**
     * Opens a session in the execution ledger.
     *
     * @param onFenced closes the connection of the session when it is fenced
     * @return number of the session
     */
    long openSession(Runnable onFenced);

    /**
     * Fences a session: nothing that arrives on it is admitted from now on.
     *
     * @param session number of the session
     */
    void closeSession(long session);

    /**
     * Executes a request.
     *
     * @param session session on which it arrived
     * @param request the request
     * @param listener gets the response
     * @return handle of the request
     */
    Exchange submit(long session, ExecutionRequest request, ResponseListener listener);

    /**
     * Reports the outcome of a request after fencing its session.
     *
     * @param id id of the request
     * @param incarnation incarnation of this node to which it was submitted
     * @param fencedSession session on which it was submitted
     * @return what is known
     */
    OutcomeReport query(RequestId id, long incarnation, long fencedSession);

    /**
     * Frees the kept response of a request.
     *
     * @param id id of the request
     */
    void acknowledge(RequestId id);
}
