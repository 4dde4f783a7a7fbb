package org.arbutuslock.testbed.fault;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.testbed.fleet.InProcessFleet;

/**
 * Applies a fault schedule to a fleet in which node i is the home node of backend server i. The
 * relay of each node has at most one lasting fault at a time, and at most one process is down at a
 * time. Scheduled faults that would exceed these limits are skipped.
 */
final class FaultInjector implements AutoCloseable {
    private static final double DUPLICATE_SHARE = 0.3;
    private static final double CUT_SHARE = 0.01;
    private static final int PROCESS_KEY = -1;
    private static final int STOP_SECONDS = 30;

    private final InProcessFleet mFleet;
    private final List<String> mNodes;
    private final List<String> mBackends;
    private final FaultSchedule mSchedule;
    private final ScheduledExecutorService mExecutor =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().name("fault-injector").factory());
    private final Map<Integer, Runnable> mEndActions = new HashMap<>();
    private final Map<FaultKind, Integer> mApplied = new EnumMap<>(FaultKind.class);
    private final List<String> mFailures = new ArrayList<>();
    private final long mStartNanos = System.nanoTime();

    FaultInjector(
            InProcessFleet fleet,
            List<String> nodes,
            List<String> backends,
            FaultSchedule schedule) {
        mFleet = fleet;
        mNodes = nodes;
        mBackends = backends;
        mSchedule = schedule;
    }

    void start() {
        scheduleNext();
    }

    private void scheduleNext() {
        FaultStep step = mSchedule.next();
        long elapsed = Duration.ofNanos(System.nanoTime() - mStartNanos).toMillis();
        mExecutor.schedule(
                () -> applyAndContinue(step),
                Math.max(0, step.atMillis() - elapsed),
                TimeUnit.MILLISECONDS);
    }

    private void applyAndContinue(FaultStep step) {
        try {
            apply(step);
        } catch (RuntimeException failed) {
            mFailures.add(step + ": " + failed);
        }
        scheduleNext();
    }

    private void apply(FaultStep step) {
        boolean stopsProcess =
                step.kind() == FaultKind.NODE_RESTART || step.kind() == FaultKind.BACKEND_RESTART;
        int key = stopsProcess ? PROCESS_KEY : step.target();
        if (mEndActions.containsKey(key)) {
            return;
        }
        mApplied.merge(step.kind(), 1, Integer::sum);
        Runnable end = begin(step.kind(), step.target());
        if (step.durationMillis() > 0) {
            mEndActions.put(key, end);
            mExecutor.schedule(() -> end(key), step.durationMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void end(int key) {
        Runnable end = mEndActions.remove(key);
        if (end != null) {
            end.run();
        }
    }

    /** Starts a fault and returns the action that ends it. */
    private Runnable begin(FaultKind kind, int target) {
        FaultRelay relay = mFleet.relay(mNodes.get(target));
        RelayFaults none = RelayFaults.none();
        switch (kind) {
            case RESET -> relay.resetConnections();
            case SILENCE -> relay.silenceConnections();
            case DELAY -> relay.setFaults(none.withDelay(Duration.ofMillis(60)));
            case DUPLICATE -> relay.setFaults(none.withDuplicateShare(DUPLICATE_SHARE));
            case CUT -> relay.setFaults(none.withCutShare(CUT_SHARE));
            case PARTITION_TO_NODE -> relay.setFaults(none.withHeld(RelayDirection.TO_NODE));
            case PARTITION_FROM_NODE -> relay.setFaults(none.withHeld(RelayDirection.FROM_NODE));
            case NODE_RESTART -> {
                mFleet.stopNode(mNodes.get(target));
                return () -> startNode(mNodes.get(target));
            }
            case BACKEND_RESTART -> {
                mFleet.stopBackend(mBackends.get(target));
                return () -> mFleet.startBackend(mBackends.get(target));
            }
        }
        return () -> relay.setFaults(none);
    }

    private void startNode(String name) {
        try {
            mFleet.startNode(name);
        } catch (PluginException failed) {
            throw new IllegalStateException(
                    "node " + name + " could not be restarted after an injected stop", failed);
        }
    }

    /** Stops the schedule and ends all active faults. */
    @Override
    public void close() throws InterruptedException {
        mExecutor.shutdownNow();
        if (!mExecutor.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(
                    "applying or ending a fault took longer than " + STOP_SECONDS + " s");
        }
        mEndActions.values().forEach(Runnable::run);
        mEndActions.clear();
    }

    /** Returns the number of applied faults by kind. Must be called after {@link #close()}. */
    Map<FaultKind, Integer> applied() {
        return mApplied;
    }

    /** Describes the faults that could not be applied. Must be called after {@link #close()}. */
    List<String> failures() {
        return mFailures;
    }
}
