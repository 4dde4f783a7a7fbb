package org.arbutuslock.testbed.fault;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.function.IntPredicate;

/**
 * Polls the readiness endpoint of each node, as a load balancer between callers and nodes does. The
 * predicate tells by index whether a node was ready at the last poll.
 */
final class ReadinessPoller implements IntPredicate, AutoCloseable {
    private static final Duration INTERVAL = Duration.ofMillis(200);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int STATUS_OK = 200;

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .proxy(HttpClient.Builder.NO_PROXY)
                    .connectTimeout(TIMEOUT)
                    .executor(task -> Thread.ofVirtual().start(task))
                    .build();
    private final List<InetSocketAddress> mNodes;
    private final AtomicIntegerArray mReady;
    private final Thread mThread;
    private volatile boolean mClosed;

    ReadinessPoller(List<InetSocketAddress> nodes) {
        mNodes = List.copyOf(nodes);
        mReady = new AtomicIntegerArray(nodes.size());
        mThread = Thread.ofVirtual().start(this::poll);
    }

    @Override
    public boolean test(int node) {
        return mReady.get(node) == 1;
    }

    private void poll() {
        while (!mClosed) {
            for (int node = 0; node < mNodes.size(); node++) {
                mReady.set(node, isReady(mNodes.get(node)) ? 1 : 0);
            }
            try {
                Thread.sleep(INTERVAL);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private boolean isReady(InetSocketAddress node) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://127.0.0.1:" + node.getPort() + "/ready"))
                            .timeout(TIMEOUT)
                            .build();
            return mClient.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
                    == STATUS_OK;
        } catch (IOException | InterruptedException failed) {
            return false;
        }
    }

    @Override
    public void close() throws InterruptedException {
        mClosed = true;
        mThread.interrupt();
        mThread.join();
        mClient.shutdownNow();
    }
}
