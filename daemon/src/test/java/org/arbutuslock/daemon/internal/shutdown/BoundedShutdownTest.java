package org.arbutuslock.daemon.internal.shutdown;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Guards against a process that is killed because a step of its shutdown blocks. */
public class BoundedShutdownTest {
    @Test(timeOut = 20_000)
    public void should_return_while_a_step_blocks() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        BoundedShutdown.run(
                () -> {
                    await(released);
                    ended.countDown();
                },
                Duration.ofMillis(50));
        assertEquals(ended.getCount(), 1, "the step was still blocked");
        released.countDown();
        assertTrue(ended.await(10, TimeUnit.SECONDS));
    }

    @Test(timeOut = 20_000)
    public void should_run_all_steps_before_it_returns() {
        AtomicInteger steps = new AtomicInteger();
        BoundedShutdown.run(
                () -> {
                    steps.incrementAndGet();
                    steps.incrementAndGet();
                },
                Duration.ofSeconds(10));
        assertEquals(steps.get(), 2);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
