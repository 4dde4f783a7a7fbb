package org.arbutuslock.testbed.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.membership.GossipAction;
import org.arbutuslock.internal.membership.GossipMessage;
import org.arbutuslock.internal.membership.GossipMessageCodec;
import org.arbutuslock.internal.membership.GossipProtocol;
import org.arbutuslock.internal.membership.GossipSettings;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.messages.MessageFormatException;

/**
 * Simulated fleet that runs the real gossip protocol of each node on a manual clock. Messages are
 * encoded and decoded, but passed in memory instead of over TCP.
 */
final class GossipFleet {
    /** Bytes of frame, channel message, TCP header and IP header that one message adds. */
    static final int OVERHEAD_BYTES = 64;

    private static final long SAME_REGION_NANOS = Duration.ofMillis(1).toNanos();
    private static final long OTHER_REGION_NANOS = Duration.ofMillis(20).toNanos();
    private static final long RESTART_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long DRAIN_NANOS = Duration.ofSeconds(3).toNanos();
    private static final double CRASH_SHARE = 210.0 / 17_000;
    private static final int SEED_NODES = 3;
    private static final int FULL_PERCENT = 100;

    private final ManualClock mClock = new ManualClock();
    private final SplittableRandom mRandom;
    private final Map<String, Member> mByAddress = new HashMap<>();
    private final List<Member> mMembers = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::nanos).thenComparingLong(Event::sequence));
    private final long mSeed;
    private final int mNodes;
    private long mSequence;
    private long mCpuNanos;

    GossipFleet(int nodes, long seed) {
        mNodes = nodes;
        mSeed = seed;
        mRandom = new SplittableRandom(seed);
    }

    /** Starts all nodes, each with the records of all others. */
    void start() throws MessageFormatException {
        for (int number = 0; number < mNodes; number++) {
            add(number, 1);
        }
        List<NodeRecord> records =
                mMembers.stream().map(member -> member.mProtocol.localRecord()).toList();
        // Decodes once for all nodes; one copy per node would take 2 GB at 1,000 nodes.
        List<GossipMessage> repairs = new ArrayList<>();
        for (byte[] repair : SyntheticFleet.repairs(records)) {
            repairs.add(GossipMessageCodec.decode(repair));
        }
        for (Member member : mMembers) {
            repairs.forEach(member.mProtocol::receive);
        }
    }

    /** Runs the simulation with weight changes and restarts at these rates for the whole fleet. */
    void run(Duration duration, double changesPerSecond, double restartsPerSecond) {
        long end = mClock.nanoTime() + duration.toNanos();
        schedule(end, changesPerSecond, this::changeWeight);
        schedule(end, restartsPerSecond, this::restart);
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= end) {
            Event event = mEvents.remove();
            mClock.advance(Duration.ofNanos(event.nanos() - mClock.nanoTime()));
            event.action().run();
        }
        mClock.advance(Duration.ofNanos(end - mClock.nanoTime()));
    }

    /** Sets the processor time and all message and byte counts to zero. */
    void reset() {
        mCpuNanos = 0;
        for (Member member : mMembers) {
            member.mMessages = 0;
            member.mBytes = 0;
        }
    }

    long cpuNanos() {
        return mCpuNanos;
    }

    /** Returns the messages that each node sent and received. */
    List<Long> messages() {
        return mMembers.stream().map(member -> member.mMessages).toList();
    }

    /** Returns the bytes that each node sent and received, headers included. */
    List<Long> bytes() {
        return mMembers.stream().map(member -> member.mBytes).toList();
    }

    /** Starts one more node and returns the time until it knows all others, or the limit. */
    Duration join(Duration limit) {
        Member joining = add(mNodes, 1);
        Duration step = GossipProtocol.TICK_INTERVAL;
        Duration waited = Duration.ZERO;
        while (joining.mKnown < mMembers.size() && waited.compareTo(limit) < 0) {
            run(step, 0, 0);
            waited = waited.plus(step);
        }
        return waited;
    }

    private void schedule(long end, double perSecond, Runnable action) {
        if (perSecond <= 0) {
            return;
        }
        double interval = Duration.ofSeconds(1).toNanos() / perSecond;
        double left = end - mClock.nanoTime();
        for (double delay = interval * mRandom.nextDouble(); delay < left; delay += interval) {
            runLater((long) delay, action);
        }
    }

    private Member add(int number, long incarnation) {
        int endpoints = mNodes * SyntheticFleet.ENDPOINTS_PER_NODE;
        List<String> seeds = mMembers.stream().limit(SEED_NODES).map(Member::address).toList();
        NodeRecord record =
                SyntheticFleet.record(
                        number,
                        incarnation,
                        SyntheticFleet.endpoints(
                                number, SyntheticFleet.ENDPOINTS_PER_NODE, endpoints, mSeed));
        Member member = new Member(number, record, seeds);
        mMembers.add(member);
        mByAddress.put(member.address(), member);
        scheduleTick(member, mRandom.nextLong(GossipProtocol.TICK_INTERVAL.toNanos()));
        return member;
    }

    private void changeWeight() {
        Member member = mMembers.get(mRandom.nextInt(mMembers.size()));
        List<EndpointRecord> endpoints =
                new ArrayList<>(member.mProtocol.localRecord().endpoints());
        int index = mRandom.nextInt(endpoints.size());
        EndpointRecord old = endpoints.get(index);
        int weight = old.weightPercent() == FULL_PERCENT ? FULL_PERCENT / 2 : FULL_PERCENT;
        endpoints.set(
                index, new EndpointRecord(old.id(), old.slots(), EndpointState.REDUCED, weight));
        member.call(() -> member.mProtocol.update(endpoints, 0));
    }

    private void restart() {
        Member member = mMembers.get(mRandom.nextInt(mMembers.size()));
        if (member.mLeaving) {
            return;
        }
        member.mLeaving = true;
        if (mRandom.nextDouble() < CRASH_SHARE) {
            remove(member);
            return;
        }
        member.call(member.mProtocol::drain);
        runLater(
                DRAIN_NANOS,
                () -> {
                    member.call(member.mProtocol::leave);
                    remove(member);
                });
    }

    private void remove(Member member) {
        member.mRemoved = true;
        mMembers.remove(member);
        mByAddress.remove(member.address());
        runLater(
                RESTART_NANOS,
                () -> {
                    Member next =
                            add(member.mNumber, member.mProtocol.localRecord().incarnation() + 1);
                    next.mMessages = member.mMessages;
                    next.mBytes = member.mBytes;
                });
    }

    private void scheduleTick(Member member, long delay) {
        runLater(
                delay,
                () -> {
                    if (!member.mRemoved) {
                        member.call(member.mProtocol::tick);
                        scheduleTick(member, GossipProtocol.TICK_INTERVAL.toNanos());
                    }
                });
    }

    private void runLater(long delayNanos, Runnable action) {
        mEvents.add(new Event(mClock.nanoTime() + delayNanos, mSequence++, action));
    }

    private void transmit(Member from, GossipAction.Send send) {
        from.count(send.payload());
        Member to = mByAddress.get(send.address());
        if (to == null) {
            return;
        }
        boolean near = to.region().equals(from.region());
        runLater(
                near ? SAME_REGION_NANOS : OTHER_REGION_NANOS,
                () -> {
                    if (!to.mRemoved) {
                        to.count(send.payload());
                        to.call(() -> to.receive(send.payload()));
                    }
                });
    }

    private record Event(long nanos, long sequence, Runnable action) {}

    /** A call of the protocol that returns the actions to carry out. */
    @FunctionalInterface
    private interface Call {
        List<GossipAction> run();
    }

    private final class Member {
        private final int mNumber;
        private final GossipProtocol mProtocol;
        private boolean mLeaving;
        private boolean mRemoved;
        private long mMessages;
        private long mBytes;
        private int mKnown;

        private Member(int number, NodeRecord record, List<String> seeds) {
            mNumber = number;
            mProtocol =
                    new GossipProtocol(
                            record, seeds, GossipSettings.DEFAULT, mClock, mRandom.split());
        }

        private String address() {
            return mProtocol.localRecord().peerAddress();
        }

        private String region() {
            return mProtocol.localRecord().region();
        }

        private void count(byte[] payload) {
            mMessages++;
            mBytes += payload.length + OVERHEAD_BYTES;
        }

        private List<GossipAction> receive(byte[] payload) {
            try {
                return mProtocol.receive(GossipMessageCodec.decode(payload));
            } catch (MessageFormatException unexpected) {
                throw new IllegalStateException(
                        "a node cannot decode a gossip message of another node", unexpected);
            }
        }

        private void call(Call call) {
            var threads = ManagementFactory.getThreadMXBean();
            long start = threads.getCurrentThreadCpuTime();
            List<GossipAction> actions = call.run();
            mCpuNanos += threads.getCurrentThreadCpuTime() - start;
            for (GossipAction action : actions) {
                switch (action) {
                    case GossipAction.Send send -> transmit(this, send);
                    case GossipAction.Joined joined -> mKnown++;
                    case GossipAction.Left left -> mKnown--;
                    default -> {}
                }
            }
        }
    }
}
