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

/** Real protocol objects on a manual clock with messages handed over directly. */
final class GossipSimulation {
    private static final int LEAST_DELAY_MILLIS = 1;

    final ManualClock mClock = new ManualClock();
    final SplittableRandom mRandom;
    final Map<String, Member> mMembers = new TreeMap<>();
    private final GossipSettings mSettings;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::nanos).thenComparingLong(Event::sequence));
    private long mSequence;
    double mLoss;
    double mDuplication;
    int mMostDelayMillis = 5;
    BiPredicate<Member, Member> mCut = (from, to) -> false;

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
        tickLater(member, mRandom.nextLong(GossipProtocol.TICK_INTERVAL.toNanos()));
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

    /** Returns a difference between the views of live nodes, or an empty text. */
    String difference() {
        Map<String, NodeRecord> truth = new TreeMap<>();
        mMembers.forEach((node, member) -> truth.put(node, member.mProtocol.localRecord()));
        for (Member member : mMembers.values()) {
            if (!member.mView.equals(truth)) {
                return member.name()
                        + " sees "
                        + versions(member.mView)
                        + " not "
                        + versions(truth);
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

    private void tickLater(Member member, long delayNanos) {
        later(
                delayNanos,
                () -> {
                    if (member.mDead) {
                        return;
                    }
                    if (!member.mPaused) {
                        member.handle(member.mProtocol.tick());
                    }
                    tickLater(member, GossipProtocol.TICK_INTERVAL.toNanos());
                });
    }

    private void later(long delayNanos, Runnable action) {
        mEvents.add(new Event(mClock.nanoTime() + delayNanos, mSequence++, action));
    }

    private void transmit(Member from, GossipAction.Send send) {
        int copies = mRandom.nextDouble() < mDuplication ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (mRandom.nextDouble() >= mLoss) {
                int delay = mRandom.nextInt(LEAST_DELAY_MILLIS, mMostDelayMillis + 1);
                later(
                        Duration.ofMillis(delay).toNanos(),
                        () -> deliver(from, send.address(), send.payload()));
            }
        }
    }

    private void deliver(Member from, String address, byte[] payload) {
        Member to = mMembers.get(address);
        if (to != null && !mCut.test(from, to)) {
            to.receive(payload);
        }
    }

    private record Event(long nanos, long sequence, Runnable action) {}

    /** One node with the view that its actions describe. */
    final class Member {
        final GossipProtocol mProtocol;
        final Map<String, NodeRecord> mView = new TreeMap<>();
        final List<String> mSuspectedNodes = new ArrayList<>();
        final List<String> mLeftNodes = new ArrayList<>();
        private final Map<String, NodeRecord> mNewest = new HashMap<>();
        private final List<byte[]> mWaiting = new ArrayList<>();
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
            List<byte[]> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.forEach(this::receive);
        }

        void setWeight(int weight) {
            handle(mProtocol.update(List.of(endpoint(name(), weight)), 0));
        }

        void receive(byte[] payload) {
            if (mPaused) {
                mWaiting.add(payload);
                return;
            }
            try {
                handle(mProtocol.receive(GossipMessageCodec.decode(payload)));
            } catch (MessageFormatException impossible) {
                throw new AssertionError(impossible);
            }
        }

        void handle(List<GossipAction> actions) {
            for (GossipAction action : actions) {
                switch (action) {
                    case GossipAction.Send send -> transmit(this, send);
                    case GossipAction.Joined(NodeRecord record) -> see(record);
                    case GossipAction.Changed(NodeRecord record) -> see(record);
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

        /** An older record never replaces a newer one, not even after the node was removed. */
        private void see(NodeRecord record) {
            NodeRecord newest = mNewest.put(record.node(), record);
            if (newest != null && !record.isNewerThan(newest)) {
                throw new AssertionError(name() + ": " + record + " replaced " + newest);
            }
            mView.put(record.node(), record);
        }
    }
}
