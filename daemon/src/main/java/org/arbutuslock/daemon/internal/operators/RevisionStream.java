package org.arbutuslock.daemon.internal.operators;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Result;
import org.arbutuslock.v1.WatchRevisionResponse;

/** Streams the progress of one revision until it is in force or the client cancels the call. */
final class RevisionStream implements Runnable {
    /** Much shorter than the 4 s within which a change must be in force. */
    private static final long PERIOD_MILLIS = 100;

    private final OperatorsBackend mBackend;
    private final long mRevision;
    private final ServerCallStreamObserver<WatchRevisionResponse> mObserver;
    private volatile Future<?> mTask;
    private volatile boolean mStopped;
    private WatchRevisionResponse mLastSent;

    RevisionStream(
            OperatorsBackend backend,
            long revision,
            ServerCallStreamObserver<WatchRevisionResponse> observer) {
        mBackend = backend;
        mRevision = revision;
        mObserver = observer;
    }

    void start(ScheduledExecutorService scheduler) {
        mObserver.setOnCancelHandler(this::stop);
        mTask = scheduler.scheduleWithFixedDelay(this, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void run() {
        if (mStopped) {
            // An earlier stop() could not cancel the task, since mTask was not set yet.
            stop();
            return;
        }
        try {
            switch (mBackend.measureProgress(mRevision)) {
                case Result.Success<WatchRevisionResponse>(WatchRevisionResponse progress) ->
                        send(progress);
                case Result.Failed<WatchRevisionResponse>(var failure) ->
                        fail(Status.UNAVAILABLE.withDescription(failure.toString()));
            }
        } catch (RuntimeException fault) {
            fail(
                    Status.INTERNAL.withDescription(
                            "reading the progress of the revision failed: " + fault));
        }
    }

    private void send(WatchRevisionResponse progress) {
        if (mObserver.isCancelled()) {
            stop();
            return;
        }
        // A client that reads slowly misses intermediate states; queueing them would use memory.
        boolean changed = !progress.equals(mLastSent) && mObserver.isReady();
        if (changed || progress.getInForce()) {
            mObserver.onNext(progress);
            mLastSent = progress;
        }
        if (progress.getInForce()) {
            stop();
            mObserver.onCompleted();
        }
    }

    private void fail(Status status) {
        stop();
        mObserver.onError(status.asRuntimeException());
    }

    private void stop() {
        mStopped = true;
        Future<?> task = mTask;
        if (task != null) {
            task.cancel(false);
        }
    }
}
