package org.arbutuslock.internal.execution;

import java.time.Duration;

/**
 * Limits of an {@link ExecutionLedger}.
 *
 * @param retention time for which the record of a finished request is kept
 * @param keptResponseBytes maximum size of a kept response
 * @param totalKeptBytes maximum size of all kept responses together
 * @param records maximum number of records
 * @param entryNodes maximum number of entry nodes for which the highest forgotten sequence is
 *     stored
 */
public record LedgerLimits(
        Duration retention,
        int keptResponseBytes,
        long totalKeptBytes,
        int records,
        int entryNodes) {
    private static final int RETENTION_SECONDS = 120;
    private static final int KEPT_RESPONSE_BYTES = 64 << 10;
    private static final long TOTAL_KEPT_BYTES = 64L << 20;
    // Enough for 2,000 requests/s over 120 s. A node of the largest fleet gets about 141
    // requests/s.
    private static final int RECORDS = 1 << 18;
    // Eight times the nodes of the largest fleet, since replaced nodes may come with new names.
    private static final int ENTRY_NODES = 1 << 16;

    /**
     * Returns the default limits.
     *
     * @return 120 s, 64 KiB for each response, 64 MiB for all responses, 262,144 records, 65,536
     *     entry nodes
     */
    public static LedgerLimits standard() {
        return new LedgerLimits(
                Duration.ofSeconds(RETENTION_SECONDS),
                KEPT_RESPONSE_BYTES,
                TOTAL_KEPT_BYTES,
                RECORDS,
                ENTRY_NODES);
    }
}
