package org.arbutuslock.internal.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutuslock.api.Clock;

/**
 * Pushes updates to random nodes of the availability zone and, on relays, to the other availability
 * zones and regions. A burst of updates waits for the byte budget; a newer statement replaces an
 * older one of the same node that still waits.
 */
final class UpdateDissemination {
    // Half of the 7 KB/s that a node may send; the other half is for repairs and heartbeats.
    private static final int NEWS_BYTES_PER_SECOND = 3_500;
    private static final int NEWS_BURST_BYTES = 12_000;

    // One message stays below 64 KiB even when every character of a name takes 3 bytes.
    private static final int MESSAGE_BYTES = 16_000;

    private final GossipSettings mSettings;
    private final MembershipTable mTable;
    private final MemberEntry mSelf;
    private final PeerSelection mPeers;
    private final Outbox mOutbox;
    private final ByteBudget mBudget;
    private final Map<String, RecordUpdate> mWaiting = new LinkedHashMap<>();
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
        mBudget = new ByteBudget(clock, NEWS_BYTES_PER_SECOND, NEWS_BURST_BYTES);
    }

    /**
     * Queues an update.
     *
     * @param statement the update
     * @param region region of the node that it is about
     * @param fromZone true when it came from another availability zone of this region, whose relays
     *     serve all zones of the region
     */
    void add(MembershipUpdate statement, String region, boolean fromZone) {
        mWaiting.put(statement.node(), new RecordUpdate(statement, region, fromZone));
        mUrgent |= isUrgent(statement);
    }

    /** Sends what the budget allows. The node's own record and draining records do not wait. */
    void flush() {
        while (!mWaiting.isEmpty() && (mUrgent || mBudget.available() > 0)) {
            send(mUrgent ? takeUrgent() : takeBatch());
        }
    }

    private boolean isUrgent(MembershipUpdate statement) {
        return statement.node().equals(mSelf.node())
                || statement instanceof MembershipUpdate.Present(NodeRecord record)
                        && record.draining();
    }

    private List<RecordUpdate> takeUrgent() {
        List<RecordUpdate> urgent = new ArrayList<>();
        Iterator<RecordUpdate> waiting = mWaiting.values().iterator();
        int bytes = 0;
        while (waiting.hasNext() && bytes < MESSAGE_BYTES) {
            RecordUpdate update = waiting.next();
            if (isUrgent(update.statement())) {
                urgent.add(update);
                bytes += update.statement().estimatedBytes();
                waiting.remove();
            }
        }
        mUrgent = waiting.hasNext() && bytes >= MESSAGE_BYTES;
        return urgent;
    }

    private List<RecordUpdate> takeBatch() {
        List<RecordUpdate> batch = new ArrayList<>();
        Iterator<RecordUpdate> waiting = mWaiting.values().iterator();
        int limit = Math.min(MESSAGE_BYTES, mBudget.available() / mSettings.fanOut());
        int bytes = 0;
        while (waiting.hasNext() && (batch.isEmpty() || bytes < limit)) {
            RecordUpdate update = waiting.next();
            batch.add(update);
            bytes += update.statement().estimatedBytes();
            waiting.remove();
        }
        return batch;
    }

    private void send(List<RecordUpdate> batch) {
        if (batch.isEmpty()) {
            return;
        }
        push(addresses(mPeers.ofOwnZone(mSettings.fanOut())), batch);
        List<RecordUpdate> forZones = new ArrayList<>();
        List<RecordUpdate> forRegions = new ArrayList<>();
        String ownRegion = mSelf.record().region();
        for (RecordUpdate update : batch) {
            int salt = Math.floorMod(update.statement().version(), PeerSelection.SALTS);
            if (!update.fromZone() && mPeers.isZoneRelay(salt)) {
                forZones.add(update);
            }
            if (update.region().equals(ownRegion) && mPeers.isRegionRelay(salt)) {
                forRegions.add(update);
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

    private void push(List<String> addresses, List<RecordUpdate> updates) {
        List<MembershipUpdate> statements = updates.stream().map(RecordUpdate::statement).toList();
        int bytes =
                mOutbox.send(
                        addresses, new GossipMessage.Delta(mOutbox.sender(), false, statements));
        mBudget.spend(bytes);
    }

    private static List<String> addresses(List<MemberEntry> entries) {
        return entries.stream().map(entry -> entry.record().peerAddress()).toList();
    }

    private record RecordUpdate(MembershipUpdate statement, String region, boolean fromZone) {}
}
