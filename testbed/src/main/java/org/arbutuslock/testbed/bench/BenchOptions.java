package org.arbutuslock.testbed.bench;

/**
 * Options that all benchmarks share.
 *
 * @param seed seed of all random choices
 * @param shortRun whether to use fewer seeds, requests or simulated seconds
 */
record BenchOptions(long seed, boolean shortRun) {
    /** Returns the first argument in a short run, otherwise the second. */
    int choose(int shortSize, int fullSize) {
        return shortRun ? shortSize : fullSize;
    }
}
