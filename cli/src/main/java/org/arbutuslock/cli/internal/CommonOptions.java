package org.arbutuslock.cli.internal;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.FeatureControl;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Options that every subcommand takes.
 *
 * @param address address of the node to ask
 * @param json true for JSON output
 * @param timeout time for the whole command
 * @param tls files for mutual authentication, or empty for a connection without TLS
 */
record CommonOptions(
        InetSocketAddress address, boolean json, Duration timeout, Optional<TlsFiles> tls) {
    static final String ADDRESS_VARIABLE = "ARBUTUSLOCK_ADDRESS";
    static final String DEFAULT_ADDRESS = "127.0.0.1:7400";

    private static final int DEFAULT_TIMEOUT_SECONDS = 30;
    private static final int MAXIMUM_TIMEOUT_SECONDS = 3_600;

    /**
     * Files for mutual authentication.
     *
     * @param certificate PEM file with the operator's certificate chain
     * @param key PEM file with its private key
     * @param trust PEM file with the certificates that may sign a node's certificate
     */
    record TlsFiles(Path certificate, Path key, Path trust) {}

    static void addTo(ArgumentParser parser) {
        // Without SUPPRESS, the default of a subcommand would replace an option given before it.
        parser.addArgument("--address")
                .metavar("IP:PORT")
                .setDefault(FeatureControl.SUPPRESS)
                .help(
                        "node to ask; default is the variable "
                                + ADDRESS_VARIABLE
                                + ", then "
                                + DEFAULT_ADDRESS);
        parser.addArgument("--output")
                .choices("text", "json")
                .setDefault(FeatureControl.SUPPRESS)
                .help("form of the result; default text");
        parser.addArgument("--timeout")
                .metavar("SECONDS")
                .type(Integer.class)
                .choices(Arguments.range(1, MAXIMUM_TIMEOUT_SECONDS))
                .setDefault(FeatureControl.SUPPRESS)
                .help("time for the whole command, 1 to 3600; default 30");
        addFile(parser, "--certificate", "PEM file with the operator's certificate chain");
        addFile(parser, "--key", "PEM file with the private key of --certificate");
        addFile(parser, "--trust", "PEM file with the authorities of the nodes' certificates");
    }

    static CommonOptions read(Namespace arguments, Map<String, String> environment)
            throws CommandException {
        String fromEnvironment = environment.getOrDefault(ADDRESS_VARIABLE, "");
        boolean useVariable = arguments.getString("address") == null && !fromEnvironment.isEmpty();
        String address =
                useVariable ? fromEnvironment : text(arguments, "address", DEFAULT_ADDRESS);
        Integer seconds = arguments.getInt("timeout");
        return new CommonOptions(
                SocketAddressParser.parse(address, useVariable ? ADDRESS_VARIABLE : "--address"),
                "json".equals(arguments.getString("output")),
                Duration.ofSeconds(seconds == null ? DEFAULT_TIMEOUT_SECONDS : seconds),
                readTlsFiles(arguments));
    }

    private static void addFile(ArgumentParser parser, String option, String help) {
        parser.addArgument(option).metavar("FILE").setDefault(FeatureControl.SUPPRESS).help(help);
    }

    private static String text(Namespace arguments, String name, String defaultValue) {
        String value = arguments.getString(name);
        return value == null ? defaultValue : value;
    }

    private static Optional<TlsFiles> readTlsFiles(Namespace arguments) throws CommandException {
        String certificate = arguments.getString("certificate");
        String key = arguments.getString("key");
        String trust = arguments.getString("trust");
        if (certificate == null && key == null && trust == null) {
            return Optional.empty();
        }
        if (certificate == null || key == null || trust == null) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "TLS needs all of --certificate, --key and --trust; give the missing ones or"
                            + " none");
        }
        return Optional.of(new TlsFiles(Path.of(certificate), Path.of(key), Path.of(trust)));
    }
}
