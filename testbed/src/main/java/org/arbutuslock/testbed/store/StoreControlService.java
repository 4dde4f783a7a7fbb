package org.arbutuslock.testbed.store;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.function.Supplier;
import org.arbutuslock.platform.v1.Backup;
import org.arbutuslock.platform.v1.CallCounts;
import org.arbutuslock.platform.v1.GetCallCountsRequest;
import org.arbutuslock.platform.v1.StoreControlGrpc;
import org.arbutuslock.platform.v1.StoreFaults;
import org.arbutuslock.platform.v1.TakeBackupRequest;

/** gRPC service that controls the faults and backups of a {@link StoreServer}. */
final class StoreControlService extends StoreControlGrpc.StoreControlImplBase {
    private final StoreServer mServer;

    StoreControlService(StoreServer server) {
        mServer = server;
    }

    @Override
    public void setFaults(StoreFaults request, StreamObserver<StoreFaults> observer) {
        respond(
                observer,
                () -> {
                    mServer.setFaults(request);
                    return request;
                });
    }

    @Override
    public void takeBackup(TakeBackupRequest request, StreamObserver<Backup> observer) {
        respond(
                observer,
                () ->
                        Backup.newBuilder()
                                .setNumber(mServer.store().takeBackup())
                                .setStoreRevision(mServer.store().storeRevision())
                                .build());
    }

    @Override
    public void restoreBackup(Backup request, StreamObserver<Backup> observer) {
        respond(
                observer,
                () ->
                        request.toBuilder()
                                .setStoreRevision(
                                        mServer.store().restoreBackup(request.getNumber()))
                                .build());
    }

    @Override
    public void getCallCounts(GetCallCountsRequest request, StreamObserver<CallCounts> observer) {
        respond(observer, mServer::callCounts);
    }

    private static <T> void respond(StreamObserver<T> observer, Supplier<T> operation) {
        try {
            observer.onNext(operation.get());
            observer.onCompleted();
        } catch (IllegalArgumentException e) {
            observer.onError(
                    Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
        }
    }
}
