package org.arbutuslock.internal.settings;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Loads the settings of a node from a file of JSON with comments. All problems of a file are
 * reported together, so that an operator can correct them in one step.
 *
 * <pre>{@code
 * switch (new SettingsLoader().load(Path.of("config/node.json"))) {
 *     case SettingsResult.Loaded(NodeSettings settings) -> start(settings);
 *     case SettingsResult.Invalid(List<SettingsProblem> problems) -> problems.forEach(this::print);
 * }
 * }</pre>
 */
public final class SettingsLoader {
    private static final long MAXIMUM_FILE_BYTES = 1 << 20;

    /** Creates a loader. */
    public SettingsLoader() {}

    /**
     * Loads a file.
     *
     * @param file path of the settings file
     * @return the settings, or all problems of the file; an unreadable file is a problem too
     */
    public SettingsResult load(Path file) {
        ProblemCollector problems = new ProblemCollector(file.toString());
        try {
            Optional<byte[]> content = readFile(file, problems);
            if (content.isPresent()) {
                return parse(file, content.get(), problems);
            }
        } catch (IOException unreadable) {
            problems.add(0, 0, "", "", describe(unreadable));
        }
        return new SettingsResult.Invalid(problems.inOrder());
    }

    /**
     * Parses and validates the content of a file; relative paths start at the parent of the file.
     */
    SettingsResult parse(Path file, byte[] content) throws IOException {
        return parse(file, content, new ProblemCollector(file.toString()));
    }

    private static SettingsResult parse(Path file, byte[] content, ProblemCollector problems)
            throws IOException {
        String text = Utf8Text.decode(content, problems);
        Optional<LocatedValue.Section> root =
                Optional.ofNullable(
                        text == null ? null : new LocatedJsonReader(problems).read(text));
        if (root.isEmpty()) {
            return new SettingsResult.Invalid(problems.inOrder());
        }
        new UnknownFieldFinder(problems).find(root.get(), "");
        Path directory = Optional.ofNullable(file.getParent()).orElse(Path.of(""));
        FieldReader reader = new FieldReader(root.get(), directory, problems);
        NodeSettings settings = build(reader);
        if (problems.isEmpty()) {
            // Fields can be compared with each other only when each one is valid.
            checkRelations(settings, reader);
        }
        return problems.isEmpty()
                ? new SettingsResult.Loaded(settings)
                : new SettingsResult.Invalid(problems.inOrder());
    }

    private static Optional<byte[]> readFile(Path file, ProblemCollector problems)
            throws IOException {
        long size = Files.size(file);
        if (size > MAXIMUM_FILE_BYTES) {
            problems.add(
                    0,
                    0,
                    "",
                    size + " bytes",
                    "the file has "
                            + size
                            + " bytes; allowed are "
                            + MAXIMUM_FILE_BYTES
                            + " bytes");
            return Optional.empty();
        }
        return Optional.of(Files.readAllBytes(file));
    }

    private static String describe(IOException unreadable) {
        return switch (unreadable) {
            case NoSuchFileException missing ->
                    "the file does not exist; copy config/node.example.json and adapt it";
            default ->
                    "the file cannot be read ("
                            + unreadable.getClass().getSimpleName()
                            + "); check its permissions";
        };
    }

    private static NodeSettings build(FieldReader reader) {
        return new NodeSettings(
                reader.readName(SettingsField.NODE_NAME),
                reader.readName(SettingsField.REGION),
                reader.readName(SettingsField.AVAILABILITY_ZONE),
                new NodeSettings.Callers(
                        reader.readAddress(SettingsField.CALLERS_ADDRESS),
                        (int) reader.readInteger(SettingsField.CALLERS_MAXIMUM_HEADER_BYTES),
                        (int) reader.readInteger(SettingsField.CALLERS_IDLE_TIMEOUT_MILLIS),
                        (int) reader.readInteger(SettingsField.CALLERS_ZONE_PENALTY_MILLIS),
                        (int) reader.readInteger(SettingsField.CALLERS_REGION_PENALTY_MILLIS)),
                buildPeers(reader),
                new NodeSettings.Announcements(
                        reader.readAddress(SettingsField.ANNOUNCEMENTS_ADDRESS),
                        reader.readDecimal(SettingsField.ANNOUNCEMENTS_LEASE_SECONDS)),
                new NodeSettings.Operators(reader.readAddress(SettingsField.OPERATORS_ADDRESS)),
                buildMetrics(reader),
                new NodeSettings.Store(
                        reader.readAddress(SettingsField.STORE_ADDRESS),
                        (int) reader.readInteger(SettingsField.STORE_CALLS_PER_SECOND),
                        (int) reader.readInteger(SettingsField.STORE_TIMEOUT_MILLIS)),
                new NodeSettings.Limits(
                        reader.readInteger(SettingsField.LIMITS_KEPT_RESPONSE_BYTES),
                        (int) reader.readInteger(SettingsField.LIMITS_QUEUE_LENGTH),
                        (int) reader.readInteger(SettingsField.LIMITS_DRAIN_SECONDS),
                        (int) reader.readInteger(SettingsField.LIMITS_CONNECTIONS)),
                reader.readChoice(SettingsField.INTEGRATION) == 0
                        ? NodeSettings.Integration.NONE
                        : NodeSettings.Integration.PLATFORM,
                reader.has(SettingsField.SERVICE.path())
                        ? reader.readName(SettingsField.SERVICE)
                        : "",
                buildBounds(reader),
                reader.has("tls") ? Optional.of(buildTls(reader)) : Optional.empty());
    }

    private static NodeSettings.Peers buildPeers(FieldReader reader) {
        InetSocketAddress address = reader.readAddress(SettingsField.PEERS_ADDRESS);
        boolean advertised = reader.has(SettingsField.PEERS_ADVERTISED_ADDRESS.path());
        return new NodeSettings.Peers(
                address,
                advertised ? reader.readAddress(SettingsField.PEERS_ADVERTISED_ADDRESS) : address,
                reader.readAddresses(SettingsField.PEERS_SEEDS));
    }

    private static NodeSettings.Metrics buildMetrics(FieldReader reader) {
        InetSocketAddress address = reader.readAddress(SettingsField.METRICS_ADDRESS);
        boolean separate = reader.has(SettingsField.METRICS_READINESS_ADDRESS.path());
        return new NodeSettings.Metrics(
                address,
                separate ? reader.readAddress(SettingsField.METRICS_READINESS_ADDRESS) : address);
    }

    private static NodeSettings.Bounds buildBounds(FieldReader reader) {
        return new NodeSettings.Bounds(
                reader.readDecimal(SettingsField.BOUNDS_FLOOR_SHARE),
                reader.readDecimal(SettingsField.BOUNDS_DEPARTURE_SECONDS),
                reader.readDecimal(SettingsField.BOUNDS_RETRY_RATIO),
                reader.readDecimal(SettingsField.BOUNDS_RETRY_EXTRA),
                reader.readDecimal(SettingsField.BOUNDS_RETRY_WINDOW_SECONDS),
                reader.readDecimal(SettingsField.BOUNDS_STOP_SECONDS));
    }

    private static NodeSettings.Tls buildTls(FieldReader reader) {
        return new NodeSettings.Tls(
                reader.readFile(SettingsField.TLS_CERTIFICATE_FILE),
                reader.readFile(SettingsField.TLS_KEY_FILE),
                reader.readFile(SettingsField.TLS_TRUST_FILE),
                reader.readRoles(SettingsField.TLS_ROLES));
    }

    private static void checkRelations(NodeSettings settings, FieldReader reader) {
        if (settings.peers().advertisedAddress().getAddress().isAnyLocalAddress()) {
            reader.report(
                    SettingsField.PEERS_ADVERTISED_ADDRESS,
                    "other nodes cannot connect to this address; set the address of this host");
        }
        checkAnnouncements(settings, reader);
        boolean loopback = settings.operators().address().getAddress().isLoopbackAddress();
        if (settings.tls().isEmpty() && !loopback) {
            reader.report(
                    SettingsField.OPERATORS_ADDRESS,
                    "allowed is a loopback address unless tls is set; add tls");
        }
        checkListeners(settings, reader);
    }

    /**
     * Accepts a loopback address, and on the platform also the host's own address, which a backend
     * server on the same host reaches as well.
     */
    private static void checkAnnouncements(NodeSettings settings, FieldReader reader) {
        boolean hosted = settings.integration() == NodeSettings.Integration.PLATFORM;
        InetAddress address = settings.announcements().address().getAddress();
        boolean own = hosted && address.equals(settings.peers().advertisedAddress().getAddress());
        if (!address.isLoopbackAddress() && !own) {
            reader.report(
                    SettingsField.ANNOUNCEMENTS_ADDRESS,
                    hosted
                            ? "allowed is a loopback address or the host's own address"
                            : "allowed is a loopback address, since announcements are not"
                                    + " authenticated");
        }
    }

    private static void checkListeners(NodeSettings settings, FieldReader reader) {
        Map<SettingsField, InetSocketAddress> listeners = new LinkedHashMap<>();
        listeners.put(SettingsField.CALLERS_ADDRESS, settings.callers().address());
        listeners.put(SettingsField.PEERS_ADDRESS, settings.peers().address());
        listeners.put(SettingsField.ANNOUNCEMENTS_ADDRESS, settings.announcements().address());
        listeners.put(SettingsField.OPERATORS_ADDRESS, settings.operators().address());
        listeners.put(SettingsField.METRICS_ADDRESS, settings.metrics().address());
        if (!settings.metrics().readinessAddress().equals(settings.metrics().address())) {
            listeners.put(
                    SettingsField.METRICS_READINESS_ADDRESS, settings.metrics().readinessAddress());
        }
        Map<InetSocketAddress, SettingsField> used = new LinkedHashMap<>();
        listeners.forEach(
                (field, address) -> {
                    SettingsField other = used.putIfAbsent(address, field);
                    if (other != null) {
                        reader.report(
                                field,
                                "the same address is set for " + other.path() + "; change one");
                    }
                });
    }
}
