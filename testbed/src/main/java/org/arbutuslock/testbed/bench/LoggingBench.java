package org.arbutuslock.testbed.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Measures the cost of the log line of a request, and checks that a blocked standard output does
 * not delay the thread that logs.
 */
final class LoggingBench implements Bench {
    private static final int WARM_UP_LINES = 20_000;
    private static final int MAXIMUM_LINES = 1_000_000;
    private static final int LINES = 200_000;
    // A twentieth of the 2.6 ms that a node may add to a request.
    private static final double MAXIMUM_P99_MICROS = 130;
    // A call that waits for a blocked output takes as long as the output stays blocked.
    private static final double MAXIMUM_RATIO = 2;
    private static final double NANOS_PER_MICRO = 1_000;

    /** Mean and 99th percentile of one log call, in nanoseconds. */
    private record Cost(double mean, double high) {}

    @Override
    public String description() {
        return "Cost of the log line of a request with an open and with a blocked output.";
    }

    @Override
    public void addOptions(ArgumentParser parser) {
        BenchRunner.addNumber(parser, "--lines", 1, MAXIMUM_LINES, LINES, "measured lines");
    }

    @Override
    public void measure(Namespace options, BenchReport report) throws Exception {
        int lines = options.getInt("lines");
        Cost open = run(lines, ProcessBuilder.Redirect.DISCARD);
        // This process does not read the pipe, so that writes block when its buffer is full.
        Cost blocked = run(lines, ProcessBuilder.Redirect.PIPE);
        report.figure("mean of a line, open output", open.mean() / NANOS_PER_MICRO, "us");
        report.figure("mean of a line, blocked output", blocked.mean() / NANOS_PER_MICRO, "us");
        report.atMost(
                "p99 of a line, open output",
                open.high() / NANOS_PER_MICRO,
                MAXIMUM_P99_MICROS,
                "us");
        report.atMost(
                "p99 of a line, blocked output",
                blocked.high() / NANOS_PER_MICRO,
                MAXIMUM_P99_MICROS,
                "us");
        report.atMost(
                "mean with a blocked output / open output",
                blocked.mean() / open.mean(),
                MAXIMUM_RATIO,
                "");
    }

    private static Cost run(int lines, ProcessBuilder.Redirect output)
            throws IOException, InterruptedException {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        Process process =
                new ProcessBuilder(
                                List.of(
                                        java.toString(),
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        LoggingProcess.class.getName(),
                                        Integer.toString(WARM_UP_LINES),
                                        Integer.toString(lines)))
                        .redirectOutput(output)
                        .start();
        try (BufferedReader errors = process.errorReader(StandardCharsets.UTF_8)) {
            String last = errors.lines().reduce("", (before, line) -> line);
            int code = process.waitFor();
            String[] figures = last.split(" ");
            if (code != 0 || figures.length != 2) {
                throw new IOException("the logging process exited with code " + code + ": " + last);
            }
            return new Cost(Double.parseDouble(figures[0]), Double.parseDouble(figures[1]));
        }
    }
}
