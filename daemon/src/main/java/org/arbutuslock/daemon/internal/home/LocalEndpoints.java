package org.arbutuslock.daemon.internal.home;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.admission.AdmissionSettings;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.retry.RetryLimiter;

/**
 * Endpoints of the backend servers that announce themselves at this node, with their states. Thread
 * safe.
 */
public final class LocalEndpoints implements EndpointStates {
    private static final EventLogger LOGGER = EventLogger.forComponent("endpoints");
    private static final int WHOLE_PERCENT = 100;
    // A departure a second for more than a quarter of an hour on one host.
    private static final int REMEMBERED_LIVES = 1_024;

    private final RequestDialect mDialect;
    private final Function<String, RetryLimiter> mRetryGates;
    private final long mLeaseNanos;
    // By address, since a late announcement may name a predecessor of the server that has it now.
    private final Map<InetSocketAddress, Announcement> mLatest = new ConcurrentHashMap<>();
    private final Set<Life> mDeparted = Collections.newSetFromMap(boundedMap());
    // Time of day at which backend servers left that this run of the node had not heard of.
    private final Map<String, Long> mLeftUnknown = boundedMap();
    private final Clock mClock;
    private final EventLoopGroup mEventLoops;
    private final ObservationListener mObservations;
    private final int mQueueLength;
    private final Map<EndpointId, Entry> mEntries = new ConcurrentHashMap<>();
    private final List<ChangeListener> mListeners = new CopyOnWriteArrayList<>();
    private HomeService mHome;

    /**
     * Creates an empty table.
     *
     * @param clock time of announcements
     * @param eventLoops event loops to which endpoints are confined
     * @param observations gets the evidence of finished requests
     * @param queueLength most requests that wait for one endpoint
     * @param dialect names of header fields
     * @param retryGates creates the gate of repeated requests for an endpoint of a service
     * @param lease time after which an announcement that is not renewed lapses
     */
    public LocalEndpoints(
            Clock clock,
            EventLoopGroup eventLoops,
            ObservationListener observations,
            int queueLength,
            RequestDialect dialect,
            Function<String, RetryLimiter> retryGates,
            Duration lease) {
        mDialect = dialect;
        mRetryGates = retryGates;
        mLeaseNanos = lease.toNanos();
        mQueueLength = queueLength;
        mClock = clock;
        mEventLoops = eventLoops;
        mObservations = observations;
    }

    /** Keeps the newest departures, since late announcements arrive within seconds. */
    private static <K, V> Map<K, V> boundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > REMEMBERED_LIVES;
            }
        };
    }

    /**
     * Sets where endpoints are added and removed. Call it before the first announcement.
     *
     * @param home home node's side of this process
     */
    public void connect(HomeService home) {
        mHome = home;
    }

    /**
     * Registers a listener for changes. Backend servers announce themselves from the moment at
     * which the node listens, so that it gets what was announced before, too.
     *
     * @param listener called after each change, on the thread that made it
     */
    public synchronized void addListener(ChangeListener listener) {
        mListeners.add(listener);
        mEntries.forEach(
                (id, entry) -> {
                    listener.changed(new Change.Announced(id));
                    if (entry.mDeparting) {
                        listener.changed(new Change.Departing(id));
                    }
                });
    }

    /**
     * Takes an announcement: adds, renews or replaces an endpoint, or starts its departure. One
     * that arrives after a newer one of the same address changes nothing.
     *
     * @param announcement what the backend server says
     */
    public synchronized void announce(Announcement announcement) {
        Announcement latest = mLatest.get(announcement.address());
        EndpointId id = announcement.id();
        if (latest != null && announcement.isOlderThan(latest)) {
            LOGGER.log(Event.ANNOUNCEMENT_IGNORED, id, "it is older than one of " + latest.id());
            return;
        }
        mLatest.put(announcement.address(), announcement);
        removeReplaced(announcement, latest);
        Life life = new Life(id, announcement.startMillis());
        if (announcement.draining()) {
            if (mEntries.containsKey(id)) {
                announce(id, announcement.address(), announcement.slots());
                startDeparture(id.backendServer());
            }
            mDeparted.add(life);
        } else if (!mDeparted.contains(life) && !leftBefore(announcement)) {
            announce(id, announcement.address(), announcement.slots());
        }
    }

    /** Tells whether this life left while the node, which had just started, did not know it. */
    private boolean leftBefore(Announcement announcement) {
        Long leftMillis = mLeftUnknown.get(announcement.id().backendServer());
        return leftMillis != null
                && announcement.startMillis() > 0
                && announcement.startMillis() <= leftMillis;
    }

    private void removeReplaced(Announcement announcement, Announcement latest) {
        if (latest == null) {
            return;
        }
        boolean restarted = latest.startMillis() != announcement.startMillis();
        if (restarted || !latest.id().equals(announcement.id())) {
            remove(latest.id(), "was replaced by " + announcement.id());
        }
    }

    /**
     * Adds an endpoint or renews its announcement.
     *
     * @param id the endpoint
     * @param address address of its backend server
     * @param slots requests that it works on at once
     */
    public synchronized void announce(EndpointId id, InetSocketAddress address, int slots) {
        Entry known = mEntries.get(id);
        boolean same =
                known != null
                        && known.mRuntime.address().equals(address)
                        && known.mRuntime.slots() == slots
                        && known.mState != EndpointState.LEFT;
        if (same) {
            known.mRenewedNanos = mClock.nanoTime();
            return;
        }
        EndpointRuntime runtime =
                new EndpointRuntime(
                        id,
                        address,
                        AdmissionSettings.forSlots(slots).withQueueCapacity(mQueueLength),
                        mEventLoops.next(),
                        mClock,
                        mObservations,
                        mDialect,
                        mRetryGates.apply(id.service()));
        mEntries.put(id, new Entry(runtime, mClock.nanoTime()));
        mHome.addEndpoint(runtime);
        LOGGER.log(Event.ENDPOINT_ANNOUNCED, id, address, slots);
        notifyListeners(new Change.Announced(id));
    }

    /**
     * Starts the departure of a backend server. Listeners decide when it gets no new work and
     * {@link #remove} it when its work is finished.
     *
     * @param backendServer name of the backend server
     * @return number of its endpoints
     */
    public synchronized int startDeparture(String backendServer) {
        List<EndpointId> departing =
                mEntries.keySet().stream()
                        .filter(id -> id.backendServer().equals(backendServer))
                        .toList();
        for (Announcement latest : mLatest.values()) {
            if (latest.id().backendServer().equals(backendServer)) {
                mDeparted.add(new Life(latest.id(), latest.startMillis()));
            }
        }
        if (departing.isEmpty()) {
            mLeftUnknown.put(backendServer, mClock.wallTimeMillis());
        }
        for (EndpointId id : departing) {
            mEntries.get(id).mDeparting = true;
            notifyListeners(new Change.Departing(id));
        }
        return departing.size();
    }

    /** Removes endpoints whose announcement has lapsed. Call it every 500 ms. */
    public synchronized void expire() {
        long now = mClock.nanoTime();
        List<EndpointId> lapsed = new ArrayList<>();
        mEntries.forEach(
                (id, entry) -> {
                    if (now - entry.mRenewedNanos > mLeaseNanos) {
                        lapsed.add(id);
                    }
                });
        lapsed.forEach(id -> remove(id, "did not renew its announcement"));
    }

    /**
     * Removes an endpoint. Requests in progress finish; queued ones are refused.
     *
     * @param id the endpoint
     * @param reason why, for the log
     */
    public synchronized void remove(EndpointId id, String reason) {
        if (mEntries.remove(id) == null) {
            return;
        }
        mHome.removeEndpoint(id);
        LOGGER.log(Event.ENDPOINT_LEFT, id, reason);
        notifyListeners(new Change.Left(id));
    }

    /**
     * Changes the state of an endpoint.
     *
     * @param id the endpoint
     * @param state its new state
     * @param weightPercent share of work relative to a healthy endpoint, 0 to 100
     */
    public void setState(EndpointId id, EndpointState state, int weightPercent) {
        Entry entry = mEntries.get(id);
        if (entry == null) {
            return;
        }
        entry.mState = state;
        if (state == EndpointState.DRAINING) {
            // What waits has not run, and would run after the departure takes effect.
            entry.mRuntime.refuseWaiting();
        }
        entry.mWeightPercent = weightPercent;
        notifyListeners(new Change.StateChanged(id));
    }

    /**
     * Describes all endpoints.
     *
     * @return one record each
     */
    public List<EndpointRecord> records() {
        return mEntries.values().stream()
                .map(
                        entry ->
                                new EndpointRecord(
                                        entry.mRuntime.id(),
                                        entry.mRuntime.slots(),
                                        entry.mState,
                                        entry.mWeightPercent))
                .toList();
    }

    /**
     * Finds an endpoint.
     *
     * @param id the endpoint
     * @return its runtime, or empty
     */
    public Optional<EndpointRuntime> find(EndpointId id) {
        return Optional.ofNullable(mEntries.get(id)).map(entry -> entry.mRuntime);
    }

    @Override
    public boolean takes(EndpointId endpoint, boolean idempotent) {
        Entry entry = mEntries.get(endpoint);
        if (entry == null) {
            return false;
        }
        boolean trial = entry.mState == EndpointState.TRIAL && idempotent;
        return entry.mState.takesWork() || trial;
    }

    private void notifyListeners(Change change) {
        mListeners.forEach(listener -> listener.changed(change));
    }

    /** What changed or is about to change. */
    public sealed interface Change {
        /**
         * An endpoint is new or has a new address.
         *
         * @param id the endpoint
         */
        record Announced(EndpointId id) implements Change {}

        /**
         * A backend server has announced its departure.
         *
         * @param id the endpoint
         */
        record Departing(EndpointId id) implements Change {}

        /**
         * An endpoint is gone.
         *
         * @param id the endpoint
         */
        record Left(EndpointId id) implements Change {}

        /**
         * An endpoint has another state or weight.
         *
         * @param id the endpoint
         */
        record StateChanged(EndpointId id) implements Change {}
    }

    /** Gets changes of the table. */
    @FunctionalInterface
    public interface ChangeListener {
        /**
         * Handles a change.
         *
         * @param change what changed
         */
        void changed(Change change);
    }

    /** One run of a backend server. */
    private record Life(EndpointId id, long startMillis) {}

    private static final class Entry {
        private final EndpointRuntime mRuntime;
        private volatile long mRenewedNanos;
        private volatile boolean mDeparting;
        private volatile EndpointState mState = EndpointState.STARTING;
        private volatile int mWeightPercent = WHOLE_PERCENT;

        private Entry(EndpointRuntime runtime, long nowNanos) {
            mRuntime = runtime;
            mRenewedNanos = nowNanos;
        }
    }
}
