package org.arbutuslock.internal.configuration.spread;

/**
 * State of the spread at one node.
 *
 * @param revision newest revision that this node spreads
 * @param watching true while this node watches the store
 * @param waitingChanges changes that wait for earlier ones
 * @param downloadingRevision revision of the snapshot that is being received, or 0
 * @param refusals messages of peers that were refused since the start
 * @param lastRefusal peer and reason of the newest refusal, or empty
 */
public record SpreadStatus(
        long revision,
        boolean watching,
        int waitingChanges,
        long downloadingRevision,
        long refusals,
        String lastRefusal) {}
