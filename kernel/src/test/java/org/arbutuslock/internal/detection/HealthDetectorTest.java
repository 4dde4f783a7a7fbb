package org.arbutuslock.internal.detection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.agrona.collections.MutableInteger;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards rules of the detector that the benchmark covers only together. */
public class HealthDetectorTest {
    private static final long FAST_NANOS = 20_000_000;

    private ManualClock mClock;
    private HealthDetector[] mGroup;

    @BeforeMethod
    public void startGroup() {
        mClock = new ManualClock();
        mGroup = new HealthDetector[4];
        for (int index = 0; index < mGroup.length; index++) {
            mGroup[index] = new HealthDetector(mClock);
        }
        pass(10, FAST_NANOS, Outcome.OK, Outcome.OK, true);
        assertTrue(mGroup[0].evaluate() instanceof HealthAssessment.Healthy);
    }

    @Test
    public void should_judge_one_slow_endpoint_sick_with_evidence() {
        pass(5, 5 * FAST_NANOS, Outcome.OK, Outcome.OK, true);
        HealthAssessment verdict = mGroup[0].evaluate();
        assertTrue(verdict instanceof HealthAssessment.Unhealthy, verdict.toString());
        assertTrue(verdict.evidence().contains("SHORT"), verdict.evidence());
        mGroup[0].reset();
        assertTrue(mGroup[0].evaluate() instanceof HealthAssessment.Healthy, "after restart");
    }

    @Test
    public void should_not_blame_an_endpoint_for_failures_of_the_whole_group() {
        pass(10, FAST_NANOS, Outcome.WRONG, Outcome.WRONG, true);
        assertFalse(mGroup[0].evaluate() instanceof HealthAssessment.Unhealthy);
    }

    /** Without digests a fault of the service looks the same as one of the server. */
    @Test
    public void should_not_judge_without_a_group() {
        pass(10, FAST_NANOS, Outcome.WRONG, Outcome.WRONG, false);
        assertFalse(mGroup[0].evaluate() instanceof HealthAssessment.Unhealthy);
    }

    @Test
    public void should_count_entry_reports_only_when_two_entry_nodes_agree() {
        EntryReports reports = new EntryReports();
        assertFalse(reports.add("entry-0", 0));
        assertFalse(reports.add("entry-0", 1));
        assertTrue(reports.add("entry-1", 2));
        assertFalse(reports.add("entry-1", 20_000_000_000L));
    }

    @Test
    public void should_not_count_waiting_in_the_server_as_work() {
        ServiceTimeEstimator timer = new ServiceTimeEstimator(1, mClock);
        ServiceTimeEstimator.Ticket first = timer.dispatch();
        ServiceTimeEstimator.Ticket second = timer.dispatch();
        mClock.advance(Duration.ofMillis(30));
        assertEquals(timer.elapsedServiceNanos(second), 0);
        assertEquals(timer.finish(first), 30_000_000);
        mClock.advance(Duration.ofMillis(20));
        assertEquals(timer.finish(second), 20_000_000);
    }

    @Test
    public void should_probe_rarely_at_thin_traffic_and_never_at_dense() {
        MutableInteger probes = new MutableInteger();
        for (int step = 0; step < 600; step++) {
            mClock.advance(Duration.ofMillis(100));
            if (mGroup[1].tryAcquireProbe()) {
                probes.increment();
            }
        }
        assertTrue(probes.get() >= 8 && probes.get() <= 13, "probes in 60 s: " + probes);
    }

    /** Twenty requests a second at every endpoint; only the first one differs. */
    private void pass(int seconds, long nanos, Outcome first, Outcome others, boolean digests) {
        for (int step = 0; step < 20 * seconds; step++) {
            mClock.advance(Duration.ofMillis(50));
            for (int index = 0; index < mGroup.length; index++) {
                long latency = index == 0 ? nanos : FAST_NANOS;
                mGroup[index].observe(
                        TrafficClass.SHORT, latency + step % 7, index == 0 ? first : others);
            }
            if (digests && step % 20 == 0) {
                exchangeDigests();
            }
        }
    }

    private void exchangeDigests() {
        for (int sender = 0; sender < mGroup.length; sender++) {
            HealthDigest digest = mGroup[sender].digest();
            for (int receiver = 0; receiver < mGroup.length; receiver++) {
                if (receiver != sender) {
                    EndpointId id = new EndpointId("orders", "server-" + sender);
                    mGroup[receiver].observeDigest(id, digest);
                }
            }
        }
    }
}
