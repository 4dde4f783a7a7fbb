package org.arbutuslock.internal.testing;

import java.util.stream.LongStream;

/** Seeds of a randomized check: the one of {@code -Darbutuslock.seed}, or 1 to a count. */
public final class Seeds {
    private Seeds() {}

    public static long[] upTo(int count) {
        Long only = Long.getLong("arbutuslock.seed");
        return only != null ? new long[] {only} : LongStream.rangeClosed(1, count).toArray();
    }

    /** Runs a check for each seed and names the seed of the first failure. */
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

    /** A check that depends on a seed only. */
    @FunctionalInterface
    public interface Check {
        void run(long seed) throws Exception;
    }
}
