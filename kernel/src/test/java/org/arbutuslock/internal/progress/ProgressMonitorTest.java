package org.arbutuslock.internal.progress;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.progress.ProgressMonitor.InFlightRequest;
import org.arbutuslock.internal.progress.ProgressMonitor.Result;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests to a backend server that hangs, and against a recovered server that stays
 * idle because its suspicion does not end.
 */
public class ProgressMonitorTest {
    private static final int OVERDUE_MILLIS = 800;

    private ManualClock mClock;
    private ProgressMonitor mMonitor;

    @BeforeMethod
    public void setUp() {
        mClock = new ManualClock();
        mMonitor = new ProgressMonitor(mClock);
    }

    @Test
    public void should_suspect_a_server_whose_only_request_is_overdue() {
        mMonitor.dispatched(OVERDUE_MILLIS);
        pass(799);
        assertFalse(mMonitor.isSuspect());
        pass(1);
        assertTrue(mMonitor.isSuspect());
    }

    @Test
    public void should_clear_a_server_that_completes_a_later_request() {
        mMonitor.dispatched(OVERDUE_MILLIS);
        pass(500);
        InFlightRequest later = mMonitor.dispatched(OVERDUE_MILLIS);
        pass(400);
        assertTrue(mMonitor.isSuspect());
        mMonitor.ended(later, Result.SUCCEEDED);
        assertFalse(mMonitor.isSuspect());
    }

    @Test
    public void should_not_be_cleared_by_a_request_that_was_sent_earlier() {
        InFlightRequest earlier = mMonitor.dispatched(OVERDUE_MILLIS);
        pass(100);
        mMonitor.dispatched(100);
        pass(200);
        mMonitor.ended(earlier, Result.SUCCEEDED);
        assertTrue(mMonitor.isSuspect());
    }

    @Test
    public void should_keep_the_evidence_of_a_cancelled_overdue_request() {
        InFlightRequest request = mMonitor.dispatched(OVERDUE_MILLIS);
        pass(900);
        mMonitor.ended(request, Result.CANCELLED);
        assertTrue(mMonitor.isSuspect());
        pass(2_500);
        assertFalse(mMonitor.isSuspect());
    }

    @Test
    public void should_ignore_a_request_that_was_cancelled_before_it_was_overdue() {
        InFlightRequest request = mMonitor.dispatched(OVERDUE_MILLIS);
        pass(100);
        mMonitor.ended(request, Result.CANCELLED);
        assertFalse(mMonitor.isSuspect());
    }

    @Test
    public void should_suspect_after_two_failures_in_a_row_only() {
        mMonitor.ended(mMonitor.dispatched(OVERDUE_MILLIS), Result.FAILED);
        assertFalse(mMonitor.isSuspect());
        mMonitor.ended(mMonitor.dispatched(OVERDUE_MILLIS), Result.FAILED);
        assertTrue(mMonitor.isSuspect());
        pass(1_500);
        assertFalse(mMonitor.isSuspect());
    }

    @Test
    public void should_allow_one_trial_in_each_interval() {
        assertTrue(mMonitor.tryAcquireTrial());
        assertFalse(mMonitor.tryAcquireTrial());
        pass(400);
        assertTrue(mMonitor.tryAcquireTrial());
    }

    @Test
    public void should_not_count_a_server_with_a_slow_request_as_proven() {
        assertTrue(mMonitor.isProven());
        mMonitor.dispatched(OVERDUE_MILLIS);
        pass(479);
        assertTrue(mMonitor.isProven());
        pass(1);
        assertFalse(mMonitor.isProven());
        assertFalse(mMonitor.isSuspect());
        InFlightRequest later = mMonitor.dispatched(OVERDUE_MILLIS);
        mMonitor.ended(later, Result.SUCCEEDED);
        assertTrue(mMonitor.isProven());
    }

    @Test
    public void should_not_count_a_server_as_proven_after_a_stall_until_it_succeeds() {
        InFlightRequest stalled = mMonitor.dispatched(OVERDUE_MILLIS);
        pass(900);
        mMonitor.ended(stalled, Result.CANCELLED);
        pass(2_500);
        assertFalse(mMonitor.isSuspect());
        assertFalse(mMonitor.isProven());
        mMonitor.ended(mMonitor.dispatched(OVERDUE_MILLIS), Result.SUCCEEDED);
        assertTrue(mMonitor.isProven());
    }

    @Test
    public void should_count_a_server_without_traffic_as_proven_again_after_six_seconds() {
        InFlightRequest stalled = mMonitor.dispatched(OVERDUE_MILLIS);
        pass(OVERDUE_MILLIS);
        mMonitor.ended(stalled, Result.CANCELLED);
        pass(5_999);
        assertFalse(mMonitor.isProven());
        pass(1);
        assertTrue(mMonitor.isProven());
    }

    @Test
    public void should_not_count_a_server_as_proven_after_one_failure() {
        mMonitor.ended(mMonitor.dispatched(OVERDUE_MILLIS), Result.FAILED);
        assertFalse(mMonitor.isSuspect());
        assertFalse(mMonitor.isProven());
        pass(1_500);
        assertTrue(mMonitor.isProven());
    }

    private void pass(long millis) {
        mClock.advance(Duration.ofMillis(millis));
    }
}
