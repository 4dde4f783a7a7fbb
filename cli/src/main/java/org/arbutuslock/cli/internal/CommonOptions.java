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
 * Options that every subcommand has.
 *
 * @param address address of the node to call
 * @param json whether to print the result as JSON
 * @param timeout maximum duration of the whole command
 * @param tls PEM files for mutual TLS; empty for a connection without TLS
 */
record CommonOptions(
        InetSocketAddress address, boolean json, Duration timeout, Optional<TlsFiles> tls) {
    static final String ADDRESS_VARIABLE = "ARBUTUSLOCK_ADDRESS";
    static final String DEFAULT_ADDRESS = "127.0.0.1:7400";

    private static final int DEFAULT_TIMEOUT_SECONDS = 30;
    private static final int MAXIMUM_TIMEOUT_SECONDS = 3_600;

    /**
     * PEM files for mutual TLS.
     *
     * @param certificate certificate chain of the operator
     * @param key private key of the certificate, PKCS #8 and unencrypted
     * @param trust authorities that may sign a node's certificate
     */
    record TlsFiles(Path certificate, Path key, Path trust) {}

    static void addTo(ArgumentParser parser) {
        // Without SUPPRESS, the default value in the subcommand's parser would replace an option
        // that is given before the subcommand.
        parser.addArgument("--address")
                .metavar("IP:PORT")
                .setDefault(FeatureControl.SUPPRESS)
                .help(
                        "node to call; default is the environment variable "
                                + ADDRESS_VARIABLE
                                + ", then "
                                + DEFAULT_ADDRESS);
        parser.addArgument("--output")
                .choices("text", "json")
                .setDefault(FeatureControl.SUPPRESS)
                .help("format of the result; default text");
        parser.addArgument("--timeout")
                .metavar("SECONDS")
                .type(Integer.class)
                .choices(Arguments.range(1, MAXIMUM_TIMEOUT_SECONDS))
                .setDefault(FeatureControl.SUPPRESS)
                .help("maximum duration of the whole command, 1 to 3600; default 30");
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
