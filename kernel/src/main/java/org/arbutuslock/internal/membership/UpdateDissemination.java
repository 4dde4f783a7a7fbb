package org.arbutuslock.internal.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutuslock.api.Clock;

/**
 * Pushes updates to random nodes of the own availability zone. Relays also push them to the other
 * availability zones and regions. Updates that exceed the byte budget are queued; a newer update
 * replaces a queued one about the same node.
 */
final class UpdateDissemination {
    // Half of the 7 KB/s that a node may send; the rest is for anti-entropy and heartbeats.
    private static final int PUSH_BYTES_PER_SECOND = 3_500;
    private static final int PUSH_BURST_BYTES = 12_000;

    // One message stays below 64 KiB even when every character of a name takes 3 bytes.
    private static final int MESSAGE_BYTES = 16_000;

    private final GossipSettings mSettings;
    private final MembershipTable mTable;
    private final MemberEntry mSelf;
    private final PeerSelection mPeers;
    private final Outbox mOutbox;
    private final ByteBudget mBudget;
    private final Map<String, QueuedUpdate> mQueued = new LinkedHashMap<>();
    private boolean mUrgent;

    UpdateDissemination(
            GossipSettings settings,
            MembershipTable table,
            MemberEntry self,
            PeerSelection peers,
            Outbox outbox,
            Clock clock) {
        mSettings = settings;
        mTable = table;
        mSelf = self;
        mPeers = peers;
        mOutbox = outbox;
        mBudget = new ByteBudget(clock, PUSH_BYTES_PER_SECOND, PUSH_BURST_BYTES);
    }

    /**
     * Queues an update.
     *
     * @param update the update; replaces a queued one about the same node
     * @param region region of the node that the update is about
     * @param fromZone true when the update came from another availability zone of this region; that
     *     zone's relays send it to all zones of the region, so this node does not
     */
    void add(MembershipUpdate update, String region, boolean fromZone) {
        mQueued.put(update.node(), new QueuedUpdate(update, region, fromZone));
        mUrgent |= isUrgent(update);
    }

    /**
     * Sends queued updates within the byte budget. Updates about this node and records of draining
     * nodes are sent at once, whatever the budget.
     */
    void flush() {
        while (!mQueued.isEmpty() && (mUrgent || mBudget.available() > 0)) {
            send(mUrgent ? takeUrgent() : takeBatch());
        }
    }

    private boolean isUrgent(MembershipUpdate update) {
        return update.node().equals(mSelf.node())
                || update instanceof MembershipUpdate.Present(NodeRecord record)
                        && record.draining();
    }

    private List<QueuedUpdate> takeUrgent() {
        List<QueuedUpdate> urgent = new ArrayList<>();
        Iterator<QueuedUpdate> queued = mQueued.values().iterator();
        int bytes = 0;
        while (queued.hasNext() && bytes < MESSAGE_BYTES) {
            QueuedUpdate queuedUpdate = queued.next();
            if (isUrgent(queuedUpdate.update())) {
                urgent.add(queuedUpdate);
                bytes += queuedUpdate.update().estimatedBytes();
                queued.remove();
            }
        }
        mUrgent = queued.hasNext() && bytes >= MESSAGE_BYTES;
        return urgent;
    }

    private List<QueuedUpdate> takeBatch() {
        List<QueuedUpdate> batch = new ArrayList<>();
        Iterator<QueuedUpdate> queued = mQueued.values().iterator();
        int limit = Math.min(MESSAGE_BYTES, mBudget.available() / mSettings.fanOut());
        int bytes = 0;
        while (queued.hasNext() && (batch.isEmpty() || bytes < limit)) {
            QueuedUpdate queuedUpdate = queued.next();
            batch.add(queuedUpdate);
            bytes += queuedUpdate.update().estimatedBytes();
            queued.remove();
        }
        return batch;
    }

    private void send(List<QueuedUpdate> batch) {
        if (batch.isEmpty()) {
            return;
        }
        push(addresses(mPeers.ofOwnZone(mSettings.fanOut())), batch);
        List<QueuedUpdate> forZones = new ArrayList<>();
        List<QueuedUpdate> forRegions = new ArrayList<>();
        String ownRegion = mSelf.record().region();
        for (QueuedUpdate queuedUpdate : batch) {
            int salt = Math.floorMod(queuedUpdate.update().version(), PeerSelection.SALTS);
            if (!queuedUpdate.fromZone() && mPeers.isZoneRelay(salt)) {
                forZones.add(queuedUpdate);
            }
            if (queuedUpdate.region().equals(ownRegion) && mPeers.isRegionRelay(salt)) {
                forRegions.add(queuedUpdate);
            }
        }
        if (!forZones.isEmpty()) {
            push(addresses(otherZones(ownRegion)), forZones);
        }
        if (!forRegions.isEmpty()) {
            push(addresses(otherRegions(ownRegion)), forRegions);
        }
    }

    private List<MemberEntry> otherZones(String ownRegion) {
        List<MemberEntry> targets = new ArrayList<>();
        for (String zone : mTable.zones(ownRegion)) {
            if (!zone.equals(mSelf.record().availabilityZone())) {
                mPeers.ofZone(ownRegion, zone).ifPresent(targets::add);
            }
        }
        return targets;
    }

    private List<MemberEntry> otherRegions(String ownRegion) {
        List<MemberEntry> targets = new ArrayList<>();
        for (String region : mTable.regions()) {
            if (!region.equals(ownRegion)) {
                mPeers.ofRegion(region).ifPresent(targets::add);
            }
        }
        return targets;
    }

    private void push(List<String> addresses, List<QueuedUpdate> queuedUpdates) {
        List<MembershipUpdate> updates = queuedUpdates.stream().map(QueuedUpdate::update).toList();
        int bytes =
                mOutbox.send(addresses, new GossipMessage.Delta(mOutbox.sender(), false, updates));
        mBudget.spend(bytes);
    }

    private static List<String> addresses(List<MemberEntry> entries) {
        return entries.stream().map(entry -> entry.record().peerAddress()).toList();
    }

    private record QueuedUpdate(MembershipUpdate update, String region, boolean fromZone) {}
}
