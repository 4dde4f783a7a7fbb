package org.arbutuslock.api;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against a system clock whose monotonic time decreases between two readings. */
public class ClockTest {
    @Test
    public void should_never_run_backwards() {
        Clock clock = Clock.system();
        long first = clock.nanoTime();
        assertTrue(clock.nanoTime() - first >= 0);
    }
}
