package org.arbutuslock.daemon.internal.operators;

import org.arbutuslock.api.Result;
import org.arbutuslock.daemon.internal.metrics.RequestWindows;
import org.arbutuslock.v1.TopResponse;
import org.arbutuslock.v1.TopRow;
import org.arbutuslock.v1.WorkClass;

/** Reads request rates and latencies of this node. */
final class TopQueries {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final String mNode;
    private final RequestWindows mWindows;

    TopQueries(String node, RequestWindows windows) {
        mNode = node;
        mWindows = windows;
    }

    Result<TopResponse> read(String service, int limit) {
        RequestWindows.Summary summary = mWindows.read(service, limit);
        // The period is 0 before the first interval has ended; there are no rows then.
        double seconds = Math.max(1, summary.period().toMillis()) / MILLIS_PER_SECOND;
        TopResponse.Builder response =
                TopResponse.newBuilder()
                        .setRespondingNode(mNode)
                        .setPeriodMillis((int) summary.period().toMillis());
        summary.rows().forEach(row -> response.addRows(format(row, seconds)));
        return Result.success(response.build());
    }

    private static TopRow format(RequestWindows.Row row, double seconds) {
        return TopRow.newBuilder()
                .setService(row.service())
                .setWorkClass(
                        switch (row.workClass()) {
                            case SHORT -> WorkClass.WORK_CLASS_SHORT;
                            case LONG -> WorkClass.WORK_CLASS_LONG;
                        })
                .setTenant(row.tenant())
                .setRequestsPerSecond(row.requests() / seconds)
                .setFailuresPerSecond(row.failures() / seconds)
                .setP50Micros(row.p50Micros())
                .setP95Micros(row.p95Micros())
                .setP99Micros(row.p99Micros())
                .setMaximumMicros(row.maximumMicros())
                .build();
    }
}
