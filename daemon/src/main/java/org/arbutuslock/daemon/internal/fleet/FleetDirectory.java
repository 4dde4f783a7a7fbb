package org.arbutuslock.daemon.internal.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;

/** Newest known record of each node, published as a snapshot for the path of requests. */
public final class FleetDirectory {
    private final Map<String, NodeRecord> mRecords = new HashMap<>();
    private final AtomicReference<FleetSnapshot> mSnapshot =
            new AtomicReference<>(FleetSnapshot.EMPTY);
    private final List<Consumer<FleetSnapshot>> mListeners = new CopyOnWriteArrayList<>();

    /** Creates an empty directory. */
    public FleetDirectory() {}

    /**
     * Returns the current view.
     *
     * @return immutable snapshot
     */
    public FleetSnapshot current() {
        return mSnapshot.get();
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
     * Adds records that are newer than the known ones.
     *
     * @param records records of any nodes
     * @return records that were newer
     */
    public List<NodeRecord> merge(Collection<NodeRecord> records) {
        List<NodeRecord> newer = new ArrayList<>();
        synchronized (this) {
            for (NodeRecord record : records) {
                NodeRecord known = mRecords.get(record.node());
                if (known == null || record.isNewerThan(known)) {
                    mRecords.put(record.node(), record);
                    newer.add(record);
                }
            }
            if (!newer.isEmpty()) {
                mSnapshot.set(mSnapshot.get().with(newer, List.of()));
            }
        }
        if (!newer.isEmpty()) {
            notifyListeners();
        }
        return newer;
    }

    /**
     * Removes a node if its record has not been replaced.
     *
     * @param record record of the node that is gone
     */
    public void remove(NodeRecord record) {
        boolean removed;
        synchronized (this) {
            removed = mRecords.remove(record.node(), record);
            if (removed) {
                mSnapshot.set(mSnapshot.get().with(List.of(), List.of(record.node())));
            }
        }
        if (removed) {
            notifyListeners();
        }
    }

    private void notifyListeners() {
        FleetSnapshot snapshot = mSnapshot.get();
        mListeners.forEach(listener -> listener.accept(snapshot));
    }
}
