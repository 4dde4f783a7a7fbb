package org.arbutuslock.internal.testing;

import java.util.stream.LongStream;

/** Seeds of randomized tests: the one of {@code -Darbutuslock.seed}, or 1 up to a count. */
public final class Seeds {
    private Seeds() {}

    /** Returns the seeds from 1 to a count, or only the one that the system property sets. */
    public static long[] upTo(int count) {
        Long only = Long.getLong("arbutuslock.seed");
        return only != null ? new long[] {only} : LongStream.rangeClosed(1, count).toArray();
    }

    /** Runs a check with each seed until one fails; the error names the seed of the failure. */
    public static void run(int count, Check check) {
        for (long seed : upTo(count)) {
            try {
                check.run(seed);
            } catch (Exception | AssertionError failure) {
                throw new AssertionError(
                        "seed " + seed + " (repeat with -Darbutuslock.seed=" + seed + ")", failure);
            }
        }
        System.out.println("seeds: " + upTo(count).length + ", first " + upTo(count)[0]);
    }

    /** A check whose random choices depend on the seed only. */
    @FunctionalInterface
    public interface Check {
        void run(long seed) throws Exception;
    }
}
