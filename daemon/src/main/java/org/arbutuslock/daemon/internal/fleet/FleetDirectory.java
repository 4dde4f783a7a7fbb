package org.arbutuslock.daemon.internal.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.GossipAction;
import org.arbutuslock.internal.membership.NodeRecord;

/** Publishes the current snapshot of the fleet. One thread applies changes; any thread may read. */
public final class FleetDirectory {
    private final List<Consumer<FleetSnapshot>> mListeners = new CopyOnWriteArrayList<>();
    private volatile FleetSnapshot mSnapshot = FleetSnapshot.EMPTY;

    /** Creates an empty directory. */
    public FleetDirectory() {}

    /**
     * Returns the current snapshot.
     *
     * @return immutable snapshot; empty before the first change
     */
    public FleetSnapshot current() {
        return mSnapshot;
    }

    /**
     * Registers a listener for new snapshots.
     *
     * @param listener called on the thread that applies the change
     */
    public void addListener(Consumer<FleetSnapshot> listener) {
        mListeners.add(listener);
    }

    /**
     * Applies all node changes in a list of actions, and publishes one new snapshot if there are
     * any. Calls must not overlap.
     *
     * @param actions actions of the membership protocol; those without a node change are ignored
     */
    void apply(List<GossipAction> actions) {
        Map<String, NodeRecord> changed = new HashMap<>();
        Set<String> removed = new HashSet<>();
        for (GossipAction action : actions) {
            switch (action) {
                case GossipAction.Joined(NodeRecord record) -> changed.put(record.node(), record);
                case GossipAction.Changed(NodeRecord record) -> changed.put(record.node(), record);
                case GossipAction.Left(NodeRecord record) -> {
                    changed.remove(record.node());
                    removed.add(record.node());
                }
                default -> {}
            }
        }
        removed.removeAll(changed.keySet());
        if (changed.isEmpty() && removed.isEmpty()) {
            return;
        }
        FleetSnapshot snapshot = mSnapshot.with(changed.values(), removed);
        mSnapshot = snapshot;
        mListeners.forEach(listener -> listener.accept(snapshot));
    }
}
