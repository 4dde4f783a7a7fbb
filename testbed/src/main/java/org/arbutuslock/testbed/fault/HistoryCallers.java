package org.arbutuslock.testbed.fault;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntPredicate;
import org.arbutuslock.testbed.backend.ExecutionRecord;
import org.arbutuslock.testbed.fault.HistoryOperation.QueriedOutcome;
import org.arbutuslock.testbed.fault.HistoryOperation.Result;

/** Concurrent callers that record their requests and results. */
final class HistoryCallers implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final int STATUS_OK = 200;
    private static final String OUTCOME_HEADER = "arbutuslock-outcome";
    private static final String REQUEST_ID_HEADER = "arbutuslock-request-id";
    private static final int MAXIMUM_QUERIES = 100;
    private static final Duration QUERY_INTERVAL = Duration.ofMillis(100);

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .proxy(HttpClient.Builder.NO_PROXY)
                    .executor(task -> Thread.ofVirtual().start(task))
                    .build();
    private final List<String> mEntryNames;
    private final List<InetSocketAddress> mEntryNodes;
    private final long mSeed;
    private final IntPredicate mUsable;
    private final Queue<HistoryOperation> mOperations = new ConcurrentLinkedQueue<>();
    private final Queue<HistoryRequest> mRequests = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mSent = new AtomicInteger();
    private volatile boolean mStopped;

    /**
     * Creates callers. They send nothing before {@link #run}.
     *
     * @param entryNames names of the nodes, in the order of their addresses
     * @param entryNodes addresses to which the callers send requests
     * @param seed seed of the requests; each caller draws from its own sequence
     * @param usable tells by index whether an entry node may get requests; must be true for at
     *     least one node, because callers spin while it is false for all
     */
    HistoryCallers(
            List<String> entryNames,
            List<InetSocketAddress> entryNodes,
            long seed,
            IntPredicate usable) {
        mUsable = usable;
        mEntryNames = List.copyOf(entryNames);
        mEntryNodes = List.copyOf(entryNodes);
        mSeed = seed;
    }

    List<HistoryOperation> operations() {
        return List.copyOf(mOperations);
    }

    /** Stops every caller after its current request. Thread safe. */
    void stop() {
        mStopped = true;
    }

    /**
     * Sends requests and blocks until all callers have ended.
     *
     * @param callers number of concurrent callers
     * @param total number of requests of all callers together
     * @param interval average pause between two requests of a caller
     */
    void run(int callers, int total, Duration interval) throws InterruptedException {
        List<Thread> threads = new java.util.ArrayList<>();
        for (int caller = 0; caller < callers; caller++) {
            SplittableRandom random = new SplittableRandom(mSeed + caller);
            threads.add(Thread.ofVirtual().start(() -> sendUntil(total, interval, random)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void sendUntil(int total, Duration interval, SplittableRandom random) {
        int number = mSent.getAndIncrement();
        while (number < total && !mStopped) {
            int entry = drawEntry(random);
            HistoryRequest request = HistoryRequest.draw(mSeed + "-" + number, random);
            mRequests.add(request);
            send(request, entry);
            LockSupport.parkNanos(random.nextLong(2 * interval.toNanos()));
            number = mSent.getAndIncrement();
        }
    }

    private int drawEntry(SplittableRandom random) {
        int entry = random.nextInt(mEntryNodes.size());
        while (!mUsable.test(entry)) {
            entry = random.nextInt(mEntryNodes.size());
        }
        return entry;
    }

    private void send(HistoryRequest request, int entry) {
        long invoked = System.nanoTime();
        Result result;
        try {
            HttpRequest message =
                    HttpRequest.newBuilder(uri(entry, request.uri()))
                            .timeout(TIMEOUT)
                            .header(ExecutionRecord.TOKEN_HEADER, request.token())
                            .method(
                                    request.method(),
                                    HttpRequest.BodyPublishers.ofByteArray(request.body()))
                            .build();
            result =
                    classify(
                            request,
                            mClient.send(message, HttpResponse.BodyHandlers.ofByteArray()));
        } catch (IOException failed) {
            result = new Result.Broken(String.valueOf(failed.getMessage()));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(
                    "interrupted while a caller was waiting for a response", interrupted);
        }
        mOperations.add(
                new HistoryOperation(
                        request.token(),
                        request.kind(),
                        mEntryNames.get(entry),
                        invoked,
                        System.nanoTime(),
                        result));
    }

    private URI uri(int entry, String path) {
        return URI.create("http://127.0.0.1:" + mEntryNodes.get(entry).getPort() + path);
    }

    private static Result classify(HistoryRequest request, HttpResponse<byte[]> response) {
        String detail = new String(response.body(), 0, Math.min(200, response.body().length));
        return switch (outcome(response)) {
            case "not-run" -> new Result.NotRun(detail.strip());
            case "unknown" -> new Result.Unknown(requestId(response), detail.strip());
            default ->
                    response.statusCode() == STATUS_OK
                            ? new Result.Complete(request.isOwnResponse(response.body()))
                            : new Result.OtherStatus(response.statusCode());
        };
    }

    private static String outcome(HttpResponse<?> response) {
        return response.headers().firstValue(OUTCOME_HEADER).orElse("");
    }

    private static String requestId(HttpResponse<?> response) {
        return response.headers().firstValue(REQUEST_ID_HEADER).orElse("");
    }

    /**
     * Queries the nodes in turn for the outcome of a request until it is no longer in progress, at
     * most 100 times.
     */
    QueriedOutcome queryUntilDecided(HistoryOperation operation, String requestId)
            throws InterruptedException {
        HistoryRequest request =
                mRequests.stream()
                        .filter(sent -> sent.token().equals(operation.token()))
                        .findFirst()
                        .orElseThrow();
        for (int query = 0; query < MAXIMUM_QUERIES; query++) {
            try {
                HttpResponse<byte[]> response = queryOnce(query % mEntryNodes.size(), requestId);
                if (!outcome(response).equals("in-progress")) {
                    return classifyQueriedOutcome(request, response);
                }
            } catch (IOException unreachable) {
                // The next query goes to another node.
            }
            Thread.sleep(QUERY_INTERVAL);
        }
        return QueriedOutcome.UNKNOWN;
    }

    private HttpResponse<byte[]> queryOnce(int entry, String requestId)
            throws IOException, InterruptedException {
        HttpRequest message =
                HttpRequest.newBuilder(uri(entry, "/.arbutuslock/requests/" + requestId))
                        .timeout(TIMEOUT)
                        .build();
        return mClient.send(message, HttpResponse.BodyHandlers.ofByteArray());
    }

    private static QueriedOutcome classifyQueriedOutcome(
            HistoryRequest request, HttpResponse<byte[]> response) {
        return switch (outcome(response)) {
            case "not-run" -> QueriedOutcome.NOT_RUN;
            case "executed" -> QueriedOutcome.EXECUTED;
            case "unknown" -> QueriedOutcome.UNKNOWN;
            default ->
                    request.isOwnResponse(response.body())
                            ? QueriedOutcome.EXECUTED
                            : QueriedOutcome.WRONG_RESPONSE;
        };
    }

    @Override
    public void close() {
        mClient.shutdownNow();
    }
}
