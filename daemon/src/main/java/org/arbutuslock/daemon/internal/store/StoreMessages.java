package org.arbutuslock.daemon.internal.store;

import java.util.List;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.store.LeaseResult;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.ReadResult;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WriteResult;
import org.arbutuslock.platform.v1.Entry;
import org.arbutuslock.platform.v1.LeaseResponse;
import org.arbutuslock.platform.v1.ListResponse;
import org.arbutuslock.platform.v1.ReadResponse;
import org.arbutuslock.platform.v1.WriteResponse;

/** Converts messages of store.proto to results of the {@code PlatformStore} API. */
final class StoreMessages {
    private StoreMessages() {}

    static StoreEntry toEntry(Entry entry) {
        return new StoreEntry(
                entry.getKey(),
                entry.getVersion(),
                entry.getStoreRevision(),
                entry.getValue().toByteArray());
    }

    static ReadResult toReadResult(ReadResponse response) {
        return response.hasEntry()
                ? new ReadResult.Found(toEntry(response.getEntry()))
                : new ReadResult.Absent();
    }

    static ListResult toListResult(ListResponse response) {
        List<StoreEntry> entries =
                response.getEntriesList().stream().map(StoreMessages::toEntry).toList();
        return new ListResult.Page(entries, response.getMore(), response.getStoreRevision());
    }

    static WriteResult toWriteResult(WriteResponse response) {
        return response.getApplied()
                ? new WriteResult.Applied(response.getVersion(), response.getStoreRevision())
                : new WriteResult.Conflict(response.getVersion());
    }

    static LeaseResult toLeaseResult(LeaseResponse response) {
        return response.getGranted()
                ? new LeaseResult.Granted(response.getLease(), response.getDurationMillis())
                : new LeaseResult.Expired();
    }

    static WriteResult toFailedWrite(Failure failure, boolean mayHaveReachedStore) {
        return mayHaveReachedStore
                ? new WriteResult.Unknown(failure)
                : new WriteResult.Unavailable(failure);
    }
}
