package org.arbutuslock.testbed.bench;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.platform.v1.StoreFaults;
import org.arbutuslock.testbed.store.StoreServer;

/** Nodes in two regions with two availability zones each, and a test store in the first region. */
final class SpreadBenchFleet implements AutoCloseable {
    static final int ZONES = 4;

    private static final Duration DELAY = Duration.ofMillis(20);
    private static final int EVENT_LOOP_THREADS = 3;
    private static final int SEEDS = 3;
    private static final long RESTART_SECONDS = 4;

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    private final ScheduledExecutorService mTasks = Executors.newScheduledThreadPool(2);
    private final SplittableRandom mRandom;
    private final StoreServer mStore;
    private final StoreDelay mStoreDelay;
    private final List<SpreadBenchNode> mNodes = new ArrayList<>();
    private volatile StoreRates mRates;
    private volatile boolean mClosing;
    private int mStoppedWatchers;

    SpreadBenchFleet(int nodes, long seed) throws IOException {
        mRandom = new SplittableRandom(seed);
        mStore = StoreServer.start(0, 0, Clock.system(), seed);
        mStoreDelay = new StoreDelay(mEventLoops, mStore.address(), DELAY);
        mRates = new StoreRates(mStore);
        for (int index = 0; index < nodes; index++) {
            mNodes.add(createNode(index));
        }
        mTasks.scheduleAtFixedRate(() -> mRates.sample(), 1, 1, TimeUnit.SECONDS);
    }

    private SpreadBenchNode createNode(int index) {
        int zone = index % ZONES;
        List<InetSocketAddress> seeds =
                mNodes.stream().limit(SEEDS).map(SpreadBenchNode::advertisedAddress).toList();
        boolean besideStore = zone < ZONES / 2;
        return new SpreadBenchNode(
                "node-" + index,
                besideStore ? "kingston" : "montego",
                List.of("kgn-mona", "kgn-papine", "mbj-bogue", "mbj-ironshore").get(zone),
                besideStore ? mStore.address() : mStoreDelay.address(),
                seeds,
                mEventLoops,
                DELAY,
                mRandom.nextLong());
    }

    void startAll() throws PluginException {
        for (SpreadBenchNode node : mNodes) {
            node.start();
        }
    }

    /** Starts a new count of the calls to the store and returns it. */
    StoreRates countCalls() {
        mRates = new StoreRates(mStore);
        return mRates;
    }

    StoreRates rates() {
        return mRates;
    }

    void setStoreDown(boolean down) {
        mStore.setFaults(StoreFaults.newBuilder().setDown(down).build());
    }

    void setLoss(double loss) {
        mNodes.forEach(node -> node.relay().setLoss(loss));
    }

    synchronized List<SpreadBenchNode> running() {
        return mNodes.stream().filter(SpreadBenchNode::isRunning).toList();
    }

    SpreadBenchNode anyRunning() {
        List<SpreadBenchNode> running = running();
        return running.get(mRandom.nextInt(running.size()));
    }

    boolean isComplete() {
        return running().stream().allMatch(node -> node.knownNodes() == mNodes.size());
    }

    long watchers() {
        return running().stream().filter(SpreadBenchNode::isWatching).count();
    }

    /** Stops one random watcher and starts it again after {@link #RESTART_SECONDS}. */
    void stopWatcher() {
        List<SpreadBenchNode> watchers =
                running().stream().filter(SpreadBenchNode::isWatching).toList();
        if (watchers.isEmpty()) {
            return;
        }
        SpreadBenchNode node = watchers.get(mRandom.nextInt(watchers.size()));
        mStoppedWatchers++;
        synchronized (this) {
            node.stop();
        }
        mTasks.schedule(() -> restart(node), RESTART_SECONDS, TimeUnit.SECONDS);
    }

    private synchronized void restart(SpreadBenchNode node) {
        try {
            if (!mClosing) {
                node.start();
            }
        } catch (PluginException failed) {
            System.err.println(node.name() + " could not be restarted: " + failed.getMessage());
        }
    }

    int stoppedWatchers() {
        return mStoppedWatchers;
    }

    @Override
    public void close() {
        mClosing = true;
        mTasks.shutdown();
        synchronized (this) {
            mNodes.forEach(SpreadBenchNode::close);
        }
        mStoreDelay.close();
        mStore.close();
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
