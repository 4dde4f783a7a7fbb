package org.arbutuslock.testbed.bench;

import java.util.Arrays;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/** Logs the line of a request many times and reports the mean and p99 duration of a call. */
public final class LoggingProcess {
    private static final EventLogger LOGGER = EventLogger.forComponent("callers");
    private static final double HIGH_QUANTILE = 0.99;
    private static final String ATTEMPTS =
            "[i-4ad3db8089@sidecar-b-4 SUSPECT 2 ms, i-94d7988103@sidecar-b-3 200 551 ms]";

    private LoggingProcess() {}

    /**
     * Writes log lines to standard output, and the mean and the 99th percentile duration of a call
     * in nanoseconds to standard error.
     *
     * @param arguments number of warm-up lines and number of measured lines
     */
    public static void main(String[] arguments) {
        write(Integer.parseInt(arguments[0]));
        long[] nanos = write(Integer.parseInt(arguments[1]));
        Arrays.sort(nanos);
        double mean = Arrays.stream(nanos).average().orElseThrow();
        System.err.println(mean + " " + nanos[(int) (nanos.length * HIGH_QUANTILE)]);
        // A regular exit would wait for queued lines, which a blocked output never accepts.
        Runtime.getRuntime().halt(0);
    }

    private static long[] write(int lines) {
        long[] nanos = new long[lines];
        for (int line = 0; line < lines; line++) {
            long start = System.nanoTime();
            LOGGER.log(
                    Event.REQUEST_ANSWERED,
                    "id-" + line,
                    "route",
                    "service",
                    200,
                    200,
                    "a.9.16",
                    "3e1b.07.5a2.600.0.c9f2a4d1",
                    553,
                    7,
                    ATTEMPTS,
                    0);
            nanos[line] = System.nanoTime() - start;
        }
        return nanos;
    }
}
