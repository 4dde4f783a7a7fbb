package org.arbutuslock.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.messages.MessageFormatException;

/**
 * Deterministic simulation of a fleet: real protocol objects on a manual clock, whose messages are
 * delivered in process with random loss, duplication, delays and partitions.
 */
final class GossipSimulation {
    private static final int MINIMUM_DELAY_MILLIS = 1;

    final ManualClock mClock = new ManualClock();
    final SplittableRandom mRandom;
    final Map<String, Member> mMembers = new TreeMap<>();
    private final GossipSettings mSettings;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::nanos).thenComparingLong(Event::sequence));
    private long mSequence;
    double mLossProbability;
    double mDuplicationProbability;
    int mMaximumDelayMillis = 5;
    BiPredicate<Member, Member> mPartition = (from, to) -> false;

    GossipSimulation(long seed, GossipSettings settings) {
        mRandom = new SplittableRandom(seed);
        mSettings = settings;
    }

    Member start(String node, String region, String zone, long incarnation) {
        List<String> seeds = mMembers.keySet().stream().limit(3).toList();
        NodeRecord record =
                new NodeRecord(
                        node,
                        incarnation,
                        0,
                        node,
                        region,
                        zone,
                        0,
                        false,
                        List.of(endpoint(node, 100)));
        Member member = new Member(record, seeds);
        mMembers.put(node, member);
        scheduleTick(member, mRandom.nextLong(GossipProtocol.TICK_INTERVAL.toNanos()));
        return member;
    }

    void kill(String node) {
        mMembers.remove(node).mDead = true;
    }

    static EndpointRecord endpoint(String node, int weight) {
        return new EndpointRecord(
                new EndpointId("orders", node), 5, EndpointState.IN_SERVICE, weight);
    }

    void runFor(Duration duration) {
        long end = mClock.nanoTime() + duration.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= end) {
            Event event = mEvents.remove();
            mClock.advance(Duration.ofNanos(event.nanos() - mClock.nanoTime()));
            event.action().run();
        }
        mClock.advance(Duration.ofNanos(end - mClock.nanoTime()));
    }

    /** Describes the first node whose view differs from the live records; empty when none does. */
    String difference() {
        Map<String, NodeRecord> expected = new TreeMap<>();
        mMembers.forEach((node, member) -> expected.put(node, member.mProtocol.localRecord()));
        for (Member member : mMembers.values()) {
            if (!member.mView.equals(expected)) {
                return member.name()
                        + " sees "
                        + versions(member.mView)
                        + " not "
                        + versions(expected);
            }
        }
        return "";
    }

    private static String versions(Map<String, NodeRecord> view) {
        StringBuilder text = new StringBuilder();
        view.forEach(
                (node, record) ->
                        text.append(node)
                                .append(' ')
                                .append(record.incarnation())
                                .append('.')
                                .append(record.version())
                                .append(' '));
        return text.toString();
    }

    private void scheduleTick(Member member, long delayNanos) {
        schedule(
                delayNanos,
                () -> {
                    if (member.mDead) {
                        return;
                    }
                    if (!member.mPaused) {
                        member.handle(member.mProtocol.tick());
                    }
                    scheduleTick(member, GossipProtocol.TICK_INTERVAL.toNanos());
                });
    }

    private void schedule(long delayNanos, Runnable action) {
        mEvents.add(new Event(mClock.nanoTime() + delayNanos, mSequence++, action));
    }

    private void transmit(Member from, GossipAction.Send send) {
        int copies = mRandom.nextDouble() < mDuplicationProbability ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (mRandom.nextDouble() >= mLossProbability) {
                int delay = mRandom.nextInt(MINIMUM_DELAY_MILLIS, mMaximumDelayMillis + 1);
                schedule(
                        Duration.ofMillis(delay).toNanos(),
                        () -> deliver(from, send.address(), send.payload()));
            }
        }
    }

    private void deliver(Member from, String address, byte[] payload) {
        Member to = mMembers.get(address);
        if (to != null && !mPartition.test(from, to)) {
            to.receive(payload);
        }
    }

    private record Event(long nanos, long sequence, Runnable action) {}

    /** A simulated node with the view of the fleet that results from its actions. */
    final class Member {
        final GossipProtocol mProtocol;
        final Map<String, NodeRecord> mView = new TreeMap<>();
        final List<String> mSuspectedNodes = new ArrayList<>();
        final List<String> mLeftNodes = new ArrayList<>();
        private final Map<String, NodeRecord> mNewest = new HashMap<>();
        private final List<byte[]> mQueuedMessages = new ArrayList<>();
        boolean mPaused;
        boolean mDead;

        private Member(NodeRecord record, List<String> seeds) {
            mProtocol = new GossipProtocol(record, seeds, mSettings, mClock, mRandom.split());
        }

        String name() {
            return mProtocol.localRecord().node();
        }

        String region() {
            return mProtocol.localRecord().region();
        }

        void resume() {
            mPaused = false;
            List<byte[]> queued = List.copyOf(mQueuedMessages);
            mQueuedMessages.clear();
            queued.forEach(this::receive);
        }

        void setWeight(int weight) {
            handle(mProtocol.update(List.of(endpoint(name(), weight)), 0));
        }

        void receive(byte[] payload) {
            if (mPaused) {
                mQueuedMessages.add(payload);
                return;
            }
            try {
                handle(mProtocol.receive(GossipMessageCodec.decode(payload)));
            } catch (MessageFormatException unexpected) {
                throw new AssertionError(unexpected);
            }
        }

        void handle(List<GossipAction> actions) {
            for (GossipAction action : actions) {
                switch (action) {
                    case GossipAction.Send send -> transmit(this, send);
                    case GossipAction.Joined(NodeRecord record) -> addToView(record);
                    case GossipAction.Changed(NodeRecord record) -> addToView(record);
                    case GossipAction.Suspected(NodeRecord record) ->
                            mSuspectedNodes.add(record.node());
                    case GossipAction.Left(NodeRecord record) -> {
                        mView.remove(record.node());
                        mLeftNodes.add(record.node());
                    }
                    case GossipAction.Resumed resumed -> {}
                }
            }
        }

        /**
         * Adds a record to the view. Fails when it is not newer than every earlier record of the
         * node, even if the node was removed in between.
         */
        private void addToView(NodeRecord record) {
            NodeRecord newest = mNewest.put(record.node(), record);
            if (newest != null && !record.isNewerThan(newest)) {
                throw new AssertionError(name() + ": " + record + " replaced " + newest);
            }
            mView.put(record.node(), record);
        }
    }
}
