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
 * What the operators' service needs from the rest of the node. Arguments have been checked. Methods
 * that return a future do not block; their futures do not complete exceptionally. A {@link
 * Result.Failed} becomes the status {@code UNAVAILABLE} with the text of its failure.
 */
public interface OperatorsBackend {
    /**
     * A change of the configuration by operations.
     *
     * @param changeId id under which the change is accepted at most once
     * @param author who makes the change
     * @param baseRevision newest revision that the author has seen
     * @param operations what to change, at least one operation
     * @param timeout time until the outcome must be known
     */
    record ChangeRequest(
            String changeId,
            String author,
            long baseRevision,
            List<Operation> operations,
            Duration timeout) {}

    /**
     * Restores the entities of an earlier revision.
     *
     * @param changeId id under which the change is accepted at most once
     * @param author who makes the change
     * @param baseRevision newest revision that the author has seen
     * @param revision revision to restore
     * @param timeout time until the outcome must be known
     */
    record RollbackRequest(
            String changeId, String author, long baseRevision, long revision, Duration timeout) {}

    /**
     * Entities of one kind.
     *
     * @param revision revision of the configuration
     * @param entities entities in the order of their names
     * @param more true when entities follow after the last one
     */
    record ConfigurationPage(long revision, List<Entity> entities, boolean more) {}

    /**
     * Adds a change to the change log.
     *
     * @param request the change
     * @return the outcome; never a guess
     */
    CompletableFuture<ChangeOutcome> applyChange(ChangeRequest request);

    /**
     * Adds a change that restores an earlier revision.
     *
     * @param request the change
     * @return the outcome; never a guess
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
     * Lists accepted changes.
     *
     * @param beforeRevision only revisions below this one, or 0 for the newest
     * @param limit most changes
     * @return changes, newest first
     */
    CompletableFuture<Result<HistoryResponse>> listChanges(long beforeRevision, int limit);

    /**
     * Reads one page of the configuration in force.
     *
     * @param kind kind of the entities
     * @param afterName name after which the page starts, or empty for the first
     * @param limit most entities
     * @return entities in the order of their names
     */
    Result<ConfigurationPage> listEntities(EntityKind kind, String afterName, int limit);

    /**
     * Reads one entity of the configuration in force.
     *
     * @param kind kind of the entity
     * @param name name of the entity
     * @return a page with the entity, or without any when it does not exist
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
     * @param service only nodes with an endpoint of this service when not empty
     * @param availabilityZone only nodes of this availability zone when not empty
     * @param afterNode name of the node after which the page starts, or empty for the first
     * @param limit most nodes
     * @return status; its page token is the name of the last node when more nodes follow
     */
    Result<GetStatusResponse> readStatus(
            String service, String availabilityZone, String afterNode, int limit);

    /**
     * Lists decisions about a backend server, if necessary by asking its home node.
     *
     * @param backendServer name of the backend server
     * @return decisions, newest first
     */
    CompletableFuture<Result<ExplainResponse>> explain(String backendServer);

    /**
     * Takes a backend server out of service.
     *
     * @param backendServer name of the backend server
     * @return the outcome; never a guess
     */
    CompletableFuture<DrainResponse> drain(String backendServer);

    /**
     * Returns a drained backend server to service.
     *
     * @param backendServer name of the backend server
     * @return the outcome; never a guess
     */
    CompletableFuture<DrainResponse> undrain(String backendServer);

    /**
     * Reads request rates and latencies of this node.
     *
     * @param service only this service when not empty
     * @param limit most rows
     * @return rows with the most requests first
     */
    Result<TopResponse> readTop(String service, int limit);
}
