package org.arbutuslock.daemon.internal.callers;

/**
 * Counts the attempts of one request and decides whether another one is allowed. Attempts that are
 * in progress are counted by the owner, which passes their number.
 */
final class AttemptCounter {
    // When this many endpoints have used up their part of the retry budget, the other endpoints of
    // the service most likely have too.
    private static final int MAXIMUM_BUDGET_REFUSALS = 6;
    // One lost session is most likely a fault of the path, which hits whatever is in progress.
    private static final int LOST_SESSIONS_BEFORE_ISOLATION = 2;

    private final AttemptPolicy mPolicy;
    private final int mMaximumExecutions;
    private int mAttempts;
    private int mBudgetRefusals;
    private int mLostSessions;
    // Ended attempts that may have reached a backend server.
    private int mEndedExecutions;
    private boolean mStopped;

    /**
     * Creates a counter without attempts.
     *
     * @param policy limits the attempts, whether or not they reach a backend server
     * @param maximumExecutions largest number of attempts that may reach a backend server
     */
    AttemptCounter(AttemptPolicy policy, int maximumExecutions) {
        mPolicy = policy;
        mMaximumExecutions = maximumExecutions;
    }

    /** Returns whether no attempt was started yet. */
    boolean isFirst() {
        return mAttempts == 0;
    }

    /** Returns whether another attempt may be started. */
    boolean mayStart() {
        return !mStopped && mAttempts < mPolicy.maximumAttempts();
    }

    /** Allows no further attempts. */
    void stop() {
        mStopped = true;
    }

    /** Counts the start of an attempt and returns its number, from 0. */
    int start() {
        return mAttempts++;
    }

    /** Counts the end of an attempt that may have reached a backend server. */
    void endExecution() {
        mEndedExecutions++;
    }

    /** Returns whether an attempt that starts now may be a second execution. */
    boolean isRepetition(int active) {
        return mEndedExecutions + active > 0;
    }

    /** Returns whether one more attempt may reach a backend server. */
    boolean isExecutionLeft(int active) {
        return !mStopped && mEndedExecutions + active < mMaximumExecutions;
    }

    /** Returns whether the next attempt is the last one that may reach a backend server. */
    boolean isLastExecution(int active) {
        return mEndedExecutions + active + 1 >= mMaximumExecutions;
    }

    /** Counts a refusal for lack of retry budget; returns whether another endpoint is worth it. */
    boolean addBudgetRefusal() {
        return ++mBudgetRefusals < MAXIMUM_BUDGET_REFUSALS;
    }

    /** Counts a session that ended while the request was in progress on it. */
    void loseSession() {
        mLostSessions++;
    }

    /**
     * Returns whether the next attempt must not share a session with other requests. The request
     * may be the reason why its sessions ended, and would end the sessions to one home node after
     * another.
     */
    boolean isIsolated() {
        return mLostSessions >= LOST_SESSIONS_BEFORE_ISOLATION;
    }
}
