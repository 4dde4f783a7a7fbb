package org.arbutuslock.daemon.internal.rendezvous;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.store.LeaseResult;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WriteResult;
import org.arbutuslock.daemon.internal.fleet.FleetContacts;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.logging.LogRateLimiter;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.settings.AddressParser;

/**
 * Writes the address of this node under a lease into the platform's store and contacts some of the
 * nodes that are listed there and that this node does not know. Only the membership protocol
 * decides which nodes belong to the fleet, so no node leaves it while the store is unavailable. The
 * state is confined to one event loop.
 */
final class StoreRendezvous {
    /** Prefix of the keys under which nodes are listed. The name of the node follows it. */
    static final String KEY_PREFIX = "arbutuslock/nodes/";

    private static final EventLogger LOGGER = EventLogger.forComponent("rendezvous");
    private static final LogRateLimiter IGNORED_LINE_LIMIT = new LogRateLimiter(1);
    private static final int PAGE_SIZE = 500;
    // With three contacts a joining node very likely reaches a live node, even when a third of the
    // listed nodes no longer run.
    private static final int CONTACTS_PER_LIST = 3;
    // Longest time for which the entry of a node remains after the node has died. Contacting a dead
    // node fails without further effect.
    private static final Duration LEASE_DURATION = Duration.ofSeconds(30);
    // Once the store responds again to a node whose lease was revoked, the node writes its entry
    // again within this time.
    private static final long RENEWAL_INTERVAL_MILLIS = 1_500;
    private static final long RETRY_MILLIS = 400;
    // Separated parts of the fleet find each other again within this time.
    private static final long LIST_INTERVAL_NANOS = Duration.ofSeconds(20).toNanos();
    // Shorter for a node that knows no other node, since it cannot serve the endpoints of other
    // nodes until it finds them.
    private static final long ISOLATED_LIST_INTERVAL_NANOS = Duration.ofMillis(700).toNanos();

    private final PlatformStore mStore;
    private final LocalNode mLocalNode;
    private final FleetContacts mContacts;
    private final Supplier<FleetSnapshot> mFleet;
    private final Clock mClock;
    private final EventLoop mEventLoop;
    private long mLease = PlatformStore.NO_LEASE;
    private boolean mRegistered;
    private boolean mListed;
    private long mListedNanos;
    private boolean mStopped;

    StoreRendezvous(
            PlatformStore store,
            LocalNode localNode,
            FleetContacts contacts,
            Supplier<FleetSnapshot> fleet,
            Clock clock,
            EventLoop eventLoop) {
        mStore = store;
        mLocalNode = localNode;
        mContacts = contacts;
        mFleet = fleet;
        mClock = clock;
        mEventLoop = eventLoop;
    }

    /** Starts the first step. Safe on any thread. */
    void start() {
        mEventLoop.execute(this::step);
    }

    void stop() {
        mStopped = true;
    }

    private void step() {
        if (mStopped) {
            return;
        }
        if (mLease == PlatformStore.NO_LEASE) {
            mStore.grantLease(LEASE_DURATION).thenAccept(onEventLoop(this::leaseGranted));
        } else if (!mRegistered) {
            register(StoreEntry.ABSENT_VERSION);
        } else if (listIsDue()) {
            mStore.list(KEY_PREFIX, "", PAGE_SIZE).thenAccept(onEventLoop(this::listed));
        } else {
            mStore.renewLease(mLease).thenAccept(onEventLoop(this::renewed));
        }
    }

    private <T> Consumer<T> onEventLoop(Consumer<T> step) {
        return result -> mEventLoop.execute(() -> acceptSafely(step, result));
    }

    /** Handles a result. After a failure the next step follows, so that this node stays listed. */
    private <T> void acceptSafely(Consumer<T> step, T result) {
        try {
            step.accept(result);
        } catch (RuntimeException failure) {
            LOGGER.log(Event.RENDEZVOUS_STEP_FAILED, failure);
            scheduleStep(RETRY_MILLIS);
        }
    }

    private void scheduleStep(long millis) {
        long jitter = ThreadLocalRandom.current().nextLong(millis / 4 + 1);
        mEventLoop.schedule(this::step, millis + jitter, TimeUnit.MILLISECONDS);
    }

    private void leaseGranted(LeaseResult result) {
        if (result instanceof LeaseResult.Granted(long lease, long durationMillis)) {
            mLease = lease;
            step();
        } else {
            scheduleStep(RETRY_MILLIS);
        }
    }

    private void renewed(LeaseResult result) {
        switch (result) {
            case LeaseResult.Granted granted -> scheduleStep(RENEWAL_INTERVAL_MILLIS);
            case LeaseResult.Expired expired -> {
                LOGGER.log(Event.RENDEZVOUS_LEASE_LOST, mLocalNode.name());
                mLease = PlatformStore.NO_LEASE;
                mRegistered = false;
                mListed = false;
                step();
            }
            case LeaseResult.Unavailable unavailable -> scheduleStep(RETRY_MILLIS);
        }
    }

    private void register(long expectedVersion) {
        byte[] address = mLocalNode.peerAddress().getBytes(StandardCharsets.UTF_8);
        mStore.compareAndSwap(KEY_PREFIX + mLocalNode.name(), expectedVersion, address, mLease)
                .thenAccept(onEventLoop(this::registered));
    }

    private void registered(WriteResult result) {
        switch (result) {
            case WriteResult.Applied applied -> {
                mRegistered = true;
                step();
            }
            // The entry was written by an earlier run of this node and is replaced.
            case WriteResult.Conflict(long actual) when actual != StoreEntry.ABSENT_VERSION ->
                    register(actual);
            case WriteResult.Conflict absent -> scheduleStep(RETRY_MILLIS);
            case WriteResult.Unavailable unavailable -> {
                // The lease may have expired, which the store reports only on a renewal, so the
                // next step requests a new lease.
                mLease = PlatformStore.NO_LEASE;
                scheduleStep(RETRY_MILLIS);
            }
            case WriteResult.Unknown unknown -> scheduleStep(RETRY_MILLIS);
        }
    }

    private boolean listIsDue() {
        long age = mClock.nanoTime() - mListedNanos;
        boolean isolated = mFleet.get().nodes().size() <= 1;
        return !mListed || age > (isolated ? ISOLATED_LIST_INTERVAL_NANOS : LIST_INTERVAL_NANOS);
    }

    private void listed(ListResult result) {
        switch (result) {
            case ListResult.Page(List<StoreEntry> entries, boolean more, long revision) -> {
                mListed = true;
                mListedNanos = mClock.nanoTime();
                contact(entries);
                scheduleStep(delayAfterListMillis());
            }
            case ListResult.Unavailable unavailable -> scheduleStep(RETRY_MILLIS);
        }
    }

    private long delayAfterListMillis() {
        return mFleet.get().nodes().size() <= 1 ? RETRY_MILLIS : RENEWAL_INTERVAL_MILLIS;
    }

    private void contact(List<StoreEntry> entries) {
        List<StoreEntry> unknown = new ArrayList<>();
        for (StoreEntry entry : entries) {
            String node = entry.key().substring(KEY_PREFIX.length());
            if (node.isEmpty() || AddressParser.parse(address(entry)).isEmpty()) {
                logIgnored(entry);
            } else if (mFleet.get().findNode(node).isEmpty() && !node.equals(mLocalNode.name())) {
                unknown.add(entry);
            }
        }
        Collections.shuffle(unknown, ThreadLocalRandom.current());
        for (StoreEntry entry : unknown.subList(0, Math.min(CONTACTS_PER_LIST, unknown.size()))) {
            LOGGER.log(Event.RENDEZVOUS_CONTACT, entry.key(), address(entry), entries.size());
            mContacts.contact(address(entry));
        }
    }

    private static String address(StoreEntry entry) {
        return new String(entry.value(), StandardCharsets.UTF_8);
    }

    private void logIgnored(StoreEntry entry) {
        long leftOut = IGNORED_LINE_LIMIT.tryAcquire(mClock.nanoTime());
        if (leftOut != LogRateLimiter.SUPPRESSED) {
            LOGGER.log(
                    Event.STORE_ENTRY_IGNORED,
                    entry.key(),
                    "it does not name a node with an IP address and port",
                    leftOut);
        }
    }
}
