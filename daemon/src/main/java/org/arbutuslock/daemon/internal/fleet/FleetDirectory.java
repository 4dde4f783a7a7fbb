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

/**
 * Publishes the view of the fleet for the path of requests. One thread applies changes; any thread
 * reads.
 */
public final class FleetDirectory {
    private final List<Consumer<FleetSnapshot>> mListeners = new CopyOnWriteArrayList<>();
    private volatile FleetSnapshot mSnapshot = FleetSnapshot.EMPTY;

    /** Creates an empty directory. */
    public FleetDirectory() {}

    /**
     * Returns the current view.
     *
     * @return immutable snapshot
     */
    public FleetSnapshot current() {
        return mSnapshot;
    }

    /**
     * Registers a listener for new snapshots.
     *
     * @param listener called on the thread that made the change
     */
    public void addListener(Consumer<FleetSnapshot> listener) {
        mListeners.add(listener);
    }

    /**
     * Applies the changes of nodes among some actions with one new snapshot. Calls must not
     * overlap.
     *
     * @param actions actions of the membership protocol
     */
    void apply(List<GossipAction> actions) {
        Map<String, NodeRecord> changed = new HashMap<>();
        Set<String> gone = new HashSet<>();
        for (GossipAction action : actions) {
            switch (action) {
                case GossipAction.Joined(NodeRecord record) -> changed.put(record.node(), record);
                case GossipAction.Changed(NodeRecord record) -> changed.put(record.node(), record);
                case GossipAction.Left(NodeRecord record) -> {
                    changed.remove(record.node());
                    gone.add(record.node());
                }
                default -> {}
            }
        }
        gone.removeAll(changed.keySet());
        if (changed.isEmpty() && gone.isEmpty()) {
            return;
        }
        FleetSnapshot snapshot = mSnapshot.with(changed.values(), gone);
        mSnapshot = snapshot;
        mListeners.forEach(listener -> listener.accept(snapshot));
    }
}
