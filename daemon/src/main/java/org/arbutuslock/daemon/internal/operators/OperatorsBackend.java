package org.arbutuslock.daemon.internal.operators;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Result;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.DrainResponse;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.ExplainResponse;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.GetStatusResponse;
import org.arbutuslock.v1.HistoryResponse;
import org.arbutuslock.v1.Operation;
import org.arbutuslock.v1.TopResponse;
import org.arbutuslock.v1.WatchRevisionResponse;

/**
 * Operations that the gRPC service for operators calls on the node. Arguments have been checked.
 * Methods that return a future do not block; their futures do not complete exceptionally. The
 * service responds to a {@link Result.Failed} with the status {@code UNAVAILABLE} and the text of
 * its failure.
 */
public interface OperatorsBackend {
    /**
     * A change of the configuration.
     *
     * @param changeId id of the change; it is accepted at most once
     * @param author name of the operator who makes the change
     * @param baseRevision newest revision that the author has seen
     * @param operations operations on entities, at least one
     * @param timeout time until the outcome must be known
     */
    record ChangeRequest(
            String changeId,
            String author,
            long baseRevision,
            List<Operation> operations,
            Duration timeout) {}

    /**
     * A change that restores the entities of an earlier revision.
     *
     * @param changeId id of the change; it is accepted at most once
     * @param author name of the operator who makes the change
     * @param baseRevision newest revision that the author has seen
     * @param revision revision to restore
     * @param timeout time until the outcome must be known
     */
    record RollbackRequest(
            String changeId, String author, long baseRevision, long revision, Duration timeout) {}

    /**
     * One page of the entities of one kind.
     *
     * @param revision revision of the configuration
     * @param entities entities in the order of their names
     * @param more whether further entities follow after this page
     */
    record ConfigurationPage(long revision, List<Entity> entities, boolean more) {}

    /**
     * Adds a change to the change log.
     *
     * @param request the change
     * @return the outcome; unknown unless acceptance or refusal is certain
     */
    CompletableFuture<ChangeOutcome> applyChange(ChangeRequest request);

    /**
     * Adds a change that restores an earlier revision.
     *
     * @param request the change
     * @return the outcome; unknown unless acceptance or refusal is certain
     */
    CompletableFuture<ChangeOutcome> rollBack(RollbackRequest request);

    /**
     * Finds a change in the change log.
     *
     * @param changeId id of the change
     * @return the change, its absence, or that the store is unavailable
     */
    CompletableFuture<GetChangeResponse> findChange(String changeId);

    /**
     * Lists accepted changes of the change log.
     *
     * @param beforeRevision only revisions below this one, or 0 for the newest
     * @param limit maximum number of changes
     * @return changes, newest first
     */
    CompletableFuture<Result<HistoryResponse>> listChanges(long beforeRevision, int limit);

    /**
     * Reads one page of the configuration in force.
     *
     * @param kind kind of the entities
     * @param afterName name after which the page starts, or empty for the first page
     * @param limit maximum number of entities
     * @return entities in the order of their names
     */
    Result<ConfigurationPage> listEntities(EntityKind kind, String afterName, int limit);

    /**
     * Reads one entity of the configuration in force.
     *
     * @param kind kind of the entity
     * @param name name of the entity
     * @return a page with the entity, or an empty page when it does not exist
     */
    Result<ConfigurationPage> findEntity(EntityKind kind, String name);

    /**
     * Counts the nodes that have a revision in force.
     *
     * @param revision revision to look for
     * @return progress as this node sees it
     */
    Result<WatchRevisionResponse> measureProgress(long revision);

    /**
     * Lists nodes in the order of their names.
     *
     * @param service lists only nodes with an endpoint of this service; empty for all services
     * @param availabilityZone lists only nodes of this availability zone; empty for all zones
     * @param afterNode name of the node after which the page starts, or empty for the first page
     * @param limit maximum number of nodes
     * @return status; its page token is the name of the last node when more nodes follow
     */
    Result<GetStatusResponse> readStatus(
            String service, String availabilityZone, String afterNode, int limit);

    /**
     * Lists the ejection decisions about a backend server; its home node is asked for them.
     *
     * @param backendServer name of the backend server
     * @return decisions, newest first
     */
    CompletableFuture<Result<ExplainResponse>> explain(String backendServer);

    /**
     * Takes a backend server out of service.
     *
     * @param backendServer name of the backend server
     * @return the outcome; unknown when the home node got the request and did not reply in time
     */
    CompletableFuture<DrainResponse> drain(String backendServer);

    /**
     * Returns a drained backend server to service.
     *
     * @param backendServer name of the backend server
     * @return the outcome; unknown when the home node got the request and did not reply in time
     */
    CompletableFuture<DrainResponse> undrain(String backendServer);

    /**
     * Reads request rates and latencies of this node.
     *
     * @param service reads only this service; empty for all services
     * @param limit maximum number of rows
     * @return rows, those with the most requests first
     */
    Result<TopResponse> readTop(String service, int limit);
}
