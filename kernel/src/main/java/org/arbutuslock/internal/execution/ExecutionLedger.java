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
 * Records every request at one home node, prevents a second dispatch of a request, and tells
 * whether a request has run. Thread safe.
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
    /**
     * Lock that makes admission on a session and the fencing of that session mutually exclusive.
     */
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
     * @param clock clock of the retention time
     * @param incarnation incarnation of this node
     * @param limits limits of memory and retention
     */
    public ExecutionLedger(Clock clock, long incarnation, LedgerLimits limits) {
        this(clock, incarnation, limits, true);
    }

    /**
     * Creates a ledger that does not fence sessions, if {@code fencing} is false. Only for a test
     * that shows that missing fencing is detected.
     */
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
     * @return number of the session, unique in this incarnation
     */
    public long openSession() {
        long session = mLastSession.incrementAndGet();
        mOpenSessions.put(session, new Session());
        return session;
    }

    /**
     * Fences a session: no request that arrives on it is admitted any more. Records of requests
     * that were admitted on it remain.
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
        // Removed after the fence is set, since a thread that finds no session relies on the fence.
        return mOpenSessions.remove(session, open);
    }

    /**
     * Records a request that arrived on a session.
     *
     * @param session number of the session
     * @param id id of the request
     * @return the new record, or why the request must not be dispatched
     */
    public AdmitResult admit(long session, RequestId id) {
        Session open = mOpenSessions.get(session);
        if (open == null) {
            return new AdmitResult.SessionFenced();
        }
        // Before the session is locked, to avoid a deadlock: expire() locks the ledger first and
        // then the session.
        if (mRecords.mappingCount() >= mLimits.records() && !removeOldest()) {
            fenceSession(session);
            return describeWithoutRecord(id);
        }
        synchronized (open) {
            return open.mFenced ? new AdmitResult.SessionFenced() : admitOpen(session, id);
        }
    }

    /**
     * Returns whether a session admits requests.
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
        // Checked after the insertion: the record of the original may have been removed just
        // before, and its sequence is added to mForgotten before the removal.
        if (mForgotten.covers(id)) {
            added.refuse(RefusalReason.FORGOTTEN);
            added.acknowledge();
            return new AdmitResult.Forgotten();
        }
        return new AdmitResult.Admitted(added);
    }

    /**
     * Returns what happened to a request. A queued request is refused, so that the result is final.
     * If there is no record, the session on which the request may still arrive is fenced first. If
     * there is a record, the session stays open, since other requests may use it.
     *
     * @param id id of the request
     * @param incarnation incarnation of this node to which the request was sent
     * @param sessionToFence session on which the request was sent
     * @return known outcome of the request
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
     * outcome that it has received: response, refusal or unknown outcome. The record itself remains
     * for the retention time, so that late copies are recognized.
     *
     * @param id id of the request
     * @return true when the request has a record and is finished
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
     * Removes records that finished longer ago than the retention time. Must be called every
     * second.
     *
     * @return sessions that were fenced because an outcome on them was not acknowledged within the
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
            removeRecord(oldest);
            oldest = mFinished.peek();
        }
        return fenced;
    }

    /**
     * Removes the record that finished first, before its retention time has passed, to make room.
     * Does nothing if that would require fencing an open session. Returns whether it was removed.
     */
    private synchronized boolean removeOldest() {
        ExecutionRecord oldest = mFinished.peek();
        boolean removable =
                oldest != null
                        && (oldest.isAcknowledged()
                                || oldest.isAbandoned()
                                || !mOpenSessions.containsKey(oldest.session()));
        if (removable) {
            mFinished.poll();
            removeRecord(oldest);
        }
        return removable;
    }

    private void removeRecord(ExecutionRecord record) {
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
     * Returns the total size of the kept responses, for metrics.
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
