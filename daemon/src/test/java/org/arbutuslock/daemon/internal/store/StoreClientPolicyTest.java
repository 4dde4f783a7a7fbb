package org.arbutuslock.daemon.internal.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.arbutuslock.api.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against a node that overloads the store, with more calls per second than the limit or with
 * reconnections without back-off.
 */
public class StoreClientPolicyTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 7);

    private final ManualClock mClock = new ManualClock();

    @Test
    public void should_refuse_calls_beyond_the_rate_limit() {
        CallRateLimiter limiter = new CallRateLimiter(mClock, 10);
        assertEquals(IntStream.range(0, 50).filter(call -> limiter.tryAcquire()).count(), 10);
        mClock.advance(Duration.ofMillis(250));
        assertEquals(IntStream.range(0, 50).filter(call -> limiter.tryAcquire()).count(), 2);
        mClock.advance(Duration.ofHours(1));
        assertEquals(IntStream.range(0, 50).filter(call -> limiter.tryAcquire()).count(), 10);
    }

    @Test
    public void should_wait_longer_after_each_failure_with_jitter() {
        System.out.println("StoreClientPolicyTest arbutuslock.seed=" + SEED);
        ReconnectBackoff backoff =
                new ReconnectBackoff(
                        mClock,
                        new SplittableRandom(SEED),
                        Duration.ofMillis(100),
                        Duration.ofMillis(800));
        for (long wait : new long[] {100, 200, 400, 800, 800}) {
            backoff.recordFailure();
            mClock.advance(Duration.ofMillis(wait / 2 - 1));
            assertFalse(backoff.mayConnect(), "connected before half of " + wait + " ms");
            mClock.advance(Duration.ofMillis(wait / 2 + 1));
            assertTrue(backoff.mayConnect(), "still waiting after " + wait + " ms");
        }
        backoff.recordSuccess();
        backoff.recordFailure();
        mClock.advance(Duration.ofMillis(100));
        assertTrue(backoff.mayConnect(), "a success must reset the wait");
    }
}
