package org.arbutuslock.testbed.bench;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/** Measures retained heap memory and run times in this process. */
final class Measurement {
    private static final int COLLECTIONS = 4;
    private static final int WARM_UP_ROUNDS = 5;
    private static final int ROUNDS = 25;

    private Measurement() {}

    /** A value and the heap bytes that it retains. */
    record Held<T>(T value, long bytes) {}

    /** Builds a value and measures how much it increases the used heap after garbage collection. */
    static <T> Held<T> held(Supplier<T> build) {
        long before = usedBytes();
        T value = build.get();
        long after = usedBytes();
        return new Held<>(value, after - before);
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int count = 0; count < COLLECTIONS; count++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Times several variants of a step and returns the median nanoseconds per step of each. The
     * rounds of the variants alternate, so that other load on the machine affects all alike.
     */
    static double[] medianNanos(int stepsPerRound, List<IntConsumer> variants) {
        double[][] nanos = new double[variants.size()][ROUNDS];
        for (int round = -WARM_UP_ROUNDS; round < ROUNDS; round++) {
            for (int variant = 0; variant < variants.size(); variant++) {
                double measured = roundNanos(stepsPerRound, variants.get(variant));
                if (round >= 0) {
                    nanos[variant][round] = measured;
                }
            }
        }
        return Arrays.stream(nanos).mapToDouble(Measurement::median).toArray();
    }

    private static double roundNanos(int steps, IntConsumer step) {
        long start = System.nanoTime();
        for (int index = 0; index < steps; index++) {
            step.accept(index);
        }
        return (double) (System.nanoTime() - start) / steps;
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
