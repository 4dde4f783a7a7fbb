package org.arbutuslock.internal.logging;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against log lines beyond the rate limit and against suppressed lines left uncounted. */
public class LogRateLimiterTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    public void should_suppress_lines_beyond_the_rate_and_count_them() {
        LogRateLimiter limiter = new LogRateLimiter(2);
        assertEquals(limiter.tryAcquire(0), 0);
        assertEquals(limiter.tryAcquire(1), 0);
        assertEquals(limiter.tryAcquire(2), LogRateLimiter.SUPPRESSED);
        assertEquals(limiter.tryAcquire(3), LogRateLimiter.SUPPRESSED);
        assertEquals(limiter.tryAcquire(SECOND), 2);
        assertEquals(limiter.tryAcquire(SECOND + 1), 0);
    }
}
