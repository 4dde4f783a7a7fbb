package org.arbutuslock.internal.configuration;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.WeightedService;
import org.arbutuslock.internal.routing.RequestMethods;

/** Validates the fields of single entities; references between entities are not checked. */
final class EntityChecks {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9-]{1,63}");
    private static final String NAME_ALLOWED = "1 to 63 letters, digits and hyphens";
    private static final Pattern HOST = Pattern.compile("[a-z0-9.-]{0,253}");
    private static final Pattern METHOD = Pattern.compile("[A-Z][A-Z0-9-]{0,19}|");
    private static final Pattern PATH = Pattern.compile("/[\\x21-\\x7e&&[^?#]]{0,511}");
    private static final Pattern HEADER_NAME = Pattern.compile("[a-z0-9!#$%&'*+.^_`|~-]{1,63}");
    private static final Pattern HEADER_VALUE = Pattern.compile("[\\x20-\\x7e]{0,256}");

    private final List<ValidationError> mErrors;

    EntityChecks(List<ValidationError> errors) {
        mErrors = errors;
    }

    void check(ServiceDefinition service) {
        String entity = "service " + service.name();
        requireMatch(entity, "name", service.name(), NAME, NAME_ALLOWED);
        requireRange(
                entity,
                "expectedEndpoints",
                service.expectedEndpoints(),
                1,
                ConfigurationLimits.ENDPOINTS_PER_SERVICE);
        requireRange(
                entity,
                "slotsPerEndpoint",
                service.slotsPerEndpoint(),
                1,
                ConfigurationLimits.SLOTS_PER_ENDPOINT);
        requireRange(
                entity,
                "retryPercent",
                service.retryPercent(),
                0,
                ConfigurationLimits.WHOLE_PERCENT);
        checkFloor(entity, service);
    }

    private void checkFloor(String entity, ServiceDefinition service) {
        switch (service.floor()) {
            case Floor.Count(int endpoints) ->
                    requireRange(entity, "floor", endpoints, 0, service.expectedEndpoints());
            case Floor.Share(int percent) ->
                    requireRange(
                            entity,
                            "floor in percent",
                            percent,
                            0,
                            ConfigurationLimits.WHOLE_PERCENT);
        }
    }

    void check(RouteDefinition route) {
        String entity = "route " + route.name();
        requireMatch(entity, "name", route.name(), NAME, NAME_ALLOWED);
        requireMatch(
                entity, "host", route.host(), HOST, "a host name in lower case, or empty for any");
        requireMatch(
                entity, "method", route.method(), METHOD, "a method in capitals, or empty for any");
        checkPath(entity, route);
        checkHeaders(entity, route.headers());
        requireRange(
                entity,
                "deadlineMillis",
                route.deadlineMillis(),
                1,
                ConfigurationLimits.DEADLINE_MILLIS);
        requireRange(entity, "priority", route.priority(), 0, ConfigurationLimits.PRIORITY);
        check(entity, route.policy());
        boolean unknownMethod =
                !route.method().isEmpty() && !RequestMethods.isKnown(route.method());
        if (route.idempotent() && unknownMethod) {
            add(entity, "idempotent", "true", "false for the unknown method " + route.method());
        }
    }

    private void check(String entity, RoutePolicy policy) {
        requireRange(
                entity,
                "objectiveMillis",
                policy.targetMillis(),
                1,
                ConfigurationLimits.DEADLINE_MILLIS);
        requireRange(
                entity,
                "maximumAttempts",
                policy.maximumAttempts(),
                1,
                ConfigurationLimits.ATTEMPTS);
        if (policy.split().size() > ConfigurationLimits.SPLIT_PARTS) {
            add(
                    entity,
                    "split",
                    policy.split().size() + " services",
                    "at most " + ConfigurationLimits.SPLIT_PARTS + " services");
        }
        long total = 0;
        for (WeightedService part : policy.split()) {
            requireRange(
                    entity,
                    "split." + part.service(),
                    part.weight(),
                    0,
                    ConfigurationLimits.SPLIT_WEIGHT);
            total += part.weight();
        }
        if (!policy.split().isEmpty() && total == 0) {
            add(entity, "split", "weights of 0 only", "at least one weight above 0");
        }
    }

    private void checkPath(String entity, RouteDefinition route) {
        String path = route.path();
        requireMatch(
                entity,
                "path",
                path,
                PATH,
                "a slash and up to 511 visible ASCII characters without ? and #");
        long segments = path.chars().filter(character -> character == '/').count();
        if (segments > ConfigurationLimits.PATH_SEGMENTS) {
            add(
                    entity,
                    "path",
                    segments + " segments",
                    "at most " + ConfigurationLimits.PATH_SEGMENTS + " segments");
        }
        if (route.prefix() && path.length() > 1 && path.endsWith("/")) {
            add(entity, "path", path, "a prefix without a slash at its end");
        }
    }

    private void checkHeaders(String entity, Map<String, String> headers) {
        if (headers.size() > ConfigurationLimits.HEADERS_PER_ROUTE) {
            add(
                    entity,
                    "headers",
                    headers.size() + " headers",
                    "at most " + ConfigurationLimits.HEADERS_PER_ROUTE + " headers");
        }
        headers.forEach(
                (name, value) -> {
                    requireMatch(
                            entity,
                            "headers",
                            name,
                            HEADER_NAME,
                            "a header name of 1 to 63 characters in lower case");
                    requireMatch(
                            entity,
                            "headers." + name,
                            value,
                            HEADER_VALUE,
                            "up to 256 printable ASCII characters");
                });
    }

    void check(TenantDefinition tenant) {
        String entity = "tenant " + tenant.name();
        requireMatch(entity, "name", tenant.name(), NAME, NAME_ALLOWED);
        requireRange(entity, "weight", tenant.weight(), 1, ConfigurationLimits.TENANT_WEIGHT);
    }

    void add(String entity, String field, String value, String allowed) {
        mErrors.add(new ValidationError(entity, field, value, allowed));
    }

    void requireRange(String entity, String field, int value, int minimum, int maximum) {
        if (value < minimum || value > maximum) {
            add(entity, field, Integer.toString(value), minimum + " to " + maximum);
        }
    }

    private void requireMatch(
            String entity, String field, String value, Pattern pattern, String allowed) {
        if (!pattern.matcher(value).matches()) {
            add(entity, field, value, allowed);
        }
    }
}
