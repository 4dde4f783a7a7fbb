package org.arbutuslock.daemon.internal.ejection;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.home.HomeService;
import org.arbutuslock.daemon.internal.home.Observation;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.detection.HealthAssessment;
import org.arbutuslock.internal.detection.HealthDetector;
import org.arbutuslock.internal.detection.HealthReport;

/**
 * Runs the health detectors of all endpoints of this host. Passes observations to them, sends their
 * digests to other endpoints of the service, and sends probes that are due. Confined to one event
 * loop, except for {@link #observe} and {@link #receive}.
 */
final class HealthMonitors {
    private static final long DIGEST_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAXIMUM_RECEIVERS = 5;
    // Maximum number of digests that a node sends per second. A digest takes about 170 bytes with
    // its packet headers. Five digests for each of 14 endpoints, sent and received, would take
    // 24 KB/s, compared with 14 KB/s for all control traffic of a node.
    private static final double DIGESTS_PER_NODE = 10;
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
    private static final String PROBE_SUFFIX = "/probe";

    private final EventLoop mEventLoop;
    private final Clock mClock;
    private final LocalNode mLocalNode;
    private final HomeService mHome;
    private final Consumer<HealthReport> mSender;
    private final Map<EndpointId, Monitor> mMonitors = new HashMap<>();
    private long mProbes;

    HealthMonitors(
            EventLoop eventLoop,
            Clock clock,
            LocalNode localNode,
            HomeService home,
            Consumer<HealthReport> sender) {
        mEventLoop = eventLoop;
        mClock = clock;
        mLocalNode = localNode;
        mHome = home;
        mSender = sender;
    }

    void add(EndpointId id) {
        mMonitors.put(id, new Monitor(new HealthDetector(mClock), mClock.nanoTime()));
    }

    void remove(EndpointId id) {
        mMonitors.remove(id);
    }

    /** Records an observation of a request. Any thread. */
    void observe(EndpointId id, Observation observation) {
        mEventLoop.execute(
                () -> {
                    Monitor monitor = mMonitors.get(id);
                    if (monitor != null) {
                        monitor.mDetector.observe(
                                observation.trafficClass(),
                                observation.serviceNanos(),
                                observation.outcome());
                    }
                });
    }

    /** Records the health digest of another endpoint. Any thread. */
    void receive(HealthReport report) {
        mEventLoop.execute(
                () -> {
                    Monitor monitor = mMonitors.get(report.destination());
                    if (monitor != null) {
                        monitor.mDetector.observeDigest(report.source(), report.digest());
                    }
                });
    }

    /** Clears the evidence against an endpoint whose trial begins. */
    void startTrial(EndpointId id) {
        mMonitors.get(id).mDetector.reset();
    }

    /** Returns the health of an endpoint, and sends its digest and a probe when they are due. */
    HealthAssessment evaluate(EndpointId id, List<EndpointId> digestReceivers) {
        Monitor monitor = mMonitors.get(id);
        long now = mClock.nanoTime();
        if (now - monitor.mDigestNanos >= DIGEST_NANOS) {
            monitor.mDigestNanos = now;
            sendDigest(id, monitor, digestReceivers);
        }
        if (monitor.mDetector.tryAcquireProbe()) {
            probe(id);
        }
        return monitor.mDetector.evaluate();
    }

    private void sendDigest(EndpointId id, Monitor monitor, List<EndpointId> digestReceivers) {
        List<EndpointId> receivers = new ArrayList<>(digestReceivers);
        Collections.shuffle(receivers, ThreadLocalRandom.current());
        var digest = monitor.mDetector.digest();
        receivers.stream()
                .limit(drawReceiverCount())
                .forEach(receiver -> mSender.accept(new HealthReport(receiver, id, digest)));
    }

    /**
     * Returns the number of receivers of the next digest, which is the endpoint's share of the
     * digests of this node. A fractional share is rounded up or down at random, so that its mean is
     * kept.
     */
    private int drawReceiverCount() {
        double share = Math.min(MAXIMUM_RECEIVERS, DIGESTS_PER_NODE / mMonitors.size());
        int whole = (int) share;
        return ThreadLocalRandom.current().nextDouble() < share - whole ? whole + 1 : whole;
    }

    private void probe(EndpointId id) {
        long sequence = ++mProbes * RequestId.MAXIMUM_ATTEMPTS;
        RequestId probeId =
                new RequestId(mLocalNode.name() + PROBE_SUFFIX, mLocalNode.incarnation(), sequence);
        mHome.probe(id, probeId, PROBE_TIMEOUT);
    }

    private static final class Monitor {
        private final HealthDetector mDetector;
        private long mDigestNanos;

        private Monitor(HealthDetector detector, long nowNanos) {
            mDetector = detector;
            mDigestNanos = nowNanos;
        }
    }
}
