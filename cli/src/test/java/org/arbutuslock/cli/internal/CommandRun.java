package org.arbutuslock.cli.internal;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

/**
 * Exit code and printed text of one run of the command-line tool.
 *
 * @param exitCode exit code of the process
 * @param results standard output
 * @param messages standard error
 */
record CommandRun(int exitCode, String results, String messages) {
    static CommandRun of(String address, String input, String... arguments) {
        ByteArrayOutputStream results = new ByteArrayOutputStream();
        ByteArrayOutputStream messages = new ByteArrayOutputStream();
        Output output =
                new Output(
                        new PrintStream(results, true, StandardCharsets.UTF_8),
                        new PrintStream(messages, true, StandardCharsets.UTF_8),
                        false);
        Application application =
                new Application(
                        output,
                        new BufferedReader(new StringReader(input)),
                        Map.of(CommonOptions.ADDRESS_VARIABLE, address),
                        new ManualCommandClock());
        int exitCode = application.run(arguments);
        return new CommandRun(
                exitCode,
                results.toString(StandardCharsets.UTF_8),
                messages.toString(StandardCharsets.UTF_8));
    }

    /** Clock that advances only when a command pauses. */
    private static final class ManualCommandClock implements CommandClock {
        private long mNanos;

        @Override
        public long nanoTime() {
            return mNanos;
        }

        @Override
        public void pause(Duration duration) {
            mNanos += duration.toNanos();
        }
    }
}
