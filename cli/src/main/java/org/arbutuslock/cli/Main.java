package org.arbutuslock.cli;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import org.arbutuslock.cli.internal.Application;
import org.arbutuslock.cli.internal.CommandClock;
import org.arbutuslock.cli.internal.Output;

/**
 * Starts the command-line tool.
 *
 * <pre>{@code
 * bin/arbutuslock status --address 127.0.0.1:7400
 * }</pre>
 */
public final class Main {
    private Main() {}

    /**
     * Runs one subcommand and ends the process with its exit code.
     *
     * @param arguments subcommand and options
     */
    public static void main(String[] arguments) {
        BufferedReader input =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        boolean interactive = System.console() != null && System.console().isTerminal();
        Output output = new Output(System.out, System.err, interactive);
        System.exit(
                new Application(output, input, System.getenv(), CommandClock.system())
                        .run(arguments));
    }
}
