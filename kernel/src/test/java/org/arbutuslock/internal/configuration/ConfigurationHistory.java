package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.internal.testing.FakePlatformStore;
import org.arbutuslock.internal.testing.FakePlatformStore.Fault;
import org.arbutuslock.internal.testing.SimulatedTimer;

/**
 * Simulates operators, nodes and a faulty store for two minutes of simulated time. Checks every
 * response and every node against the log that the store holds at the end.
 */
final class ConfigurationHistory {
    private static final int NODES = 6;
    private static final int WATCHERS = 3;
    private static final int OPERATORS = 4;
    private static final int TENANTS = 5;
    private static final Duration FAULTY_TIME = Duration.ofSeconds(60);
    private static final Duration HEALTHY_TIME = Duration.ofSeconds(60);

    /** Late writes are the hardest to resolve, so they occur more often than other faults. */
    private static final List<Fault> FLAKY_FAULTS =
            List.of(
                    Fault.NONE,
                    Fault.NONE,
                    Fault.NONE,
                    Fault.APPLIED_LATER,
                    Fault.APPLIED_LATER,
                    Fault.RESPONSE_LOST,
                    Fault.REQUEST_LOST,
                    Fault.SLOW,
                    Fault.DOWN);

    /** Deliberate bugs that the check has to detect. */
    enum InjectedBug {
        NONE,
        ABSENT_MEANS_NOT_ACCEPTED,
        LOWER_SNAPSHOT_APPLIED
    }

    private enum StoreMode {
        HEALTHY,
        FLAKY,
        DOWN,
        SLOW
    }

    /** One change that an operator requested; resubmissions do not alter it. */
    private record RequestedChange(
            UUID changeId, long base, List<ConfigurationOperation> operations) {}

    /** One response. A node that restarts gives no response, which counts as unknown. */
    private record Response(RequestedChange change, SubmitResult result) {}

    private final Random mRandom;
    private final InjectedBug mInjectedBug;
    private final SimulatedTimer mTimer = new SimulatedTimer();
    private final FakePlatformStore mStore;
    private final List<HistoryNode> mNodes = new ArrayList<>();
    private final List<Response> mResponses = new ArrayList<>();
    private final Map<UUID, RequestedChange> mUnresolved = new HashMap<>();
    private StoreMode mMode = StoreMode.HEALTHY;
    private boolean mFaultsEnded;

    ConfigurationHistory(long seed, InjectedBug injectedBug) {
        mRandom = new Random(seed);
        mInjectedBug = injectedBug;
        mStore =
                new FakePlatformStore(
                        mTimer,
                        this::chooseFault,
                        () -> Duration.ofNanos(1000L * (500 + mRandom.nextInt(20_000))));
        for (int index = 0; index < NODES; index++) {
            mNodes.add(
                    new HistoryNode(
                            this::createLog,
                            index < WATCHERS,
                            injectedBug == InjectedBug.LOWER_SNAPSHOT_APPLIED));
        }
    }

    /** Runs the history and checks it; returns the number of accepted changes. */
    int runAndCheck() {
        repeat(3000, this::changeStoreMode);
        repeat(4000, this::restartNode);
        repeat(300, this::exchange);
        repeat(20, () -> mNodes.forEach(HistoryNode::checkRevision));
        repeat(9000, () -> randomNode().log().compact(5));
        for (int index = 0; index < OPERATORS; index++) {
            repeat(1000, this::submitNewOrUnresolved);
        }
        mTimer.runFor(FAULTY_TIME);
        mFaultsEnded = true;
        mMode = StoreMode.HEALTHY;
        mTimer.runFor(HEALTHY_TIME);
        resolveAll();
        mTimer.runFor(HEALTHY_TIME);
        return check();
    }

    /** Repeats an action at random intervals until the faults end. */
    private void repeat(int meanMillis, Runnable action) {
        mTimer.runAfter(
                Duration.ofMillis(1 + mRandom.nextInt(2 * meanMillis)),
                () -> {
                    if (!mFaultsEnded) {
                        action.run();
                        repeat(meanMillis, action);
                    }
                });
    }

    private void changeStoreMode() {
        mMode = StoreMode.values()[mRandom.nextInt(StoreMode.values().length)];
        switch (mRandom.nextInt(4)) {
            case 0 -> mStore.endWatches();
            case 1 -> mStore.stallWatches();
            default -> {}
        }
    }

    private Fault chooseFault(String kind) {
        return switch (mMode) {
            case HEALTHY -> Fault.NONE;
            case DOWN -> Fault.DOWN;
            case SLOW -> mRandom.nextInt(3) == 0 ? Fault.SLOW : Fault.NONE;
            case FLAKY -> FLAKY_FAULTS.get(mRandom.nextInt(FLAKY_FAULTS.size()));
        };
    }

    private ConfigurationLog createLog(ConfigurationHolder holder) {
        return new ConfigurationLog(mStore, holder, mTimer.clock(), mTimer, mRandom);
    }

    private HistoryNode randomNode() {
        return mNodes.get(mRandom.nextInt(NODES));
    }

    private void restartNode() {
        randomNode().restart();
    }

    /**
     * Sends changes or a snapshot from one node to another, with loss, duplicates and reordering.
     */
    private void exchange() {
        HistoryNode sender = randomNode();
        HistoryNode receiver = randomNode();
        if (mRandom.nextInt(4) == 0) {
            List<byte[]> parts = SnapshotCodec.encode(sender.current());
            deliver(() -> receiver.receiveSnapshot(parts, mRandom));
            return;
        }
        long last = sender.current().revision();
        for (long revision = Math.max(1, last - 3); revision <= last; revision++) {
            StoreEntry entry = mStore.entries().get(ConfigurationKeys.change(revision));
            deliver(() -> receiver.receiveChange(entry.value()));
        }
    }

    private void deliver(Runnable delivery) {
        for (int copies = mRandom.nextInt(3); copies > 0; copies--) {
            mTimer.runAfter(Duration.ofMillis(mRandom.nextInt(400)), delivery);
        }
    }

    private void submitNewOrUnresolved() {
        if (!mUnresolved.isEmpty() && mRandom.nextInt(3) == 0) {
            resolve(mUnresolved.values().iterator().next());
            return;
        }
        HistoryNode seen = randomNode();
        submit(
                new RequestedChange(
                        new UUID(mRandom.nextLong(), mRandom.nextLong()),
                        seen.current().revision(),
                        List.of(randomOperation())));
    }

    private void resolve(RequestedChange change) {
        if (mRandom.nextBoolean()) {
            submit(change);
            return;
        }
        randomNode()
                .log()
                .lookup(change.changeId())
                .thenAccept(
                        result -> {
                            if (result instanceof LookupResult.Accepted(long revision)) {
                                record(new Response(change, new SubmitResult.Accepted(revision)));
                            }
                        });
    }

    private ConfigurationOperation randomOperation() {
        String name = "team-" + mRandom.nextInt(TENANTS);
        return mRandom.nextInt(4) == 0
                ? new ConfigurationOperation.DeleteTenant(name)
                : new ConfigurationOperation.PutTenant(
                        new TenantDefinition(name, 1 + mRandom.nextInt(100)));
    }

    private void submit(RequestedChange change) {
        mUnresolved.put(change.changeId(), change);
        long deadline =
                mTimer.clock().nanoTime()
                        + Duration.ofMillis(200 + mRandom.nextInt(3000)).toNanos();
        HistoryNode node = randomNode();
        submitTo(node, change, deadline).thenAccept(result -> record(new Response(change, result)));
    }

    private CompletableFuture<SubmitResult> submitTo(
            HistoryNode node, RequestedChange change, long deadline) {
        if (mInjectedBug == InjectedBug.ABSENT_MEANS_NOT_ACCEPTED) {
            return new NaiveSubmitter(mStore)
                    .submit(change.changeId(), change.base(), change.operations());
        }
        return node.log()
                .submit(
                        change.changeId(),
                        "operator",
                        change.base(),
                        change.operations(),
                        deadline);
    }

    private void record(Response response) {
        mResponses.add(response);
        if (!(response.result() instanceof SubmitResult.Unknown)) {
            mUnresolved.remove(response.change().changeId());
        }
        if (response.result() instanceof SubmitResult.Accepted(long revision)) {
            assertTrue(
                    mStore.entries().containsKey(ConfigurationKeys.change(revision)),
                    "accepted change is absent");
        }
    }

    private void resolveAll() {
        List.copyOf(mUnresolved.values()).forEach(this::submit);
        mTimer.runFor(Duration.ofSeconds(20));
        assertTrue(
                mUnresolved.isEmpty(),
                "the outcome of a change stays unknown with a healthy store");
    }

    private int check() {
        List<ConfigurationChange> log = readLog();
        Map<UUID, ConfigurationChange> byId =
                log.stream()
                        .collect(Collectors.toMap(ConfigurationChange::changeId, change -> change));
        mResponses.forEach(response -> checkResponse(response, log, byId));
        Configuration expected = Configuration.EMPTY;
        for (ConfigurationChange change : log) {
            expected = expected.apply(change);
        }
        for (HistoryNode node : mNodes) {
            node.checkOrder(log);
        }
        for (HistoryNode watcher : mNodes.subList(0, WATCHERS)) {
            assertEquals(watcher.current().revision(), log.size(), "a watcher lags behind");
            assertTrue(
                    Arrays.deepEquals(
                            SnapshotCodec.encode(watcher.current()).toArray(),
                            SnapshotCodec.encode(expected).toArray()));
        }
        return log.size();
    }

    private List<ConfigurationChange> readLog() {
        List<ConfigurationChange> log = new ArrayList<>();
        for (StoreEntry entry : mStore.entries().values()) {
            if (entry.key().startsWith(ConfigurationKeys.CHANGES)) {
                try {
                    log.add(ConfigurationChangeCodec.decode(entry.value()));
                } catch (MalformedConfigurationException malformed) {
                    throw new AssertionError(malformed);
                }
                assertEquals(log.getLast().revision(), log.size(), "the log has a gap");
            }
        }
        return log;
    }

    private void checkResponse(
            Response response, List<ConfigurationChange> log, Map<UUID, ConfigurationChange> byId) {
        UUID id = response.change().changeId();
        switch (response.result()) {
            case SubmitResult.Accepted(long revision) ->
                    assertEquals(log.get((int) revision - 1).changeId(), id, "false acceptance");
            case SubmitResult.Conflict(ConfigurationChange _, ConfigurationChange winner) -> {
                assertFalse(byId.containsKey(id), "false conflict");
                assertEquals(log.get((int) response.change().base()), winner);
            }
            case SubmitResult.Invalid _ -> assertFalse(byId.containsKey(id), "false invalidity");
            case SubmitResult.StoreUnavailable _ -> checkNotWritten(response, byId);
            case SubmitResult.Unknown _ -> {}
        }
    }

    /**
     * Checks a response that nothing was written. It concerns one submission only, so the change
     * may be in the log if another submission of the same change had a different response.
     */
    private void checkNotWritten(Response response, Map<UUID, ConfigurationChange> byId) {
        boolean everyoneSaysNotWritten =
                mResponses.stream()
                        .filter(other -> other.change().equals(response.change()))
                        .allMatch(other -> other.result() instanceof SubmitResult.StoreUnavailable);
        if (everyoneSaysNotWritten) {
            assertFalse(
                    byId.containsKey(response.change().changeId()),
                    "false \"nothing was written\"");
        }
    }
}
