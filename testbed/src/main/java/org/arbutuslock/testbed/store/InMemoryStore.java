package org.arbutuslock.testbed.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.StoreEntry;

/**
 * Key-value store with leases, a change history and backups, all held in memory. Thread-safe.
 *
 * <pre>{@code
 * InMemoryStore store = new InMemoryStore(Clock.system());
 * store.compareAndSwap("a", StoreEntry.ABSENT_VERSION, value, PlatformStore.NO_LEASE);
 * }</pre>
 */
public final class InMemoryStore {
    private static final long MAXIMUM_PAGE_BYTES = 4L << 20;

    private final Clock mClock;
    private final TreeMap<String, StoreEntry> mEntries = new TreeMap<>();
    private final Map<String, Long> mLeaseOfKey = new HashMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final ChangeHistory mHistory = new ChangeHistory();
    private final List<BackupContents> mBackups = new ArrayList<>();
    private final List<Runnable> mChangeListeners = new CopyOnWriteArrayList<>();
    private long mStoreRevision;
    private long mLastLease;
    private int mRestoreCount;

    /**
     * Creates an empty store.
     *
     * @param clock clock by which leases expire
     */
    public InMemoryStore(Clock clock) {
        mClock = clock;
    }

    /**
     * Result of a conditional write or delete.
     *
     * @param applied false when the version of the key was not the expected one
     * @param version version of the key after the call; 0 when the key does not exist
     * @param storeRevision revision of the whole store after the call
     */
    public record Write(boolean applied, long version, long storeRevision) {}

    /**
     * One page of a list.
     *
     * @param entries entries in the order of their keys
     * @param more true when further entries follow this page
     * @param storeRevision revision of the whole store at the time of the call
     */
    public record Page(List<StoreEntry> entries, boolean more, long storeRevision) {}

    private record BackupContents(
            TreeMap<String, StoreEntry> entries,
            Map<String, Long> leaseOfKey,
            Map<Long, Lease> leases,
            long storeRevision) {}

    private record Lease(long durationNanos, long expiresAtNanos) {}

    /**
     * Reads one key.
     *
     * @param key full key
     * @return its entry, or empty when the key does not exist
     */
    public synchronized Optional<StoreEntry> read(String key) {
        expireLeases();
        return Optional.ofNullable(mEntries.get(key));
    }

    /**
     * Lists entries in the order of their keys.
     *
     * @param prefix prefix of the keys to list
     * @param startAfter key after which the page starts, or empty for the first page
     * @param limit maximum number of entries to return
     * @return a page with at most 4 MiB of values
     */
    public synchronized Page list(String prefix, String startAfter, int limit) {
        expireLeases();
        List<StoreEntry> page = new ArrayList<>();
        long bytes = 0;
        String from = startAfter.compareTo(prefix) > 0 ? startAfter : prefix;
        for (StoreEntry entry : mEntries.tailMap(from, !from.equals(startAfter)).values()) {
            if (!entry.key().startsWith(prefix)) {
                break;
            }
            bytes += entry.value().length;
            if (page.size() == limit || bytes > MAXIMUM_PAGE_BYTES) {
                return new Page(page, true, mStoreRevision);
            }
            page.add(entry);
        }
        return new Page(page, false, mStoreRevision);
    }

    /**
     * Writes a key if its version equals the expected version.
     *
     * @param key full key
     * @param expectedVersion version to replace, or 0 to create
     * @param value new value, which is not copied and must not be modified afterwards
     * @param lease lease with which the entry expires, or {@link PlatformStore#NO_LEASE}
     * @return whether the write was applied, and the version of the key
     * @throws IllegalStateException when the lease has expired or never existed
     */
    public synchronized Write compareAndSwap(
            String key, long expectedVersion, byte[] value, long lease) {
        expireLeases();
        if (lease != PlatformStore.NO_LEASE && !mLeases.containsKey(lease)) {
            throw new IllegalStateException(
                    "lease " + lease + " has expired or never existed; grant a new lease");
        }
        long version = versionOf(key);
        if (version != expectedVersion) {
            return new Write(false, version, mStoreRevision);
        }
        mStoreRevision++;
        StoreEntry entry = new StoreEntry(key, version + 1, mStoreRevision, value);
        mEntries.put(key, entry);
        mLeaseOfKey.remove(key);
        if (lease != PlatformStore.NO_LEASE) {
            mLeaseOfKey.put(key, lease);
        }
        publish(new StoreChange.Written(entry));
        return new Write(true, version + 1, mStoreRevision);
    }

    /**
     * Deletes a key if it exists and its version equals the expected version.
     *
     * @param key full key
     * @param expectedVersion version to delete
     * @return whether the delete was applied, and the version of the key
     */
    public synchronized Write delete(String key, long expectedVersion) {
        expireLeases();
        long version = versionOf(key);
        if (version != expectedVersion || version == StoreEntry.ABSENT_VERSION) {
            return new Write(false, version, mStoreRevision);
        }
        remove(key);
        return new Write(true, StoreEntry.ABSENT_VERSION, mStoreRevision);
    }

    /**
     * Creates a lease.
     *
     * @param duration time after which the lease expires unless it is renewed
     * @return number of the lease, which is never reused
     */
    public synchronized long grantLease(Duration duration) {
        expireLeases();
        mLastLease++;
        mLeases.put(mLastLease, newLease(duration.toNanos()));
        return mLastLease;
    }

    /**
     * Renews a lease for its full duration, counted from now.
     *
     * @param lease number of the lease
     * @return duration of the lease, or empty when it has expired or never existed
     */
    public synchronized Optional<Duration> renewLease(long lease) {
        expireLeases();
        Lease current = mLeases.get(lease);
        if (current == null) {
            return Optional.empty();
        }
        mLeases.put(lease, newLease(current.durationNanos()));
        return Optional.of(Duration.ofNanos(current.durationNanos()));
    }

    /** Removes all expired leases and deletes their entries in the order of their keys. */
    public synchronized void expireLeases() {
        long now = mClock.nanoTime();
        Set<Long> expired = new TreeSet<>();
        mLeases.forEach(
                (number, lease) -> {
                    if (now - lease.expiresAtNanos() >= 0) {
                        expired.add(number);
                    }
                });
        if (expired.isEmpty()) {
            return;
        }
        mLeases.keySet().removeAll(expired);
        List<String> keys =
                mLeaseOfKey.entrySet().stream()
                        .filter(pair -> expired.contains(pair.getValue()))
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        keys.forEach(this::remove);
    }

    /**
     * Returns the changes after a store revision.
     *
     * @param storeRevision store revision of the last change to leave out
     * @param limit maximum number of changes to return
     * @return changes in the order of their revisions, or empty when the history no longer holds
     *     all of them
     */
    public synchronized Optional<List<StoreChange>> changesAfter(long storeRevision, int limit) {
        return mHistory.changesAfter(storeRevision, limit);
    }

    /**
     * Returns the revision of the whole store.
     *
     * @return a number that each change raises by 1 and a restore sets back to that of the backup
     */
    public synchronized long storeRevision() {
        return mStoreRevision;
    }

    /**
     * Returns how often a backup was restored. A watch compares this number to detect a restore.
     *
     * @return number of restores since the start
     */
    public synchronized int restoreCount() {
        return mRestoreCount;
    }

    /**
     * Takes a backup of all entries, leases and the store revision. It is kept in memory.
     *
     * @return number of the backup, from 1
     */
    public synchronized int takeBackup() {
        mBackups.add(
                new BackupContents(
                        new TreeMap<>(mEntries),
                        Map.copyOf(mLeaseOfKey),
                        Map.copyOf(mLeases),
                        mStoreRevision));
        return mBackups.size();
    }

    /**
     * Replaces all entries and the store revision with those of a backup. Its leases start again
     * with their full duration. Lease numbers that were granted after the backup are not reused.
     *
     * @param number number of the backup
     * @return the store revision after the restore
     * @throws IllegalArgumentException when the backup does not exist
     */
    public synchronized long restoreBackup(int number) {
        if (number < 1 || number > mBackups.size()) {
            throw new IllegalArgumentException(
                    "backup " + number + " does not exist; backups taken: " + mBackups.size());
        }
        BackupContents contents = mBackups.get(number - 1);
        mEntries.clear();
        mEntries.putAll(contents.entries());
        mLeaseOfKey.clear();
        mLeaseOfKey.putAll(contents.leaseOfKey());
        contents.leases()
                .forEach((lease, old) -> mLeases.put(lease, newLease(old.durationNanos())));
        mStoreRevision = contents.storeRevision();
        mHistory.discardAfter(mStoreRevision);
        mRestoreCount++;
        mChangeListeners.forEach(Runnable::run);
        return mStoreRevision;
    }

    /**
     * Adds a listener that runs after every change and every restore.
     *
     * @param listener runs under the lock of the store, so it must not block
     */
    void addChangeListener(Runnable listener) {
        mChangeListeners.add(listener);
    }

    void removeChangeListener(Runnable listener) {
        mChangeListeners.remove(listener);
    }

    private Lease newLease(long durationNanos) {
        return new Lease(durationNanos, mClock.nanoTime() + durationNanos);
    }

    private long versionOf(String key) {
        StoreEntry entry = mEntries.get(key);
        return entry == null ? StoreEntry.ABSENT_VERSION : entry.version();
    }

    private void remove(String key) {
        mEntries.remove(key);
        mLeaseOfKey.remove(key);
        mStoreRevision++;
        publish(new StoreChange.Deleted(key, mStoreRevision));
    }

    private void publish(StoreChange change) {
        mHistory.add(change);
        mChangeListeners.forEach(Runnable::run);
    }
}
