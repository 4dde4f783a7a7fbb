package org.arbutuslock.testbed.bench;

/**
 * Options that all benchmarks share.
 *
 * @param seed seed of all random choices
 * @param shortRun whether fewer seeds, requests or simulated seconds suffice
 */
record BenchOptions(long seed, boolean shortRun) {
    /** Chooses the size of a run. */
    int choose(int shortSize, int fullSize) {
        return shortRun ? shortSize : fullSize;
    }
}
