package org.arbutuslock.internal.configuration.spread;

/**
 * State of {@link ConfigurationSpread} at one node, as operators see it.
 *
 * @param revision newest revision that this node sends to peers
 * @param watching true while this node holds a watcher slot with a valid lease
 * @param waitingChanges number of changes that arrived before an earlier change
 * @param downloadingRevision lowest accepted revision of the snapshot that is being downloaded, or
 *     0 when there is no download
 * @param refusals number of messages of peers that were refused since the node started
 * @param lastRefusal peer and reason of the newest refusal, or empty when there was none
 */
public record SpreadStatus(
        long revision,
        boolean watching,
        int waitingChanges,
        long downloadingRevision,
        long refusals,
        String lastRefusal) {}
