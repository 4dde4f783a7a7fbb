package org.arbutuslock.testbed.fleet;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.stream.Stream;
import org.arbutuslock.cli.internal.Application;
import org.arbutuslock.cli.internal.CommandClock;
import org.arbutuslock.cli.internal.Output;

/**
 * Result of one run of the command-line tool against a node of a local fleet.
 *
 * @param code exit code
 * @param text standard output and standard error
 */
record CommandRun(int code, String text) {
    static CommandRun run(InProcessFleet fleet, String node, String... arguments) {
        InetSocketAddress address = fleet.settings(node).operators().address();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        Application application =
                new Application(
                        new Output(stream, stream, false),
                        new BufferedReader(new StringReader("")),
                        Map.of(),
                        CommandClock.system());
        String[] all =
                Stream.concat(
                                Stream.of("--address", "127.0.0.1:" + address.getPort()),
                                Arrays.stream(arguments))
                        .toArray(String[]::new);
        int code = application.run(all);
        return new CommandRun(code, bytes.toString(StandardCharsets.UTF_8));
    }

    CommandRun expect(int expected) {
        assertEquals(code, expected, text);
        return this;
    }
}
