package org.arbutuslock.internal.configuration.spread;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.store.LeaseResult;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.WriteResult;

/**
 * Access to the watcher slots of an availability zone in the platform's store, with the keys {@code
 * watchers/<availability zone>/<slot>}. A slot is held under a lease; its value is the name of the
 * node that holds it. Thread-safe.
 *
 * <pre>{@code
 * WatcherSlots slots = new WatcherSlots(store, "calgary-a", "calgary-a-1");
 * slots.claim(0, StoreEntry.ABSENT_VERSION).thenAccept(claim -> ...);
 * }</pre>
 */
public final class WatcherSlots {
    private static final int LISTED_SLOTS = 16;

    private final PlatformStore mStore;
    private final String mPrefix;
    private final byte[] mHolder;

    /**
     * Creates the access to the slots of an availability zone; does not call the store.
     *
     * @param store the platform's store
     * @param zone name of the availability zone
     * @param node name of this node, which operators see as the value of a slot
     */
    public WatcherSlots(PlatformStore store, String zone, String node) {
        mStore = store;
        mPrefix = "watchers/" + zone + "/";
        mHolder = node.getBytes(StandardCharsets.UTF_8);
    }

    /** Result of a claim. */
    public sealed interface Claim {
        /**
         * This node holds the slot.
         *
         * @param lease id of the lease under which it holds the slot
         */
        record Held(long lease) implements Claim {}

        /** Another node holds the slot. */
        record Taken() implements Claim {}

        /**
         * The store did not respond. If the store executed the claim anyway, the slot becomes free
         * when its lease expires without a renewal.
         */
        record Failed() implements Claim {}
    }

    /** Result of a renewal. */
    public enum Renewal {
        /** The lease is valid for its full duration again. */
        RENEWED,
        /** The lease has expired or was revoked. */
        EXPIRED,
        /** The store did not respond; the lease may still be valid. */
        FAILED
    }

    /**
     * Lists the slots that are taken.
     *
     * @return key version of each taken slot by slot number, or empty when the store did not
     *     respond
     */
    public CompletableFuture<Optional<Map<Integer, Long>>> list() {
        return mStore.list(mPrefix, "", LISTED_SLOTS)
                .thenApply(
                        result ->
                                result instanceof ListResult.Page page
                                        ? Optional.of(slotsOf(page))
                                        : Optional.empty());
    }

    private Map<Integer, Long> slotsOf(ListResult.Page page) {
        Map<Integer, Long> versions = new HashMap<>();
        for (int slot = 0; slot < WatcherElection.SLOTS; slot++) {
            String key = mPrefix + slot;
            int number = slot;
            page.entries().stream()
                    .filter(entry -> entry.key().equals(key))
                    .forEach(entry -> versions.put(number, entry.version()));
        }
        return versions;
    }

    /**
     * Claims a slot with a new lease.
     *
     * @param slot number of the slot
     * @param expectedVersion version that the key of the slot must have; {@link
     *     org.arbutuslock.api.store.StoreEntry#ABSENT_VERSION} for a free slot
     * @return result of the claim; store failures give {@link Claim.Failed}
     */
    public CompletableFuture<Claim> claim(int slot, long expectedVersion) {
        return mStore.grantLease(WatcherElection.LEASE_DURATION)
                .thenCompose(
                        result ->
                                result instanceof LeaseResult.Granted granted
                                        ? write(slot, expectedVersion, granted.lease())
                                        : CompletableFuture.completedFuture(new Claim.Failed()));
    }

    private CompletableFuture<Claim> write(int slot, long expectedVersion, long lease) {
        return mStore.compareAndSwap(mPrefix + slot, expectedVersion, mHolder, lease)
                .thenApply(
                        result ->
                                switch (result) {
                                    case WriteResult.Applied _ -> new Claim.Held(lease);
                                    case WriteResult.Conflict _ -> new Claim.Taken();
                                    case WriteResult.Unavailable _, WriteResult.Unknown _ ->
                                            new Claim.Failed();
                                });
    }

    /**
     * Renews a lease.
     *
     * @param lease id of the lease
     * @return result of the renewal; store failures give {@link Renewal#FAILED}
     */
    public CompletableFuture<Renewal> renew(long lease) {
        return mStore.renewLease(lease)
                .thenApply(
                        result ->
                                switch (result) {
                                    case LeaseResult.Granted _ -> Renewal.RENEWED;
                                    case LeaseResult.Expired _ -> Renewal.EXPIRED;
                                    case LeaseResult.Unavailable _ -> Renewal.FAILED;
                                });
    }
}
