package org.arbutuslock.daemon.internal.home;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.store.LeaseResult;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WriteResult;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Keeps the departures of backend servers in the platform's store, because the memory of a node
 * ends with its process: after a restart a late announcement would bring a server back that has
 * left. Best effort: without the store a departure is remembered until the process ends. Thread
 * safe.
 *
 * <pre>{@code
 * DepartureLog log = new DepartureLog(store, "calgary-a-1");
 * log.record("orders-1", startMillis);
 * log.load().thenAccept(endpoints::restoreDepartures);
 * }</pre>
 */
final class DepartureLog {
    /** Prefix of the keys. The name of the node, a slash and the name of the server follow it. */
    static final String KEY_PREFIX = "arbutuslock/departed/";

    private static final EventLogger LOGGER = EventLogger.forComponent("endpoints");
    // Announcements arrive seconds late at most. A departure that is remembered for longer does no
    // harm, since the next run of the server has a later start time.
    private static final Duration RETENTION = Duration.ofSeconds(60);
    private static final int MAXIMUM_ENTRIES = 256;

    private final PlatformStore mStore;
    private final String mPrefix;

    /**
     * Creates a log.
     *
     * @param store store that outlives this process
     * @param node name of this node
     */
    DepartureLog(PlatformStore store, String node) {
        mStore = store;
        mPrefix = KEY_PREFIX + node + "/";
    }

    /**
     * Records that a run of a backend server has departed. Returns at once; a failure is logged.
     *
     * @param backendServer name of the server
     * @param startMillis latest start time of the runs that have departed, in milliseconds since
     *     the epoch
     */
    void record(String backendServer, long startMillis) {
        mStore.grantLease(RETENTION)
                .thenAccept(
                        result -> {
                            if (result instanceof LeaseResult.Granted(long lease, long duration)) {
                                write(backendServer, startMillis, lease, StoreEntry.ABSENT_VERSION);
                            } else {
                                LOGGER.log(Event.DEPARTURE_NOT_STORED, backendServer, result);
                            }
                        });
    }

    private void write(String backendServer, long startMillis, long lease, long expectedVersion) {
        byte[] value = Long.toString(startMillis).getBytes(StandardCharsets.US_ASCII);
        mStore.compareAndSwap(mPrefix + backendServer, expectedVersion, value, lease)
                .thenAccept(
                        result -> {
                            boolean isFirst = expectedVersion == StoreEntry.ABSENT_VERSION;
                            switch (result) {
                                case WriteResult.Applied applied -> {}
                                // An earlier run has departed within the retention.
                                case WriteResult.Conflict(long actual) when isFirst ->
                                        write(backendServer, startMillis, lease, actual);
                                default ->
                                        LOGGER.log(
                                                Event.DEPARTURE_NOT_STORED, backendServer, result);
                            }
                        });
    }

    /**
     * Reads the departures that were recorded before this process started.
     *
     * @return latest start time of the runs that have departed, in milliseconds since the epoch, by
     *     name of the server; empty when the store does not answer
     */
    CompletableFuture<Map<String, Long>> load() {
        return mStore.list(mPrefix, "", MAXIMUM_ENTRIES)
                .thenApply(
                        result ->
                                switch (result) {
                                    case ListResult.Page page -> read(page.entries());
                                    case ListResult.Unavailable unavailable -> Map.of();
                                });
    }

    private Map<String, Long> read(List<StoreEntry> entries) {
        Map<String, Long> departures = new HashMap<>();
        for (StoreEntry entry : entries) {
            String text = new String(entry.value(), StandardCharsets.US_ASCII);
            // Other text was left by another writer.
            if (text.matches("[0-9]{1,18}")) {
                departures.put(entry.key().substring(mPrefix.length()), Long.parseLong(text));
            }
        }
        return departures;
    }
}
