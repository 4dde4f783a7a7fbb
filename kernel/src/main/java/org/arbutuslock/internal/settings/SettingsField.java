package org.arbutuslock.internal.settings;

import java.util.List;

/** All fields of a settings file, each with its unit, allowed values and default. */
enum SettingsField {
    NODE_NAME("nodeName", "", new FieldRule.Name(), Defaults.REQUIRED),
    REGION("region", "", new FieldRule.Name(), Defaults.REQUIRED),
    AVAILABILITY_ZONE("availabilityZone", "", new FieldRule.Name(), Defaults.REQUIRED),
    // The value "platform" selects the store, configuration and headers of the platform.
    INTEGRATION("integration", "", new FieldRule.Choice(List.of("none", "platform")), "none"),
    SERVICE("service", "", new FieldRule.Name(), Defaults.EMPTY),
    CALLERS_ADDRESS("callers.address", "", new FieldRule.Address(), Defaults.REQUIRED),
    CALLERS_MAXIMUM_HEADER_BYTES(
            "callers.maximumHeaderBytes",
            "bytes",
            new FieldRule.IntegerRange(1_024, 65_536),
            "16384"),
    CALLERS_IDLE_TIMEOUT_MILLIS(
            "callers.idleTimeoutMillis",
            "ms",
            new FieldRule.IntegerRange(1_000, 3_600_000),
            "60000"),
    // With 0, availability zones and regions are compared by latency alone.
    CALLERS_ZONE_PENALTY_MILLIS(
            "callers.zonePenaltyMillis", "ms", new FieldRule.IntegerRange(0, 60_000), "0"),
    CALLERS_REGION_PENALTY_MILLIS(
            "callers.regionPenaltyMillis", "ms", new FieldRule.IntegerRange(0, 60_000), "0"),
    PEERS_ADDRESS("peers.address", "", new FieldRule.Address(), Defaults.REQUIRED),
    PEERS_ADVERTISED_ADDRESS(
            "peers.advertisedAddress", "", new FieldRule.Address(), Defaults.PEERS_ADDRESS),
    PEERS_SEEDS("peers.seeds", "", new FieldRule.Addresses(64), Defaults.EMPTY),
    ANNOUNCEMENTS_ADDRESS("announcements.address", "", new FieldRule.Address(), "127.0.0.1:7401"),
    ANNOUNCEMENTS_LEASE_SECONDS(
            "announcements.leaseSeconds", "s", new FieldRule.DecimalRange(0.5, 600), "3"),
    OPERATORS_ADDRESS("operators.address", "", new FieldRule.Address(), "127.0.0.1:7400"),
    METRICS_ADDRESS("metrics.address", "", new FieldRule.Address(), "127.0.0.1:7402"),
    METRICS_READINESS_ADDRESS(
            "metrics.readinessAddress", "", new FieldRule.Address(), Defaults.METRICS_ADDRESS),
    STORE_ADDRESS("store.address", "", new FieldRule.Address(), Defaults.REQUIRED),
    STORE_CALLS_PER_SECOND(
            "store.callsPerSecond", "calls/s", new FieldRule.IntegerRange(1, 500), "20"),
    STORE_TIMEOUT_MILLIS(
            "store.timeoutMillis", "ms", new FieldRule.IntegerRange(50, 60_000), "2000"),
    // The default of 64 MiB is the limit that docs/design.md, section 5, sets.
    LIMITS_KEPT_RESPONSE_BYTES(
            "limits.keptResponseBytes",
            "bytes",
            new FieldRule.IntegerRange(1 << 20, 1 << 30),
            String.valueOf(64 << 20)),
    LIMITS_QUEUE_LENGTH(
            "limits.queueLengthPerEndpoint",
            "requests",
            new FieldRule.IntegerRange(1, 10_000),
            "64"),
    LIMITS_DRAIN_SECONDS("limits.drainSeconds", "s", new FieldRule.IntegerRange(1, 3_600), "30"),
    LIMITS_CONNECTIONS(
            "limits.connections", "connections", new FieldRule.IntegerRange(1, 100_000), "10000"),
    // By design, ejection leaves at least three quarters of the endpoints in service.
    BOUNDS_FLOOR_SHARE("bounds.floorShare", "", new FieldRule.DecimalRange(0, 1), "0.75"),
    // By default, a departing backend server must get no new requests after 3 s.
    BOUNDS_DEPARTURE_SECONDS(
            "bounds.departureSeconds", "s", new FieldRule.DecimalRange(0.1, 600), "3"),
    // The default ratio is the one that docs/design.md gives each service.
    BOUNDS_RETRY_RATIO("bounds.retryRatio", "", new FieldRule.DecimalRange(0, 1), "0.2"),
    // Retries that the whole fleet may send in one window in addition to the ratio.
    BOUNDS_RETRY_EXTRA(
            "bounds.retryExtra", "retries", new FieldRule.DecimalRange(0, 1_000_000), "10"),
    BOUNDS_RETRY_WINDOW_SECONDS(
            "bounds.retryWindowSeconds", "s", new FieldRule.DecimalRange(1, 600), "10"),
    // The host ends a process whose graceful shutdown takes longer.
    BOUNDS_STOP_SECONDS("bounds.stopSeconds", "s", new FieldRule.DecimalRange(1, 7_200), "3600"),
    TLS_CERTIFICATE_FILE(
            "tls.certificateFile", "", new FieldRule.FilePath(), Defaults.REQUIRED_WITH_TLS),
    TLS_KEY_FILE("tls.keyFile", "", new FieldRule.FilePath(), Defaults.REQUIRED_WITH_TLS),
    TLS_TRUST_FILE("tls.trustFile", "", new FieldRule.FilePath(), Defaults.REQUIRED_WITH_TLS),
    TLS_ROLES("tls.roles", "", new FieldRule.Roles(), Defaults.REQUIRED_WITH_TLS);

    private final String mPath;
    private final String mUnit;
    private final FieldRule mRule;
    private final String mDefault;

    SettingsField(String path, String unit, FieldRule rule, String defaultText) {
        mPath = path;
        mUnit = unit;
        mRule = rule;
        mDefault = defaultText;
    }

    String path() {
        return mPath;
    }

    String unit() {
        return mUnit;
    }

    FieldRule rule() {
        return mRule;
    }

    /** Returns the default as it would be written in a file, or a marker of {@link Defaults}. */
    String defaultText() {
        return mDefault;
    }

    boolean isRequired() {
        return mDefault.equals(Defaults.REQUIRED) || mDefault.equals(Defaults.REQUIRED_WITH_TLS);
    }

    /** Markers for fields whose default is not a literal value. */
    static final class Defaults {
        static final String REQUIRED = "required";
        static final String REQUIRED_WITH_TLS = "required with tls";
        static final String PEERS_ADDRESS = "peers.address";
        static final String METRICS_ADDRESS = "metrics.address";
        static final String EMPTY = "empty";

        private Defaults() {}
    }
}
