package org.arbutuslock.testbed.load;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command-line options of the load generator. */
final class LoadOptions {
    private static final int MAXIMUM_BODY_BYTES = 1 << 20;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final List<String> KIND_FIELDS =
            List.of("name", "method", "path", "body-bytes", "tenant", "host", "share");

    private LoadOptions() {}

    static ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("arbutuslock-load")
                        .build()
                        .description("Open-loop load generator for loopback addresses.");
        parser.addArgument("--target")
                .action(Arguments.append())
                .required(true)
                .help("loopback IP address and port, for example 127.0.0.1:8080; may be repeated");
        parser.addArgument("--step")
                .action(Arguments.append())
                .required(true)
                .help("requests per second and duration in s, for example 200:10; may be repeated");
        parser.addArgument("--kind")
                .action(Arguments.append())
                .required(true)
                .help(
                        "fields separated by commas, for example"
                                + " name=lookup,method=GET,path=/price,share=0.9,tenant=t1;"
                                + " further fields are body-bytes and host; may be repeated");
        parser.addArgument("--arrivals")
                .choices("uniform", "poisson")
                .setDefault("poisson")
                .help("distribution of the intervals between arrivals");
        addInteger(parser, "--connections", 64, "maximum number of connections per target");
        addInteger(parser, "--threads", 1, "number of event loops");
        addInteger(
                parser,
                "--timeout-millis",
                5000,
                "maximum time from the intended send time to the end of a response");
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(1L)
                .help("seed of arrival times and kinds");
        return parser;
    }

    /**
     * Converts the parsed options to a plan.
     *
     * @throws IllegalArgumentException if a value is invalid; the message names the option or field
     */
    static LoadPlan toPlan(Namespace options) {
        return new LoadPlan(
                options.<String>getList("target").stream().map(LoadOptions::parseTarget).toList(),
                options.<String>getList("step").stream().map(LoadOptions::parseStep).toList(),
                options.<String>getList("kind").stream().map(LoadOptions::parseKind).toList(),
                ArrivalPattern.valueOf(options.getString("arrivals").toUpperCase(Locale.ROOT)),
                options.getInt("connections"),
                options.getInt("threads"),
                Duration.ofMillis(options.getInt("timeout_millis")),
                options.getLong("seed"));
    }

    static InetSocketAddress parseTarget(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw invalid("--target", text, "an IP address and a port joined by a colon");
        }
        try {
            InetAddress address = InetAddress.ofLiteral(text.substring(0, colon));
            return new InetSocketAddress(address, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw invalid("--target", text, "an IP address and a port joined by a colon");
        }
    }

    static LoadStep parseStep(String text) {
        String[] parts = text.split(":");
        try {
            if (parts.length == 2) {
                double millis = Double.parseDouble(parts[1]) * MILLIS_PER_SECOND;
                return new LoadStep(Double.parseDouble(parts[0]), Duration.ofMillis((long) millis));
            }
        } catch (NumberFormatException e) {
            throw invalid("--step", text, "requests per second and seconds joined by a colon");
        }
        throw invalid("--step", text, "requests per second and seconds joined by a colon");
    }

    static RequestKind parseKind(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String field : text.split(",")) {
            int equals = field.indexOf('=');
            if (equals < 0 || !KIND_FIELDS.contains(field.substring(0, equals))) {
                throw invalid("--kind", field, "name=value with one of the names " + KIND_FIELDS);
            }
            fields.put(field.substring(0, equals), field.substring(equals + 1));
        }
        Map<String, String> headers = new HashMap<>();
        copy(fields, "tenant", headers, RequestKind.TENANT_HEADER);
        copy(fields, "host", headers, "host");
        try {
            int bodyBytes = Integer.parseInt(fields.getOrDefault("body-bytes", "0"));
            if (bodyBytes < 0 || bodyBytes > MAXIMUM_BODY_BYTES) {
                throw invalid("--kind", text, "body-bytes from 0 to " + MAXIMUM_BODY_BYTES);
            }
            return new RequestKind(
                    fields.getOrDefault("name", "request"),
                    fields.getOrDefault("method", "GET"),
                    fields.getOrDefault("path", "/"),
                    new byte[bodyBytes],
                    headers,
                    Double.parseDouble(fields.getOrDefault("share", "1")));
        } catch (NumberFormatException e) {
            throw invalid("--kind", text, "numbers in body-bytes and share");
        }
    }

    private static void copy(
            Map<String, String> from, String field, Map<String, String> to, String header) {
        if (from.containsKey(field)) {
            to.put(header, from.get(field));
        }
    }

    private static void addInteger(ArgumentParser parser, String name, int initial, String help) {
        parser.addArgument(name)
                .type(Integer.class)
                .choices(Arguments.range(1, Integer.MAX_VALUE))
                .setDefault(initial)
                .help(help);
    }

    private static IllegalArgumentException invalid(String option, String text, String allowed) {
        return new IllegalArgumentException(option + " is \"" + text + "\"; allowed is " + allowed);
    }
}
