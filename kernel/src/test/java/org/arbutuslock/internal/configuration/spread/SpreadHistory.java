package org.arbutuslock.internal.configuration.spread;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.internal.configuration.ConfigurationChangeCodec;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.internal.configuration.MalformedConfigurationException;
import org.arbutuslock.internal.configuration.SubmitResult;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.testing.FakePlatformStore;
import org.arbutuslock.internal.testing.FakePlatformStore.Fault;
import org.arbutuslock.internal.testing.SimulatedTimer;

/**
 * Simulates a fleet of two regions with faults of the network, the nodes and the store. Checks that
 * all accepted changes reach every running node in the same order. A seed determines the whole run.
 */
final class SpreadHistory {
    private static final String CHANGES = "configuration/changes/";
    private static final int NODES_PER_ZONE = 4;

    /** Probability that a message between nodes is lost. */
    private static final double LOSS = 0.2;

    /** Probability that a message between nodes is sent twice. */
    private static final double DUPLICATION = 0.1;

    /** Simulated time with all kinds of faults. */
    private static final Duration FAULTY_TIME = Duration.ofSeconds(30);

    /** Simulated time without new faults after which all nodes must have the same revision. */
    private static final Duration SETTLE_TIME = Duration.ofSeconds(12);

    /**
     * Simulated time after which every zone must have a watcher again. A slot of a restored backup
     * is taken over after 30 s without a watcher and one poll.
     */
    private static final Duration WATCHER_TIME = Duration.ofSeconds(40);

    private static final Duration SUBMIT_LIMIT = Duration.ofSeconds(2);

    /** Bugs of the nodes that the checks must detect. */
    enum InjectedBug {
        NONE,
        /** Nodes never send digests, so that they do not compare revisions. */
        NO_DIGESTS,
        /** A node replaces the configuration in force by an older one. */
        LOWER_REVISION
    }

    private final Random mRandom;
    private final InjectedBug mInjectedBug;
    private final SimulatedTimer mTimer = new SimulatedTimer();
    private final FakePlatformStore mStore;
    private final Map<String, SpreadNode> mNodes = new LinkedHashMap<>();
    private final Set<UUID> mAccepted = new HashSet<>();
    private final Set<String> mCutLinks = new HashSet<>();
    private boolean mRegionsCut;
    private boolean mStoreDown;
    private boolean mSubmitting = true;
    private boolean mEnding;

    SpreadHistory(long seed, InjectedBug injectedBug) {
        mRandom = new Random(seed);
        mInjectedBug = injectedBug;
        mStore = new FakePlatformStore(mTimer, this::chooseFault, () -> Duration.ofMillis(1));
        for (int zone = 0; zone < 4; zone++) {
            for (int index = 0; index < NODES_PER_ZONE; index++) {
                String name = "zone" + zone + "-" + index;
                NodeIdentity identity =
                        new NodeIdentity(name, name, "region" + zone / 2, "zone" + zone);
                mNodes.put(name, new SpreadNode(this, identity, mTimer, mStore, mRandom));
            }
        }
    }

    /** Runs the simulation and all checks; returns the number of accepted changes. */
    int runAndCheck() {
        mNodes.values().forEach(node -> node.start(fleet()));
        mTimer.runFor(Duration.ofSeconds(5));
        repeat(400, this::submit);
        repeat(4000, this::cutLink);
        repeat(6000, this::pauseNode);
        repeat(4000, this::killAndRestart);
        repeat(8000, this::cutRegions);
        repeat(8000, this::stopStore);
        mTimer.runAfter(Duration.ofSeconds(4 + mRandom.nextInt(10)), this::restoreOlderBackup);
        if (mInjectedBug == InjectedBug.LOWER_REVISION) {
            mTimer.runAfter(FAULTY_TIME, () -> anyRunning().resetConfiguration());
        }
        mTimer.runFor(FAULTY_TIME);
        settleWithoutStore();
        settleWithStore();
        return check();
    }

    /**
     * Checks that all nodes reach the highest revision while the store is down. Messages are still
     * lost, and nodes that restart can get the configuration only from their peers.
     */
    private void settleWithoutStore() {
        mEnding = true;
        mSubmitting = false;
        mTimer.runFor(SUBMIT_LIMIT);
        mStoreDown = true;
        mRegionsCut = false;
        mCutLinks.clear();
        mNodes.values().stream().filter(SpreadNode::isAlive).forEach(SpreadNode::resume);
        mTimer.runFor(SETTLE_TIME);
        for (int count = 0; count < 3; count++) {
            SpreadNode node = anyRunning();
            node.kill();
            node.start(fleet());
        }
        mTimer.runFor(SETTLE_TIME);
        long highest = mNodes.values().stream().mapToLong(SpreadNode::revision).max().orElse(0);
        mNodes.values()
                .forEach(
                        node ->
                                assertEquals(
                                        node.revision(),
                                        highest,
                                        "revision of a node while the store is down"));
    }

    private void settleWithStore() {
        mStoreDown = false;
        mTimer.runFor(WATCHER_TIME);
    }

    private void repeat(int meanMillis, Runnable action) {
        mTimer.runAfter(
                Duration.ofMillis(1 + mRandom.nextInt(2 * meanMillis)),
                () -> {
                    if (!mEnding) {
                        action.run();
                        repeat(meanMillis, action);
                    }
                });
    }

    private Fault chooseFault(String kind) {
        if (mStoreDown) {
            return Fault.DOWN;
        }
        return !mEnding && mRandom.nextInt(10) == 0 ? Fault.RESPONSE_LOST : Fault.NONE;
    }

    private FleetSnapshot fleet() {
        return FleetSnapshot.of(mNodes.values().stream().map(SpreadNode::toRecord).toList());
    }

    private SpreadNode anyRunning() {
        List<SpreadNode> running = mNodes.values().stream().filter(SpreadNode::isRunning).toList();
        return running.get(mRandom.nextInt(running.size()));
    }

    void transmit(SpreadNode from, String address, byte[] payload) {
        if (mInjectedBug == InjectedBug.NO_DIGESTS && isDigest(payload)) {
            return;
        }
        int copies = mRandom.nextDouble() < DUPLICATION ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (mRandom.nextDouble() >= LOSS) {
                int millis = 1 + mRandom.nextInt(mRandom.nextInt(20) == 0 ? 500 : 40);
                mTimer.runAfter(Duration.ofMillis(millis), () -> deliver(from, address, payload));
            }
        }
    }

    private static boolean isDigest(byte[] payload) {
        try {
            return SpreadMessageCodec.decode(payload) instanceof SpreadMessage.Digest;
        } catch (MessageFormatException unexpected) {
            throw new AssertionError(unexpected);
        }
    }

    private void deliver(SpreadNode from, String address, byte[] payload) {
        SpreadNode receiver = mNodes.get(address);
        boolean sameRegion = receiver.identity().region().equals(from.identity().region());
        boolean cut = mRegionsCut && !sameRegion;
        if (!cut && !mCutLinks.contains(from.identity().node() + ">" + address)) {
            receiver.receive(from.identity().node(), payload);
        }
    }

    private void submit() {
        if (!mSubmitting) {
            return;
        }
        SpreadNode node = anyRunning();
        UUID id = new UUID(mRandom.nextLong(), mRandom.nextLong());
        long deadline = mTimer.clock().nanoTime() + SUBMIT_LIMIT.toNanos();
        String tenant = "team-" + mRandom.nextInt(10);
        node.log()
                .submit(
                        id,
                        "operator",
                        node.revision(),
                        List.of(
                                new ConfigurationOperation.PutTenant(
                                        new TenantDefinition(tenant, 1 + mRandom.nextInt(9)))),
                        deadline)
                .thenAccept(
                        result -> {
                            if (result instanceof SubmitResult.Accepted) {
                                mAccepted.add(id);
                            }
                        });
    }

    /** Cuts one direction of a link between two nodes for 5 s. */
    private void cutLink() {
        String link = anyRunning().identity().node() + ">" + anyRunning().identity().node();
        mCutLinks.add(link);
        mTimer.runAfter(Duration.ofSeconds(5), () -> mCutLinks.remove(link));
    }

    private void cutRegions() {
        mRegionsCut = true;
        mTimer.runAfter(Duration.ofSeconds(1 + mRandom.nextInt(8)), () -> mRegionsCut = false);
    }

    private void stopStore() {
        mStoreDown = true;
        mTimer.runAfter(Duration.ofSeconds(1 + mRandom.nextInt(6)), () -> mStoreDown = false);
    }

    private void pauseNode() {
        SpreadNode node = anyRunning();
        node.pause();
        mTimer.runAfter(
                Duration.ofSeconds(1 + mRandom.nextInt(15)),
                () -> {
                    if (node.isAlive()) {
                        node.resume();
                    }
                });
    }

    /**
     * Kills a node and restarts it after 1 to 10 s. Watchers are preferred, so that the watchers of
     * a zone fail one after another.
     */
    private void killAndRestart() {
        SpreadNode node =
                mNodes.values().stream()
                        .filter(each -> each.isRunning() && each.status().watching())
                        .skip(mRandom.nextInt(8))
                        .findFirst()
                        .orElseGet(this::anyRunning);
        node.kill();
        mTimer.runAfter(Duration.ofSeconds(1 + mRandom.nextInt(10)), () -> start(node));
    }

    private void start(SpreadNode node) {
        if (!node.isAlive()) {
            node.start(fleet());
            mNodes.values().forEach(each -> each.updateFleet(fleet()));
        }
    }

    /**
     * Restores an older backup and then the newest one. No changes are submitted until the newest
     * one is restored, which is what event 7001 (STORE_BEHIND) tells operators to do.
     */
    private void restoreOlderBackup() {
        TreeMap<String, StoreEntry> older = new TreeMap<>(mStore.entries());
        mTimer.runAfter(Duration.ofSeconds(4), () -> mSubmitting = false);
        mTimer.runAfter(
                Duration.ofSeconds(8),
                () -> {
                    TreeMap<String, StoreEntry> newest = new TreeMap<>(mStore.entries());
                    mStore.restore(older);
                    mTimer.runAfter(
                            Duration.ofSeconds(6),
                            () -> {
                                mStore.restore(newest);
                                mSubmitting = !mEnding;
                            });
                });
    }

    private int check() {
        List<UUID> log = readLog();
        assertTrue(log.containsAll(mAccepted), "an accepted change is not in the log");
        Set<String> watchedZones = new HashSet<>();
        for (SpreadNode node : mNodes.values()) {
            node.checkOrder(log);
            assertEquals(node.revision(), log.size(), node.identity() + " misses changes");
            if (node.status().watching()) {
                watchedZones.add(node.identity().zone());
            }
        }
        assertEquals(watchedZones.size(), 4, "zones with a watcher");
        return log.size();
    }

    private List<UUID> readLog() {
        List<UUID> log = new ArrayList<>();
        for (StoreEntry entry : mStore.entries().values()) {
            if (entry.key().startsWith(CHANGES)) {
                try {
                    log.add(ConfigurationChangeCodec.decode(entry.value()).changeId());
                } catch (MalformedConfigurationException malformed) {
                    throw new AssertionError(malformed);
                }
            }
        }
        return log;
    }
}
