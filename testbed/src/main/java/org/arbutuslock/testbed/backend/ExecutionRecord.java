package org.arbutuslock.testbed.backend;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * Counts the executions of each request id, so that a history check finds duplicates. A request
 * without an id is counted only in the total.
 *
 * <pre>{@code
 * Map<String, Integer> duplicates = server.executions().executedMoreThanOnce();
 * }</pre>
 */
public final class ExecutionRecord {
    /** Header by which a test names a request, whatever id the entry node gives it. */
    public static final String TOKEN_HEADER = "testbed-token";

    private static final int MAXIMUM_IDS = 2_000_000;

    private final Map<String, Integer> mCounts = new ConcurrentHashMap<>();
    private final Map<String, Integer> mTokens = new ConcurrentHashMap<>();
    private final AtomicLong mTotal = new AtomicLong();
    private final AtomicLong mUnrecorded = new AtomicLong();

    ExecutionRecord() {}

    void add(String requestId, String token) {
        mTotal.incrementAndGet();
        count(mCounts, requestId);
        count(mTokens, token);
    }

    private void count(Map<String, Integer> counts, String name) {
        if (name.isEmpty()) {
            return;
        }
        if (counts.size() >= MAXIMUM_IDS && !counts.containsKey(name)) {
            mUnrecorded.incrementAndGet();
            return;
        }
        counts.merge(name, 1, Integer::sum);
    }

    /**
     * Returns how often a request with a token was executed.
     *
     * @param token value of the header {@link #TOKEN_HEADER}
     * @return executions
     */
    public int countToken(String token) {
        return mTokens.getOrDefault(token, 0);
    }

    /**
     * Counts all executions.
     *
     * @return requests whose work started
     */
    public long total() {
        return mTotal.get();
    }

    /**
     * Counts the executions that were not recorded because the record is full. A history check must
     * require zero.
     *
     * @return executions of ids and tokens beyond the first 2,000,000
     */
    public long unrecorded() {
        return mUnrecorded.get();
    }

    /**
     * Returns how often one request was executed.
     *
     * @param requestId value of the header {@code arbutuslock-request-id}
     * @return executions
     */
    public int count(String requestId) {
        return mCounts.getOrDefault(requestId, 0);
    }

    /**
     * Returns all recorded ids.
     *
     * @return executions by request id
     */
    public Map<String, Integer> counts() {
        return Map.copyOf(mCounts);
    }

    /**
     * Returns the ids that were executed more than once.
     *
     * @return executions by request id, 2 or more each
     */
    public Map<String, Integer> executedMoreThanOnce() {
        return mCounts.entrySet().stream()
                .filter(pair -> pair.getValue() > 1)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }
}
