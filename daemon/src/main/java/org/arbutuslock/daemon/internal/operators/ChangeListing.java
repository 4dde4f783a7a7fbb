package org.arbutuslock.daemon.internal.operators;

import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.Result;
import org.arbutuslock.internal.configuration.CatchUpResult;
import org.arbutuslock.internal.configuration.ChangeHistory;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.v1.Change;
import org.arbutuslock.v1.HistoryResponse;

/** Lists the accepted changes of the change log. */
final class ChangeListing {
    /** Below the 4 MiB that a client accepts; one change has at most 1 MiB. */
    private static final int MAXIMUM_HISTORY_BYTES = 2 << 20;

    private final ConfigurationLog mLog;
    private final ConfigurationHolder mHolder;

    ChangeListing(ConfigurationLog log, ConfigurationHolder holder) {
        mLog = log;
        mHolder = holder;
    }

    CompletableFuture<Result<HistoryResponse>> list(long beforeRevision, int limit) {
        return mLog.catchUp()
                .thenCompose(
                        result -> {
                            if (result instanceof CatchUpResult.StoreUnavailable(var failure)) {
                                return CompletableFuture.completedFuture(
                                        new Result.Failed<>(failure));
                            }
                            long newest = mHolder.current().revision();
                            long last =
                                    beforeRevision == 0
                                            ? newest
                                            : Math.min(newest, beforeRevision - 1);
                            return mLog.history()
                                    .list(last, limit)
                                    .thenApply(ChangeListing::formatHistory);
                        });
    }

    private static Result<HistoryResponse> formatHistory(Result<ChangeHistory.Page> result) {
        return switch (result) {
            case Result.Failed<ChangeHistory.Page>(Failure failure) -> new Result.Failed<>(failure);
            case Result.Success<ChangeHistory.Page>(ChangeHistory.Page page) ->
                    Result.success(formatHistory(page));
        };
    }

    private static HistoryResponse formatHistory(ChangeHistory.Page page) {
        HistoryResponse.Builder response =
                HistoryResponse.newBuilder().setOldestRevision(page.oldestRevision());
        int bytes = 0;
        for (ConfigurationChange change : page.changes()) {
            Change message = OperationConverter.toChange(change);
            bytes += message.getSerializedSize();
            if (bytes > MAXIMUM_HISTORY_BYTES && response.getChangesCount() > 0) {
                return response.setMore(true).build();
            }
            response.addChanges(message);
        }
        boolean more =
                !page.changes().isEmpty()
                        && page.changes().getLast().revision() > page.oldestRevision();
        return response.setMore(more).build();
    }
}
