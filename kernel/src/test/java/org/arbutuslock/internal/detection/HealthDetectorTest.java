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

/**
 * Guards against a detector that misses one unhealthy endpoint, or blames one endpoint for a fault
 * of the whole group.
 */
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
    public void should_assess_one_slow_endpoint_as_unhealthy_with_evidence() {
        pass(5, 5 * FAST_NANOS, Outcome.OK, Outcome.OK, true);
        HealthAssessment assessment = mGroup[0].evaluate();
        assertTrue(assessment instanceof HealthAssessment.Unhealthy, assessment.toString());
        assertTrue(assessment.evidence().contains("SHORT"), assessment.evidence());
        mGroup[0].reset();
        assertTrue(mGroup[0].evaluate() instanceof HealthAssessment.Healthy, "after reset");
    }

    @Test
    public void should_not_blame_an_endpoint_for_failures_of_the_whole_group() {
        pass(10, FAST_NANOS, Outcome.WRONG, Outcome.WRONG, true);
        assertFalse(mGroup[0].evaluate() instanceof HealthAssessment.Unhealthy);
    }

    /** Without digests, a fault of the whole service looks like a fault of the endpoint. */
    @Test
    public void should_not_assess_an_endpoint_as_unhealthy_without_a_group() {
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
    public void should_exclude_waiting_in_the_server_from_the_service_time() {
        ServiceTimeEstimator estimator = new ServiceTimeEstimator(1, mClock);
        ServiceTimeEstimator.Ticket first = estimator.dispatch();
        ServiceTimeEstimator.Ticket second = estimator.dispatch();
        mClock.advance(Duration.ofMillis(30));
        assertEquals(estimator.elapsedServiceNanos(second), 0);
        assertEquals(estimator.finish(first), 30_000_000);
        mClock.advance(Duration.ofMillis(20));
        assertEquals(estimator.finish(second), 20_000_000);
    }

    @Test
    public void should_probe_rarely_while_an_endpoint_has_no_traffic() {
        MutableInteger probes = new MutableInteger();
        for (int step = 0; step < 600; step++) {
            mClock.advance(Duration.ofMillis(100));
            if (mGroup[1].tryAcquireProbe()) {
                probes.increment();
            }
        }
        assertTrue(probes.get() >= 8 && probes.get() <= 13, "probes in 60 s: " + probes);
    }

    /** Sends 20 requests/s to every endpoint; only the first endpoint gets other results. */
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
