package org.arbutuslock.testbed.backend;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * Counts the executions of each request id and of each token, so that a test can detect duplicate
 * executions. A request without id and token is counted only in the total. Thread-safe.
 *
 * <pre>{@code
 * Map<String, Integer> duplicates = server.executions().executedMoreThanOnce();
 * }</pre>
 */
public final class ExecutionRecord {
    /**
     * Header in which a test identifies a request, independent of the id that the entry node
     * assigns.
     */
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
     * Returns how often requests with a token were executed.
     *
     * @param token value of the header {@link #TOKEN_HEADER}
     * @return number of executions, 0 when the token is unknown
     */
    public int countToken(String token) {
        return mTokens.getOrDefault(token, 0);
    }

    /**
     * Returns the number of all executions.
     *
     * @return number of requests whose work has started
     */
    public long total() {
        return mTotal.get();
    }

    /**
     * Returns how many ids and tokens were not counted because the record was full. A test that
     * relies on the counts must require 0.
     *
     * @return number of executions whose id or token was not among the first 2,000,000 of its kind
     */
    public long unrecorded() {
        return mUnrecorded.get();
    }

    /**
     * Returns how often the request with an id was executed.
     *
     * @param requestId value of the header {@code arbutuslock-request-id}
     * @return number of executions, 0 when the id is unknown
     */
    public int count(String requestId) {
        return mCounts.getOrDefault(requestId, 0);
    }

    /**
     * Returns the counts of all recorded ids.
     *
     * @return immutable copy with the number of executions by request id
     */
    public Map<String, Integer> counts() {
        return Map.copyOf(mCounts);
    }

    /**
     * Returns the ids that were executed more than once.
     *
     * @return number of executions, at least 2, by request id
     */
    public Map<String, Integer> executedMoreThanOnce() {
        return mCounts.entrySet().stream()
                .filter(pair -> pair.getValue() > 1)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }
}
