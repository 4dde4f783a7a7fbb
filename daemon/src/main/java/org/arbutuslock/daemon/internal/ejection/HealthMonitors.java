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
 * Detectors of all endpoints of this host. Feeds them with observations, sends their digests to
 * other endpoints of the service and probes when they ask for it. Confined to one event loop, but
 * for {@link #observed} and {@link #receive}.
 */
final class HealthMonitors {
    private static final long DIGEST_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MOST_RECEIVERS = 5;
    // A digest takes about 170 bytes with its packet headers. Five for each of 14 endpoints, sent
    // and received, would be 24 KB/s against 14 KB/s for all control traffic of a node.
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

    /** Takes evidence of a request. Any thread. */
    void observed(EndpointId id, Observation observation) {
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

    /** Takes the digest of another endpoint. Any thread. */
    void receive(HealthReport report) {
        mEventLoop.execute(
                () -> {
                    Monitor monitor = mMonitors.get(report.destination());
                    if (monitor != null) {
                        monitor.mDetector.observeDigest(report.source(), report.digest());
                    }
                });
    }

    /** Forgets the evidence against an endpoint whose trial begins. */
    void startTrial(EndpointId id) {
        mMonitors.get(id).mDetector.reset();
    }

    /** Judges an endpoint, and sends its digest and a probe when they are due. */
    HealthAssessment evaluate(EndpointId id, List<EndpointId> others) {
        Monitor monitor = mMonitors.get(id);
        long now = mClock.nanoTime();
        if (now - monitor.mDigestNanos >= DIGEST_NANOS) {
            monitor.mDigestNanos = now;
            sendDigest(id, monitor, others);
        }
        if (monitor.mDetector.tryAcquireProbe()) {
            probe(id);
        }
        return monitor.mDetector.evaluate();
    }

    private void sendDigest(EndpointId id, Monitor monitor, List<EndpointId> others) {
        List<EndpointId> receivers = new ArrayList<>(others);
        Collections.shuffle(receivers, ThreadLocalRandom.current());
        var digest = monitor.mDetector.digest();
        receivers.stream()
                .limit(drawReceivers())
                .forEach(receiver -> mSender.accept(new HealthReport(receiver, id, digest)));
    }

    /** Shares the node's digests among its endpoints; fractions are drawn at random. */
    private int drawReceivers() {
        double share = Math.min(MOST_RECEIVERS, DIGESTS_PER_NODE / mMonitors.size());
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
