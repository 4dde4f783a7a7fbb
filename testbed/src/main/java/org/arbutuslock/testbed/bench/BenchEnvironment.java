package org.arbutuslock.testbed.bench;

import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/**
 * Conditions of a run, which a reader needs to compare its figures with those of other runs.
 *
 * @param started start of the run, ISO 8601 in UTC
 * @param cores processors that this process may use
 * @param javaRelease version and vendor of the Java runtime
 * @param maximumHeapBytes maximum heap size
 * @param loadAverage load average of the machine over the last minute before the run; negative when
 *     the operating system does not report it
 * @param seed seed of all random choices
 * @param shortRun whether the run used {@code --short}
 * @param commandLine command line of the run
 */
record BenchEnvironment(
        String started,
        int cores,
        String javaRelease,
        long maximumHeapBytes,
        double loadAverage,
        long seed,
        boolean shortRun,
        String commandLine) {
    static BenchEnvironment observe(BenchOptions options, String[] arguments) {
        return new BenchEnvironment(
                Instant.now().truncatedTo(ChronoUnit.SECONDS).toString(),
                Runtime.getRuntime().availableProcessors(),
                Runtime.version() + " " + System.getProperty("java.vendor"),
                Runtime.getRuntime().maxMemory(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                options.seed(),
                options.shortRun(),
                "bin/bench " + String.join(" ", arguments));
    }

    String toText() {
        return String.format(
                Locale.ROOT,
                "%s%n%s, %d cores, Java %s, heap %d MiB, load average %.2f, seed %d, %s run%n",
                commandLine,
                started,
                cores,
                javaRelease,
                maximumHeapBytes >> 20,
                loadAverage,
                seed,
                shortRun ? "short" : "full");
    }
}
