package org.arbutuslock.testbed.store;

import java.io.IOException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.api.Clock;

/** Runs the in-memory store as a process until it is terminated. */
public final class StoreMain {
    private static final int EXIT_USAGE = 2;
    private static final int MAXIMUM_PORT = 65_535;

    private StoreMain() {}

    /**
     * Starts the store and prints the addresses of the store and of its control service. Exits with
     * 2 when an option is invalid or a port cannot be bound.
     *
     * @param arguments command-line options; {@code --help} lists them
     * @throws InterruptedException when the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        ArgumentParser parser = createParser();
        try {
            run(parser.parseArgs(arguments));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        } catch (IOException e) {
            System.err.println(
                    "arbutuslock-store: cannot bind the store port or the control port: "
                            + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private static ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("arbutuslock-store")
                        .build()
                        .description("In-memory substitute for the platform's store, on loopback.");
        for (String option : new String[] {"--port", "--control-port"}) {
            parser.addArgument(option)
                    .type(Integer.class)
                    .choices(net.sourceforge.argparse4j.impl.Arguments.range(0, MAXIMUM_PORT))
                    .setDefault(0)
                    .help("TCP port; 0 selects a free port");
        }
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(1L)
                .help("seed of the random faults");
        return parser;
    }

    private static void run(Namespace options) throws IOException, InterruptedException {
        StoreServer server =
                StoreServer.start(
                        options.getInt("port"),
                        options.getInt("control_port"),
                        Clock.system(),
                        options.getLong("seed"));
        Runtime.getRuntime().addShutdownHook(new Thread(server::close));
        System.out.println(
                "store "
                        + server.address().getAddress().getHostAddress()
                        + ":"
                        + server.address().getPort()
                        + " control "
                        + server.controlAddress().getAddress().getHostAddress()
                        + ":"
                        + server.controlAddress().getPort());
        Thread.currentThread().join();
    }
}
