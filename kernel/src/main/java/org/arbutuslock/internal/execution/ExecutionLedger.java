package org.arbutuslock.internal.execution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.RequestId;

/**
 * Records every request of one home node and decides what has not run. Thread safe.
 *
 * <pre>{@code
 * long session = ledger.openSession();
 * switch (ledger.admit(session, id)) {
 *     case AdmitResult.Admitted(ExecutionRecord record) -> enqueue(record);
 *     case AdmitResult.Duplicate duplicate -> drop();
 *     ...
 * }
 * }</pre>
 */
public final class ExecutionLedger {
    /** Serializes admission on a session with the fencing of that session. */
    private static final class Session {
        private boolean mFenced;
    }

    private final Clock mClock;
    private final long mIncarnation;
    private final LedgerLimits mLimits;
    private final boolean mFencing;
    private final long mStartNanos;
    private final ForgottenSequences mForgotten;
    private final AtomicLong mLastSession = new AtomicLong();
    private final AtomicLong mKeptBytes = new AtomicLong();
    private final ConcurrentHashMap<Long, Session> mOpenSessions = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, ExecutionRecord> mRecords =
            new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<ExecutionRecord> mFinished = new ConcurrentLinkedQueue<>();

    /**
     * Creates an empty ledger.
     *
     * @param clock time for retention
     * @param incarnation number of this run of the node
     * @param limits bounds of memory and retention
     */
    public ExecutionLedger(Clock clock, long incarnation, LedgerLimits limits) {
        this(clock, incarnation, limits, true);
    }

    /** Lets a test show that the history check detects missing fencing. */
    ExecutionLedger(Clock clock, long incarnation, LedgerLimits limits, boolean fencing) {
        mClock = clock;
        mIncarnation = incarnation;
        mLimits = limits;
        mFencing = fencing;
        mStartNanos = clock.nanoTime();
        mForgotten = new ForgottenSequences(limits.entryNodes());
    }

    /**
     * Opens a session.
     *
     * @return its number, which is never used again in this incarnation
     */
    public long openSession() {
        long session = mLastSession.incrementAndGet();
        mOpenSessions.put(session, new Session());
        return session;
    }

    /**
     * Ends a session: nothing that arrives on it is admitted from now on. Records that it admitted
     * earlier remain.
     *
     * @param session number of the session
     * @return true when the session was open
     */
    public boolean fenceSession(long session) {
        Session open = mFencing ? mOpenSessions.get(session) : null;
        if (open == null) {
            return false;
        }
        synchronized (open) {
            open.mFenced = true;
        }
        // Removed only now: another thread that finds no session may rely on the fence.
        return mOpenSessions.remove(session, open);
    }

    /**
     * Records a request that arrived on a session.
     *
     * @param session number of the session
     * @param id id of the request
     * @return admitted, or why the request must not be dispatched
     */
    public AdmitResult admit(long session, RequestId id) {
        Session open = mOpenSessions.get(session);
        if (open == null) {
            return new AdmitResult.SessionFenced();
        }
        // Before the session is locked, since expire() locks the ledger first.
        if (mRecords.mappingCount() >= mLimits.records() && !forgetOldest()) {
            fenceSession(session);
            return describeWithoutRecord(id);
        }
        synchronized (open) {
            return open.mFenced ? new AdmitResult.SessionFenced() : admitOpen(session, id);
        }
    }

    /**
     * Tells whether a session admits requests.
     *
     * @param session number of the session
     * @return false when it was fenced or never opened
     */
    public boolean isOpen(long session) {
        return mOpenSessions.containsKey(session);
    }

    private AdmitResult describeWithoutRecord(RequestId id) {
        ExecutionRecord existing = mRecords.get(id);
        if (existing != null) {
            return new AdmitResult.Duplicate(existing.state());
        }
        return mForgotten.mayCover(id) ? new AdmitResult.Forgotten() : new AdmitResult.LedgerFull();
    }

    private AdmitResult admitOpen(long session, RequestId id) {
        ExecutionRecord added = new ExecutionRecord(id, session, this);
        ExecutionRecord existing = mRecords.putIfAbsent(id, added);
        if (existing != null) {
            return new AdmitResult.Duplicate(existing.state());
        }
        // Checked after the insertion: the original's record may have been removed in between, and
        // its sequence is marked before the removal.
        if (mForgotten.covers(id)) {
            added.refuse(RefusalReason.FORGOTTEN);
            added.acknowledge();
            return new AdmitResult.Forgotten();
        }
        return new AdmitResult.Admitted(added);
    }

    /**
     * Says what happened to a request. A queued request is refused, so that the result is final.
     * When there is no record, the session on which the request may still arrive is fenced first. A
     * session whose request is recorded stays open, since other requests may use it.
     *
     * @param id id of the request
     * @param incarnation incarnation of this node to which the request was sent
     * @param sessionToFence session on which the request was sent
     * @return what is known
     */
    public QueryResult query(RequestId id, long incarnation, long sessionToFence) {
        if (incarnation != mIncarnation) {
            return new QueryResult.UnknownIncarnation();
        }
        ExecutionRecord record = mRecords.get(id);
        if (record == null) {
            fenceSession(sessionToFence);
            record = mRecords.get(id);
        }
        if (record == null) {
            return mForgotten.mayCover(id) ? new QueryResult.Forgotten() : new QueryResult.NotRun();
        }
        boolean late = mForgotten.covers(id);
        record.refuse(late ? RefusalReason.FORGOTTEN : RefusalReason.QUERIED);
        return describe(record);
    }

    private static QueryResult describe(ExecutionRecord record) {
        return switch (record.rawState()) {
            case RefusalReason reason when reason == RefusalReason.FORGOTTEN ->
                    new QueryResult.Forgotten();
            case RefusalReason reason -> new QueryResult.NotRun();
            case ExecutionState state when state == ExecutionState.DISPATCHED ->
                    new QueryResult.InProgress();
            case ExecutionState state when state == ExecutionState.FAILED ->
                    new QueryResult.Failed();
            case KeptResponse response -> new QueryResult.Answered(Optional.of(response));
            default -> new QueryResult.Answered(Optional.empty());
        };
    }

    /**
     * Releases the kept response of a finished request. The entry node acknowledges every final
     * outcome that it has received: response, refusal and unknown outcome. The record itself
     * remains for the retention time and recognizes late copies.
     *
     * @param id id of the request
     * @return true when the request was finished
     */
    public boolean acknowledge(RequestId id) {
        ExecutionRecord record = mRecords.get(id);
        if (record == null || !record.isFinal()) {
            return false;
        }
        release(record.acknowledge());
        return true;
    }

    /**
     * Forgets records that finished longer ago than the retention time. Call it every second.
     *
     * @return sessions that were fenced because they left an outcome unacknowledged for the whole
     *     retention time; their connections must be closed
     */
    public synchronized List<Long> expire() {
        List<Long> fenced = new ArrayList<>();
        int oldestKept = currentSecond() - (int) mLimits.retention().toSeconds();
        ExecutionRecord oldest = mFinished.peek();
        while (oldest != null && oldest.finishedSecond() <= oldestKept) {
            mFinished.poll();
            boolean expected = !oldest.isAcknowledged() && !oldest.isAbandoned();
            if (expected && fenceSession(oldest.session())) {
                fenced.add(oldest.session());
            }
            forget(oldest);
            oldest = mFinished.peek();
        }
        return fenced;
    }

    /** Makes room before the retention time has passed, oldest first, if that needs no fencing. */
    private synchronized boolean forgetOldest() {
        ExecutionRecord oldest = mFinished.peek();
        boolean removable =
                oldest != null
                        && (oldest.isAcknowledged()
                                || oldest.isAbandoned()
                                || !mOpenSessions.containsKey(oldest.session()));
        if (removable) {
            mFinished.poll();
            forget(oldest);
        }
        return removable;
    }

    private void forget(ExecutionRecord record) {
        mForgotten.add(record.id());
        mRecords.remove(record.id(), record);
        release(record.acknowledge());
    }

    /**
     * Returns the number of records, for metrics.
     *
     * @return records in all states
     */
    public long recordCount() {
        return mRecords.mappingCount();
    }

    /**
     * Returns the memory that kept responses occupy, for metrics.
     *
     * @return bytes
     */
    public long keptBytes() {
        return mKeptBytes.get();
    }

    int currentSecond() {
        return (int) TimeUnit.NANOSECONDS.toSeconds(mClock.nanoTime() - mStartNanos);
    }

    void retain(ExecutionRecord record) {
        mFinished.add(record);
    }

    boolean reserve(KeptResponse response) {
        int size = response.sizeBytes();
        if (size > mLimits.keptResponseBytes()) {
            return false;
        }
        if (mKeptBytes.addAndGet(size) > mLimits.totalKeptBytes()) {
            mKeptBytes.addAndGet(-size);
            return false;
        }
        return true;
    }

    void release(KeptResponse response) {
        if (response != null) {
            mKeptBytes.addAndGet(-response.sizeBytes());
        }
    }
}
