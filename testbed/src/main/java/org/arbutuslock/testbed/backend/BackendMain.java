package org.arbutuslock.testbed.backend;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.api.Clock;

/** Runs one simulated backend server as a process. SIGTERM starts a graceful shutdown. */
public final class BackendMain {
    private static final int EXIT_USAGE = 2;
    private static final int MAXIMUM_PORT = 65_535;
    private static final Duration DRAIN_QUIET = Duration.ofSeconds(1);
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(30);

    private BackendMain() {}

    /**
     * Starts the server and prints its address. Exits with 2 when an option is invalid.
     *
     * @param arguments command-line options; {@code --help} lists them
     */
    public static void main(String[] arguments) {
        ArgumentParser parser = createParser();
        try {
            BackendServer server = start(toSettings(parser.parseArgs(arguments)));
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(() -> server.drain(DRAIN_QUIET, DRAIN_LIMIT).join()));
            System.out.println("backend server 127.0.0.1:" + server.port());
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        } catch (IllegalArgumentException e) {
            System.err.println("arbutuslock-backend: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private static BackendServer start(BackendSettings settings) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        return BackendServer.start(settings, Clock.system(), group);
    }

    private static ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("arbutuslock-backend")
                        .build()
                        .description("Simulated backend server on loopback.");
        parser.addArgument("--name").required(true).help("unique name of the backend server");
        parser.addArgument("--service")
                .required(true)
                .help("service that the backend server belongs to");
        addInteger(parser, "--port", 0, 0, MAXIMUM_PORT, "TCP port; 0 selects a free port");
        addInteger(parser, "--slots", 5, 1, 10_000, "requests processed at the same time");
        addInteger(parser, "--queue-limit", 1000, 0, 1_000_000, "limit of waiting requests");
        parser.addArgument("--short-millis")
                .type(Double.class)
                .setDefault(5.0)
                .help("service time of short work in milliseconds");
        addInteger(parser, "--long-body-bytes", 1 << 20, 1, 1 << 30, "body size of long work");
        addInteger(
                parser, "--long-bytes-per-second", 1 << 20, 1, 1 << 30, "send rate of long work");
        addInteger(parser, "--cold-start-millis", 0, 0, 3_600_000, "duration of the cold start");
        addInteger(parser, "--cold-start-factor", 1, 1, 1000, "initial factor on service times");
        addInteger(
                parser,
                "--home-node-port",
                0,
                0,
                MAXIMUM_PORT,
                "announcement port of the home node; 0 disables announcements");
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(1L)
                .help("seed of the random faults");
        return parser;
    }

    private static void addInteger(
            ArgumentParser parser, String name, int initial, int least, int most, String help) {
        parser.addArgument(name)
                .type(Integer.class)
                .choices(Arguments.range(least, most))
                .setDefault(initial)
                .help(help);
    }

    private static BackendSettings toSettings(Namespace options) {
        int homePort = options.getInt("home_node_port");
        Optional<InetSocketAddress> home =
                homePort == 0
                        ? Optional.empty()
                        : Optional.of(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), homePort));
        WorkTimes times =
                new WorkTimes(
                        options.getDouble("short_millis"),
                        options.getInt("long_body_bytes"),
                        options.getInt("long_bytes_per_second"),
                        options.getInt("cold_start_millis"),
                        options.getInt("cold_start_factor"));
        return new BackendSettings(
                options.getString("name"),
                options.getString("service"),
                options.getInt("port"),
                options.getInt("slots"),
                options.getInt("queue_limit"),
                times,
                home,
                options.getLong("seed"));
    }
}
