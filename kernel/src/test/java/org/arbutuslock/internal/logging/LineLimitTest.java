package org.arbutuslock.internal.logging;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against log lines beyond the rate limit and against suppressed lines left uncounted. */
public class LineLimitTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    public void should_suppress_lines_beyond_the_rate_and_count_them() {
        LineLimit limit = new LineLimit(2);
        assertEquals(limit.tryTake(0), 0);
        assertEquals(limit.tryTake(1), 0);
        assertEquals(limit.tryTake(2), LineLimit.REFUSED);
        assertEquals(limit.tryTake(3), LineLimit.REFUSED);
        assertEquals(limit.tryTake(SECOND), 2);
        assertEquals(limit.tryTake(SECOND + 1), 0);
    }
}
