package org.arbutuslock.internal.execution;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.util.Optional;
import org.arbutuslock.api.RequestId;

/**
 * Record of one request at its home node. Each transition happens at most once and reports whether
 * it happened; a caller that gets {@code false} must not act on it.
 *
 * <pre>{@code
 * if (record.markDispatched()) {
 *     connection.write(request);
 * }
 * }</pre>
 */
public final class ExecutionRecord {
    private static final VarHandle STATE = findStateHandle();

    private final RequestId mId;
    private final long mSession;
    private final ExecutionLedger mLedger;
    // ExecutionState, RefusalReason (refused) or KeptResponse (answered and kept). One field, so
    // that the state and what belongs to it change together.
    private volatile Object mState = ExecutionState.QUEUED;
    private volatile int mFinishedSecond;
    private volatile boolean mAcknowledged;
    private volatile boolean mAbandoned;

    ExecutionRecord(RequestId id, long session, ExecutionLedger ledger) {
        mId = id;
        mSession = session;
        mLedger = ledger;
    }

    private static VarHandle findStateHandle() {
        try {
            return MethodHandles.lookup()
                    .findVarHandle(ExecutionRecord.class, "mState", Object.class);
        } catch (ReflectiveOperationException impossible) {
            throw new ExceptionInInitializerError(impossible);
        }
    }

    /**
     * Returns the request's id.
     *
     * @return id under which the ledger keeps this record
     */
    public RequestId id() {
        return mId;
    }

    /**
     * Returns the session on which the request arrived.
     *
     * @return number from {@link ExecutionLedger#openSession()}
     */
    public long session() {
        return mSession;
    }

    /**
     * Returns the current state.
     *
     * @return state; it can change at once unless it is final
     */
    public ExecutionState state() {
        return switch (mState) {
            case ExecutionState state -> state;
            case RefusalReason reason -> ExecutionState.REFUSED;
            default -> ExecutionState.ANSWERED;
        };
    }

    /**
     * Returns why the request was refused.
     *
     * @return the reason, or empty when it was not refused
     */
    public Optional<RefusalReason> refusalReason() {
        return mState instanceof RefusalReason reason ? Optional.of(reason) : Optional.empty();
    }

    /**
     * Records that bytes may reach the backend server. Call it before the first byte is written.
     *
     * @return true when the request may be written; false when it was refused or dispatched before
     */
    public boolean markDispatched() {
        return STATE.compareAndSet(this, ExecutionState.QUEUED, ExecutionState.DISPATCHED);
    }

    /**
     * Moves a dispatched request to refused, because the backend server did not execute it.
     *
     * @param reason why
     * @return false when the request was not dispatched or has ended
     */
    public boolean refuseDispatched(RefusalReason reason) {
        return finish(ExecutionState.DISPATCHED, reason);
    }

    /**
     * Refuses a queued request.
     *
     * @param reason why
     * @return true when the request has not run and never will; false when it is not queued
     */
    public boolean refuse(RefusalReason reason) {
        return finish(ExecutionState.QUEUED, reason);
    }

    /**
     * Records a complete response without keeping it.
     *
     * @return true when the request was dispatched and unfinished
     */
    public boolean complete() {
        return finish(ExecutionState.DISPATCHED, ExecutionState.ANSWERED);
    }

    /**
     * Records a complete response and keeps it when it fits the ledger's limits.
     *
     * @param response the response
     * @return true when the request was dispatched and unfinished
     */
    public boolean complete(KeptResponse response) {
        if (!mLedger.reserve(response)) {
            return complete();
        }
        boolean finished = finish(ExecutionState.DISPATCHED, response);
        if (!finished) {
            mLedger.release(response);
        }
        return finished;
    }

    /**
     * Records that the outcome is unknown.
     *
     * @return true when the request was dispatched and unfinished
     */
    public boolean fail() {
        return finish(ExecutionState.DISPATCHED, ExecutionState.FAILED);
    }

    private boolean finish(ExecutionState from, Object to) {
        boolean changed = STATE.compareAndSet(this, from, to);
        if (changed) {
            mFinishedSecond = mLedger.currentSecond();
            mLedger.retain(this);
        }
        return changed;
    }

    Object rawState() {
        return mState;
    }

    boolean isFinal() {
        Object state = mState;
        return state != ExecutionState.QUEUED && state != ExecutionState.DISPATCHED;
    }

    int finishedSecond() {
        return mFinishedSecond;
    }

    boolean isAcknowledged() {
        return mAcknowledged;
    }

    /**
     * Notes that the entry node has withdrawn the request and will not acknowledge its outcome. The
     * record and a kept response remain for the retention time.
     */
    public void abandon() {
        mAbandoned = true;
    }

    boolean isAbandoned() {
        return mAbandoned;
    }

    /** Marks a finished record as acknowledged; returns the kept response to release, or null. */
    KeptResponse acknowledge() {
        mAcknowledged = true;
        Object state = mState;
        boolean kept = state instanceof KeptResponse;
        if (kept && STATE.compareAndSet(this, state, ExecutionState.ANSWERED)) {
            return (KeptResponse) state;
        }
        return null;
    }
}
