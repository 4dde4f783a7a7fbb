package org.arbutuslock.internal.execution;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.util.Optional;
import org.arbutuslock.api.RequestId;

/**
 * Record of one request at its home node. Thread safe. Each state transition happens at most once.
 * A method that requests a transition returns whether it happened; after {@code false}, the calling
 * code must not act as if it had.
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
    // Either an ExecutionState, a RefusalReason (state REFUSED) or a KeptResponse (state ANSWERED,
    // response kept). One field, so that the state and its reason or response change atomically.
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
        } catch (ReflectiveOperationException unexpected) {
            throw new ExceptionInInitializerError(unexpected);
        }
    }

    /**
     * Returns the request's id.
     *
     * @return key of this record in the ledger
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
     * @return state; unless it is final, another thread can change it at any time
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
     * @return the reason, or empty when the request was not refused
     */
    public Optional<RefusalReason> refusalReason() {
        return mState instanceof RefusalReason reason ? Optional.of(reason) : Optional.empty();
    }

    /**
     * Records that bytes may reach the backend server. Must be called before the first byte is
     * written.
     *
     * @return true when the request may be written; false when it was already refused or dispatched
     */
    public boolean markDispatched() {
        return STATE.compareAndSet(this, ExecutionState.QUEUED, ExecutionState.DISPATCHED);
    }

    /**
     * Refuses a dispatched request, because the backend server did not execute it.
     *
     * @param reason reason for the refusal
     * @return false when the request was not dispatched or is already final
     */
    public boolean refuseDispatched(RefusalReason reason) {
        return finish(ExecutionState.DISPATCHED, reason);
    }

    /**
     * Refuses a queued request.
     *
     * @param reason reason for the refusal
     * @return true when the request has not run and never will; false when it is not queued
     */
    public boolean refuse(RefusalReason reason) {
        return finish(ExecutionState.QUEUED, reason);
    }

    /**
     * Records a complete response without keeping it.
     *
     * @return true when the request was dispatched and not final
     */
    public boolean complete() {
        return finish(ExecutionState.DISPATCHED, ExecutionState.ANSWERED);
    }

    /**
     * Records a complete response and keeps it if the limits of the ledger allow.
     *
     * @param response complete response
     * @return true when the request was dispatched and not final
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
     * @return true when the request was dispatched and not final
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
     * Records that the entry node has cancelled the request and will not acknowledge its outcome.
     * The record and a kept response remain for the retention time.
     */
    public void abandon() {
        mAbandoned = true;
    }

    boolean isAbandoned() {
        return mAbandoned;
    }

    /** Marks a final record as acknowledged. Returns the kept response to release, or null. */
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
