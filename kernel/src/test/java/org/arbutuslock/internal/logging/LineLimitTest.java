package org.arbutuslock.internal.logging;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against a log that grows without bound under load, and against silent gaps in it. */
public class LineLimitTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    public void should_leave_out_lines_beyond_the_rate_and_count_them() {
        LogRateLimiter limit = new LogRateLimiter(2);
        assertEquals(limit.tryAcquire(0), 0);
        assertEquals(limit.tryAcquire(1), 0);
        assertEquals(limit.tryAcquire(2), LogRateLimiter.SUPPRESSED);
        assertEquals(limit.tryAcquire(3), LogRateLimiter.SUPPRESSED);
        assertEquals(limit.tryAcquire(SECOND), 2);
        assertEquals(limit.tryAcquire(SECOND + 1), 0);
    }
}
