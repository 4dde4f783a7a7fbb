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
 * Table of the endpoints of the backend servers that announce themselves at this node, with their
 * states. Thread safe.
 */
public final class LocalEndpoints implements EndpointStates {
    private static final EventLogger LOGGER = EventLogger.forComponent("endpoints");
    private static final int FULL_WEIGHT_PERCENT = 100;
    // Enough for one departure a second for 17 minutes on one host, whereas late announcements
    // arrive within seconds.
    private static final int MAXIMUM_REMEMBERED_DEPARTURES = 1_024;

    private final RequestDialect mDialect;
    private final Function<String, RetryLimiter> mRetryLimiters;
    private final long mLeaseNanos;
    // Keyed by address, since a late announcement may come from an earlier server at this address.
    private final Map<InetSocketAddress, Announcement> mLatestAnnouncements =
            new ConcurrentHashMap<>();
    private final Set<ServerRun> mDepartedRuns = Collections.newSetFromMap(boundedMap());
    // Wall-clock time in milliseconds at which a backend server departed that had not announced
    // itself since this node started, by name of the server.
    private final Map<String, Long> mUnknownDepartures = boundedMap();
    // Announcements that arrived before the departures of the last run of this node are known.
    private final Map<String, Announcement> mHeldAnnouncements = boundedMap();
    private final DepartureListener mDepartures;
    private boolean mHolding;
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
     * @param clock time of announcements and departures
     * @param eventLoops event loops to which endpoints are confined
     * @param observations gets the evidence that requests give about the health of backend servers
     * @param queueLength largest number of requests that wait for one endpoint
     * @param dialect translates header fields
     * @param retryLimiters creates the limiter of repeated requests to an endpoint, by service name
     * @param lease time after which an announcement that is not renewed expires
     * @param departures told of each run of a backend server that departs
     */
    public LocalEndpoints(
            Clock clock,
            EventLoopGroup eventLoops,
            ObservationListener observations,
            int queueLength,
            RequestDialect dialect,
            Function<String, RetryLimiter> retryLimiters,
            Duration lease,
            DepartureListener departures) {
        mDepartures = departures;
        mDialect = dialect;
        mRetryLimiters = retryLimiters;
        mLeaseNanos = lease.toNanos();
        mQueueLength = queueLength;
        mClock = clock;
        mEventLoops = eventLoops;
        mObservations = observations;
    }

    /** Creates a map that keeps the newest {@link #MAXIMUM_REMEMBERED_DEPARTURES} entries. */
    private static <K, V> Map<K, V> boundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MAXIMUM_REMEMBERED_DEPARTURES;
            }
        };
    }

    /**
     * Sets the service to which endpoints are added and from which they are removed. Must be called
     * before the first announcement.
     *
     * @param home executes the requests of the endpoints
     */
    public void setHomeService(HomeService home) {
        mHome = home;
    }

    /**
     * Registers a listener for changes. Backend servers may announce themselves before the listener
     * is registered, so it first gets the present endpoints and their departures as changes.
     *
     * @param listener called after each change, on the thread that makes the change
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

    /** Holds announcements back until {@link #restoreDepartures}. */
    public synchronized void holdAnnouncements() {
        mHolding = true;
    }

    /**
     * Adds departures that an earlier run of this node has acknowledged, then handles the
     * announcements that were held back.
     *
     * @param departures latest start time of the runs that have departed, in milliseconds since the
     *     epoch, by name of the backend server
     */
    public synchronized void restoreDepartures(Map<String, Long> departures) {
        departures.forEach((server, start) -> mUnknownDepartures.merge(server, start, Math::max));
        mHolding = false;
        List<Announcement> held = List.copyOf(mHeldAnnouncements.values());
        mHeldAnnouncements.clear();
        held.forEach(this::announce);
    }

    /**
     * Handles an announcement: adds, renews or replaces an endpoint, or starts its departure. An
     * announcement that arrives after a newer one of the same address is logged and ignored.
     *
     * @param announcement the announcement
     */
    public synchronized void announce(Announcement announcement) {
        if (mHolding) {
            mHeldAnnouncements.put(announcement.id().backendServer(), announcement);
            return;
        }
        Announcement latest = mLatestAnnouncements.get(announcement.address());
        EndpointId id = announcement.id();
        if (latest != null && announcement.isOlderThan(latest)) {
            LOGGER.log(
                    Event.ANNOUNCEMENT_IGNORED,
                    id,
                    "it is older than the latest announcement of " + latest.id());
            return;
        }
        if (hasLaterRun(announcement)) {
            LOGGER.log(Event.ANNOUNCEMENT_IGNORED, id, "a later run of this server is known");
            return;
        }
        mLatestAnnouncements.put(announcement.address(), announcement);
        removeReplaced(announcement, latest);
        ServerRun run = new ServerRun(id, announcement.startMillis());
        if (announcement.draining()) {
            if (mEntries.containsKey(id)) {
                announce(id, announcement.address(), announcement.slots());
                startDeparture(id.backendServer());
            }
            addDepartedRun(run);
        } else if (!mDepartedRuns.contains(run) && !departedBefore(announcement)) {
            announce(id, announcement.address(), announcement.slots());
        }
    }

    /** Tells whether the same server has announced itself since with a later start time. */
    private boolean hasLaterRun(Announcement announcement) {
        return announcement.startMillis() > 0
                && mLatestAnnouncements.values().stream()
                        .filter(other -> other.id().equals(announcement.id()))
                        .anyMatch(other -> other.startMillis() > announcement.startMillis());
    }

    /**
     * Tells whether this run of the server departed before this node got its first announcement.
     */
    private boolean departedBefore(Announcement announcement) {
        Long departedMillis = mUnknownDepartures.get(announcement.id().backendServer());
        return departedMillis != null
                && announcement.startMillis() > 0
                && announcement.startMillis() <= departedMillis;
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
     * Adds an endpoint, or renews the announcement when address and slots are unchanged. An
     * endpoint with another address or another number of slots is replaced.
     *
     * @param id the endpoint
     * @param address address of its backend server
     * @param slots requests that the backend server executes at the same time
     */
    public synchronized void announce(EndpointId id, InetSocketAddress address, int slots) {
        Entry current = mEntries.get(id);
        boolean same =
                current != null
                        && current.mRuntime.address().equals(address)
                        && current.mRuntime.slots() == slots
                        && current.mState != EndpointState.LEFT;
        if (same) {
            current.mRenewedNanos = mClock.nanoTime();
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
                        mRetryLimiters.apply(id.service()));
        mEntries.put(id, new Entry(runtime, mClock.nanoTime()));
        mHome.addEndpoint(runtime);
        LOGGER.log(Event.ENDPOINT_ANNOUNCED, id, address, slots);
        notifyListeners(new Change.Announced(id));
    }

    /**
     * Starts the departure of a backend server. Listeners decide when its endpoints get no new
     * requests, and call {@link #remove} when their requests are finished.
     *
     * @param backendServer name of the backend server
     * @return number of its endpoints, 0 when it is not announced at this node
     */
    public synchronized int startDeparture(String backendServer) {
        List<EndpointId> departing =
                mEntries.keySet().stream()
                        .filter(id -> id.backendServer().equals(backendServer))
                        .toList();
        for (Announcement latest : mLatestAnnouncements.values()) {
            if (latest.id().backendServer().equals(backendServer)) {
                addDepartedRun(new ServerRun(latest.id(), latest.startMillis()));
            }
        }
        if (departing.isEmpty()) {
            long now = mClock.wallTimeMillis();
            mUnknownDepartures.put(backendServer, now);
            mDepartures.departed(backendServer, now);
        }
        for (EndpointId id : departing) {
            mEntries.get(id).mDeparting = true;
            notifyListeners(new Change.Departing(id));
        }
        return departing.size();
    }

    private void addDepartedRun(ServerRun run) {
        // Without a start time, the next run of the server could not be told from this one.
        if (run.startMillis() > 0 && mDepartedRuns.add(run)) {
            mDepartures.departed(run.id().backendServer(), run.startMillis());
        }
    }

    /** Removes endpoints whose announcement has expired. Must be called every 500 ms. */
    public synchronized void expire() {
        long now = mClock.nanoTime();
        List<EndpointId> expired = new ArrayList<>();
        mEntries.forEach(
                (id, entry) -> {
                    if (now - entry.mRenewedNanos > mLeaseNanos) {
                        expired.add(id);
                    }
                });
        expired.forEach(id -> remove(id, "did not renew its announcement"));
    }

    /**
     * Removes an endpoint. Dispatched requests finish; queued requests are refused.
     *
     * @param id the endpoint
     * @param reason reason for the log, such as "departed"; the log line starts with the endpoint
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
     * Changes the state of an endpoint. Does nothing when the endpoint does not exist.
     *
     * @param id the endpoint
     * @param state its new state
     * @param weightPercent share of requests relative to a healthy endpoint, 0 to 100
     */
    public void setState(EndpointId id, EndpointState state, int weightPercent) {
        Entry entry = mEntries.get(id);
        if (entry == null) {
            return;
        }
        entry.mState = state;
        if (state == EndpointState.DRAINING) {
            // Queued requests have not run. They would otherwise run after the departure takes
            // effect.
            entry.mRuntime.refuseQueued();
        }
        entry.mWeightPercent = weightPercent;
        notifyListeners(new Change.StateChanged(id));
    }

    /**
     * Describes all endpoints.
     *
     * @return one record for each endpoint, with its slots, state and weight
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
     * @return its runtime, or empty when it is not announced
     */
    public Optional<EndpointRuntime> find(EndpointId id) {
        return Optional.ofNullable(mEntries.get(id)).map(entry -> entry.mRuntime);
    }

    @Override
    public boolean accepts(EndpointId endpoint, boolean idempotent) {
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

    /** A change of the table, or a departure that has started. */
    public sealed interface Change {
        /**
         * An endpoint is new, or its address or number of slots has changed.
         *
         * @param id the endpoint
         */
        record Announced(EndpointId id) implements Change {}

        /**
         * The departure of an endpoint has started.
         *
         * @param id the endpoint
         */
        record Departing(EndpointId id) implements Change {}

        /**
         * An endpoint was removed.
         *
         * @param id the endpoint
         */
        record Left(EndpointId id) implements Change {}

        /**
         * The state or the weight of an endpoint has changed.
         *
         * @param id the endpoint
         */
        record StateChanged(EndpointId id) implements Change {}
    }

    /** Listens to departures, of which each run of a backend server has one. */
    @FunctionalInterface
    public interface DepartureListener {
        /**
         * Handles the start of a departure.
         *
         * @param backendServer name of the backend server
         * @param startMillis latest start time of the runs that depart, in milliseconds since the
         *     epoch
         */
        void departed(String backendServer, long startMillis);
    }

    /** Listens to changes of the table. */
    @FunctionalInterface
    public interface ChangeListener {
        /**
         * Handles a change.
         *
         * @param change what changed
         */
        void changed(Change change);
    }

    /** One run of a backend server, from its start to its stop. */
    private record ServerRun(EndpointId id, long startMillis) {}

    private static final class Entry {
        private final EndpointRuntime mRuntime;
        private volatile long mRenewedNanos;
        private volatile boolean mDeparting;
        private volatile EndpointState mState = EndpointState.STARTING;
        private volatile int mWeightPercent = FULL_WEIGHT_PERCENT;

        private Entry(EndpointRuntime runtime, long nowNanos) {
            mRuntime = runtime;
            mRenewedNanos = nowNanos;
        }
    }
}
