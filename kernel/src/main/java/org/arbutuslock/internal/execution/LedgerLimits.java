package org.arbutuslock.internal.execution;

import java.time.Duration;

/**
 * Bounds of an {@link ExecutionLedger}.
 *
 * @param retention time for which a finished record is kept
 * @param keptResponseBytes largest response that is kept
 * @param totalKeptBytes largest sum of the kept responses
 * @param records largest number of records
 * @param entryNodes largest number of entry nodes whose forgotten sequences are remembered
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
    // 2,000 requests/s for 120 s; a node of the largest fleet takes about 141 requests/s.
    private static final int RECORDS = 1 << 18;
    // Eight times the nodes of the largest fleet, to allow for replaced nodes with new names.
    private static final int ENTRY_NODES = 1 << 16;

    /**
     * Returns the bounds that the design page sets.
     *
     * @return 120 s, 64 KiB a response, 64 MiB in all, 262,144 records
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
