package org.arbutuslock.daemon.internal.callers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Orders the requests that a caller sends on one connection without waiting for earlier responses.
 * Decides which request may start, and which one may write its response.
 *
 * <p>Responses are written in the order of the requests (RFC 9112, section 9.3.2). A request that
 * may be repeated starts while earlier ones are still in progress. A request that must not be
 * repeated starts after every earlier response is written, and no later request starts before its
 * own response is written.
 *
 * <p>Answers the load of callers that send several requests ahead: without it, each request would
 * spend its time limit waiting for the previous ones. Confined to one thread. The methods of a
 * request may call back into this class.
 *
 * @param <R> type of the requests
 */
final class RequestPipeline<R extends RequestPipeline.Request> {
    private final int mMaximumInProgress;
    private final int mMaximumWaiting;
    private final long mMaximumWaitingBytes;
    private final HeldBytes mHeldResponses;
    private final OvertakingLimit mOvertakingLimit;
    private final Deque<Entry<R>> mEntries = new ArrayDeque<>();
    private int mStarted;
    private long mWaitingBytes;
    private boolean mClosed;
    private boolean mAdvancing;

    /**
     * Creates an empty pipeline.
     *
     * @param maximumInProgress maximum number of requests that are in progress at the same time
     * @param maximumWaiting number of requests that wait to start from which {@link #canRead}
     *     returns false
     * @param maximumWaitingBytes total size of waiting requests from which {@link #canRead} returns
     *     false, in bytes
     * @param heldResponses responses that wait for their turn; no request starts before its turn
     *     while they have reached their limit
     * @param overtakingLimit limits the requests of all connections that start before their turn
     */
    RequestPipeline(
            int maximumInProgress,
            int maximumWaiting,
            long maximumWaitingBytes,
            HeldBytes heldResponses,
            OvertakingLimit overtakingLimit) {
        mMaximumInProgress = maximumInProgress;
        mMaximumWaiting = maximumWaiting;
        mMaximumWaitingBytes = maximumWaitingBytes;
        mHeldResponses = heldResponses;
        mOvertakingLimit = overtakingLimit;
    }

    /** Adds a request that was read completely. Discards it when the pipeline is closed. */
    void add(R request) {
        if (mClosed) {
            request.discard();
            return;
        }
        mEntries.add(new Entry<>(request));
        mWaitingBytes += request.bytes();
        advance();
    }

    /**
     * Removes the first request, whose response is completely written, and gives its turn to the
     * next one. Has no effect if {@code request} was removed before.
     */
    void finish(R request) {
        if (!mEntries.isEmpty() && mEntries.peek().mRequest == request) {
            mEntries.remove();
            mStarted--;
            advance();
        }
    }

    /**
     * Closes the pipeline behind a request: its response is the last one of the connection. Later
     * requests count as not read; those that were started are cancelled. The request must be in the
     * pipeline.
     */
    void closeBehind(R request) {
        mClosed = true;
        while (!mEntries.isEmpty() && mEntries.peekLast().mRequest != request) {
            remove(mEntries.removeLast());
        }
    }

    /** Accepts no further requests. Those that were added before are still answered. */
    void rejectFurther() {
        mClosed = true;
    }

    /** Cancels or discards all requests, because the connection is closed. */
    void close() {
        mClosed = true;
        while (!mEntries.isEmpty()) {
            remove(mEntries.remove());
        }
    }

    private void remove(Entry<R> entry) {
        if (entry.mStarted) {
            mStarted--;
            endOvertaking(entry);
            entry.mRequest.cancel();
        } else {
            mWaitingBytes -= entry.mRequest.bytes();
            entry.mRequest.discard();
        }
    }

    /** Returns whether more requests should be read from the connection. */
    boolean canRead() {
        return mClosed
                || mEntries.size() - mStarted < mMaximumWaiting
                        && mWaitingBytes < mMaximumWaitingBytes;
    }

    /** Returns whether a request that arrives now is discarded. */
    boolean isRejecting() {
        return mClosed;
    }

    boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Returns whether no request was added after this one. */
    boolean isLast(R request) {
        return !mEntries.isEmpty() && mEntries.peekLast().mRequest == request;
    }

    /** Returns the requests that were started and not removed, in the order of arrival. */
    List<R> started() {
        return mEntries.stream().filter(entry -> entry.mStarted).map(Entry::request).toList();
    }

    /** Starts requests and gives turns until nothing changes. Nested calls return at once. */
    private void advance() {
        if (mAdvancing) {
            return;
        }
        mAdvancing = true;
        try {
            boolean changed = true;
            while (changed) {
                changed = advanceOnce();
            }
        } finally {
            mAdvancing = false;
        }
    }

    private boolean advanceOnce() {
        Entry<R> first = mEntries.peek();
        if (first == null) {
            return false;
        }
        if (!first.mHasTurn) {
            first.mHasTurn = true;
            endOvertaking(first);
            first.mRequest.takeTurn();
            return true;
        }
        Optional<Entry<R>> next = nextToStart();
        next.ifPresent(this::start);
        return next.isPresent();
    }

    private void start(Entry<R> entry) {
        entry.mStarted = true;
        mStarted++;
        mWaitingBytes -= entry.mRequest.bytes();
        entry.mRequest.start();
    }

    private Optional<Entry<R>> nextToStart() {
        for (Entry<R> entry : mEntries) {
            if (!entry.mStarted) {
                boolean allowed = entry == mEntries.peek() || mayOvertake(entry);
                return allowed ? Optional.of(entry) : Optional.empty();
            }
            if (mStarted < mEntries.size() && !entry.mRequest.isRepeatable()) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    /** Returns whether a request may start while earlier ones are in progress; it then does. */
    private boolean mayOvertake(Entry<R> entry) {
        return mStarted < mMaximumInProgress
                && !mHeldResponses.isFull()
                && entry.mRequest.isRepeatable()
                && startOvertaking(entry);
    }

    private boolean startOvertaking(Entry<R> entry) {
        entry.mOvertaking = mOvertakingLimit.tryAcquire();
        return entry.mOvertaking;
    }

    private void endOvertaking(Entry<R> entry) {
        if (entry.mOvertaking) {
            entry.mOvertaking = false;
            mOvertakingLimit.release();
        }
    }

    /** A request of the connection. Exactly one of finish, cancel and discard ends it. */
    interface Request {
        /**
         * Returns whether this request may be repeated. The answer may change until {@link #start};
         * a request that starts directly after this method returned true keeps that answer.
         */
        boolean isRepeatable();

        /** Returns the size of this request while it waits to start, in bytes; constant. */
        long bytes();

        /** Starts this request. */
        void start();

        /** Called once, when every earlier response is written; before or after the start. */
        void takeTurn();

        /** Cancels this request, which was started. Its response is not needed any more. */
        void cancel();

        /** Drops this request, which was not started and counts as not read. */
        void discard();
    }

    private static final class Entry<R> {
        private final R mRequest;
        private boolean mStarted;
        private boolean mHasTurn;
        private boolean mOvertaking;

        private Entry(R request) {
            mRequest = request;
        }

        private R request() {
            return mRequest;
        }
    }
}
