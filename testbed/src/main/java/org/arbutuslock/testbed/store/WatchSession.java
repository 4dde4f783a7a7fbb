package org.arbutuslock.testbed.store;

import com.google.protobuf.UnsafeByteOperations;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.platform.v1.Deletion;
import org.arbutuslock.platform.v1.Entry;
import org.arbutuslock.platform.v1.Progress;
import org.arbutuslock.platform.v1.WatchResponse;

/**
 * Sends the changes of one watch to a client. The session stores only the last revision that it has
 * sent. It reads further changes from the store's history while the stream is ready for messages,
 * so a slow client does not cause changes to be buffered in memory.
 */
final class WatchSession {
    private static final int CHANGES_PER_READ = 100;

    private final InMemoryStore mStore;
    private final String mPrefix;
    private final ServerCallStreamObserver<WatchResponse> mObserver;
    private final Executor mExecutor;
    private final Runnable mChangeListener = this::requestSend;
    private final int mRestoreCount;
    private long mSentRevision;
    private boolean mEnded;

    WatchSession(
            InMemoryStore store,
            String prefix,
            long afterStoreRevision,
            ServerCallStreamObserver<WatchResponse> observer,
            Executor executor) {
        mStore = store;
        mPrefix = prefix;
        mObserver = observer;
        mExecutor = executor;
        mRestoreCount = store.restoreCount();
        mSentRevision = afterStoreRevision == 0 ? store.storeRevision() : afterStoreRevision;
    }

    void start() {
        long storeRevision = mStore.storeRevision();
        if (mSentRevision > storeRevision && mStore.restoreCount() == mRestoreCount) {
            end(
                    Status.OUT_OF_RANGE.withDescription(
                            "revision "
                                    + mSentRevision
                                    + " is higher than the store's revision "
                                    + storeRevision
                                    + "; the store may have been restored from a backup"));
            return;
        }
        mStore.addChangeListener(mChangeListener);
        sendProgress();
        requestSend();
    }

    void requestSend() {
        mExecutor.execute(this::sendChanges);
    }

    synchronized void sendProgress() {
        if (!mEnded && mObserver.isReady()) {
            Progress progress = Progress.newBuilder().setStoreRevision(mSentRevision).build();
            mObserver.onNext(WatchResponse.newBuilder().setProgress(progress).build());
        }
    }

    synchronized void end(Status status) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mStore.removeChangeListener(mChangeListener);
        if (!mObserver.isCancelled()) {
            mObserver.onError(status.asRuntimeException());
        }
    }

    private synchronized void sendChanges() {
        while (!mEnded && mObserver.isReady()) {
            Optional<List<StoreChange>> changes =
                    mStore.changesAfter(mSentRevision, CHANGES_PER_READ);
            if (mStore.restoreCount() != mRestoreCount) {
                end(Status.ABORTED.withDescription("the store was restored from a backup"));
                return;
            }
            if (changes.isEmpty()) {
                end(
                        Status.OUT_OF_RANGE.withDescription(
                                "changes after revision "
                                        + mSentRevision
                                        + " were discarded; list the keys and watch again"));
                return;
            }
            if (changes.get().isEmpty()) {
                return;
            }
            changes.get().forEach(this::send);
        }
    }

    private void send(StoreChange change) {
        mSentRevision = change.storeRevision();
        if (change.key().startsWith(mPrefix)) {
            mObserver.onNext(toMessage(change));
        }
    }

    private static WatchResponse toMessage(StoreChange change) {
        return switch (change) {
            case StoreChange.Written(StoreEntry entry) ->
                    WatchResponse.newBuilder().setWritten(toMessage(entry)).build();
            case StoreChange.Deleted(String key, long storeRevision) ->
                    WatchResponse.newBuilder()
                            .setDeleted(
                                    Deletion.newBuilder()
                                            .setKey(key)
                                            .setStoreRevision(storeRevision))
                            .build();
        };
    }

    static Entry toMessage(StoreEntry entry) {
        return Entry.newBuilder()
                .setKey(entry.key())
                .setVersion(entry.version())
                .setStoreRevision(entry.storeRevision())
                .setValue(UnsafeByteOperations.unsafeWrap(entry.value()))
                .build();
    }
}
