package org.arbutuslock.daemon.internal.callers;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.dialect.OwnDialect;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;
import org.arbutuslock.daemon.internal.exchange.Submission;
import org.arbutuslock.daemon.internal.sessions.HomeNode;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.messages.OutcomeState;

/**
 * A {@link CallerRequest} with a latency objective, whose test sends the events of its attempts.
 */
final class ManualAttempts {
    static final int OBJECTIVE_MILLIS = 100;
    static final int DEADLINE_MILLIS = 1_000;
    static final Submission SUBMISSION = new Submission("127.0.0.1:1", "a", 9, 1);

    private static final int MAXIMUM_EXECUTIONS = 4;

    private final ManualClock mClock = new ManualClock();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final List<ResponseListener> mListeners = new ArrayList<>();
    private final List<String> mEndpoints = new ArrayList<>();
    private OutcomeReport mOutcome = new OutcomeReport(OutcomeState.NOT_RUN, Optional.empty());

    /** Starts a request that writes its response to {@code writer}. */
    void start(boolean idempotent, ResponseWriter writer) {
        LocalNode local = new LocalNode("a", 9, "west", "calgary", "127.0.0.1:1");
        EntryServices services =
                new EntryServices(
                        local,
                        mClock,
                        mClock.nanoTime(),
                        new ConfigurationHolder(),
                        new LocalEndpointChooser(0),
                        () -> FleetSnapshot.EMPTY,
                        new HomeNodeClient(local, new ManualHomeNode(), null),
                        new UnlimitedRetryPolicy(),
                        (route, tenant, latency, result) -> {},
                        new OwnDialect());
        new CallerRequest(services, mChannel.eventLoop(), request(idempotent), writer).start();
        mChannel.runPendingTasks();
    }

    /** Sets the outcome that the home node reports for each request. */
    void setOutcome(OutcomeReport outcome) {
        mOutcome = outcome;
    }

    /** Returns how many attempts were submitted. */
    int count() {
        return mListeners.size();
    }

    /** Returns the backend servers of the attempts, in order. */
    List<String> endpoints() {
        return mEndpoints;
    }

    /** Sends events of an attempt, numbered from 0. */
    void send(int attempt, ResponseEvent... events) {
        for (ResponseEvent event : events) {
            mListeners.get(attempt).handle(event);
        }
        mChannel.runPendingTasks();
    }

    /** Advances the clock and runs the tasks that are due. */
    void advance(int millis) {
        mClock.advance(Duration.ofMillis(millis));
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        mChannel.runPendingTasks();
    }

    private RoutedRequest request(boolean idempotent) {
        RouteDefinition route =
                new RouteDefinition(
                        "prices",
                        "",
                        "",
                        "/prices",
                        true,
                        Map.of(),
                        "orders",
                        WorkClass.SHORT,
                        idempotent,
                        DEADLINE_MILLIS,
                        5,
                        new RoutePolicy(OBJECTIVE_MILLIS, MAXIMUM_EXECUTIONS, List.of(), false));
        return new RoutedRequest(
                new RequestId("a", 9, 16),
                route,
                idempotent,
                idempotent ? "GET" : "POST",
                "/prices",
                List.of(),
                new byte[0],
                "",
                1,
                mClock.nanoTime(),
                DEADLINE_MILLIS);
    }

    /** Keeps the listeners of all attempts. */
    private final class ManualHomeNode implements HomeNode {
        @Override
        public long openSession(Runnable onFenced) {
            return 1;
        }

        @Override
        public void closeSession(long session) {}

        @Override
        public Exchange submit(long session, ExecutionRequest request, ResponseListener listener) {
            mListeners.add(listener);
            mEndpoints.add(request.endpoint().backendServer());
            return new Exchange() {
                @Override
                public void grantCredit(int bytes) {}

                @Override
                public void cancel() {}

                @Override
                public Optional<Submission> submission() {
                    return Optional.of(SUBMISSION);
                }
            };
        }

        @Override
        public OutcomeReport query(RequestId id, long incarnation, long fencedSession) {
            return mOutcome;
        }

        @Override
        public void acknowledge(RequestId id) {}
    }
}
