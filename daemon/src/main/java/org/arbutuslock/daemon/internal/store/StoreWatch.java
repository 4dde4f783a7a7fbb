package org.arbutuslock.daemon.internal.store;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.time.Duration;
import java.util.function.Consumer;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.store.WatchListener;
import org.arbutuslock.platform.v1.WatchRequest;
import org.arbutuslock.platform.v1.WatchResponse;

/** Forwards the changes of one watch to its listener until the watch fails or is closed. */
final class StoreWatch
        implements ClientResponseObserver<WatchRequest, WatchResponse>, AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Clock mClock;
    private final WatchListener mListener;
    private final long mSilenceNanos;
    private final Consumer<StoreWatch> mOnEnd;
    private StoreConnection mConnection;
    private ManagedChannel mChannel;
    private ClientCallStreamObserver<WatchRequest> mCall;
    private volatile long mLastMessageNanos;
    private volatile boolean mClosed;
    private volatile boolean mSilent;

    StoreWatch(Clock clock, WatchListener listener, Duration silence, Consumer<StoreWatch> onEnd) {
        mClock = clock;
        mListener = listener;
        mSilenceNanos = silence.toNanos();
        mOnEnd = onEnd;
        mLastMessageNanos = clock.nanoTime();
    }

    /** Sets the channel of the watch. Must be called before the watch starts. */
    void attach(StoreConnection connection, ManagedChannel channel) {
        mConnection = connection;
        mChannel = channel;
    }

    @Override
    public synchronized void beforeStart(ClientCallStreamObserver<WatchRequest> call) {
        mCall = call;
    }

    @Override
    public void onNext(WatchResponse response) {
        mLastMessageNanos = mClock.nanoTime();
        mConnection.recordSuccess(mChannel);
        if (mClosed) {
            return;
        }
        switch (response.getEventCase()) {
            case WRITTEN -> mListener.written(StoreMessages.toEntry(response.getWritten()));
            case DELETED ->
                    mListener.deleted(
                            response.getDeleted().getKey(),
                            response.getDeleted().getStoreRevision());
            case PROGRESS, EVENT_NOT_SET -> {}
        }
    }

    @Override
    public void onError(Throwable error) {
        Status status = Status.fromThrowable(error);
        if (mSilent) {
            String reason = "no message for " + mSilenceNanos / NANOS_PER_MILLI + " ms";
            mConnection.replace(mChannel, reason);
            end(reason);
            return;
        }
        if (status.getCode() == Status.Code.UNAVAILABLE) {
            mConnection.recordFailure(mChannel, status.getDescription());
        }
        end(status.getCode() + ": " + status.getDescription());
    }

    @Override
    public void onCompleted() {
        end("the store ended the watch");
    }

    /** Cancels the watch when it received no message, not even a progress message, for too long. */
    synchronized void cancelIfSilent() {
        if (mSilent || mCall == null || mClock.nanoTime() - mLastMessageNanos < mSilenceNanos) {
            return;
        }
        mSilent = true;
        mCall.cancel("no message in time", null);
    }

    void end(String reason) {
        mOnEnd.accept(this);
        if (!mClosed) {
            mClosed = true;
            mListener.ended(reason);
        }
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        if (mCall != null) {
            mCall.cancel("closed by the client", null);
        }
        mOnEnd.accept(this);
    }
}
