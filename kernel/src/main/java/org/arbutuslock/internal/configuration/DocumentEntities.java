package org.arbutuslock.internal.configuration;

import java.util.List;
import java.util.Map;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.WeightedService;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.configuration.DocumentField.Type;

/**
 * Names, types and default values of the fields in a document, and the conversion of field values
 * to entities.
 */
final class DocumentEntities {
    static final String NAME = "name";
    static final String FLOOR = "floor";
    static final String EXPECTED_ENDPOINTS = "expectedEndpoints";
    static final String SLOTS_PER_ENDPOINT = "slotsPerEndpoint";
    static final String RETRY_PERCENT = "retryPercent";
    static final String HOST = "host";
    static final String METHOD = "method";
    static final String PATH = "path";
    static final String PREFIX = "prefix";
    static final String HEADERS = "headers";
    static final String SERVICE = "service";
    static final String WORK_CLASS = "class";
    static final String IDEMPOTENT = "idempotent";
    static final String DEADLINE_MILLIS = "deadlineMillis";
    static final String PRIORITY = "priority";
    static final String OBJECTIVE_MILLIS = "objectiveMillis";
    static final String MAXIMUM_ATTEMPTS = "maximumAttempts";
    static final String SPLIT = "split";
    static final String BELOW_ONLY = "belowOnly";
    static final String WEIGHT = "weight";

    private static final int DEFAULT_PRIORITY = 5;

    static final Map<String, DocumentField> SERVICE_FIELDS =
            Map.of(
                    NAME, DocumentField.required(Type.TEXT),
                    FLOOR, DocumentField.required(Type.FLOOR),
                    EXPECTED_ENDPOINTS, DocumentField.required(Type.INTEGER),
                    SLOTS_PER_ENDPOINT, DocumentField.required(Type.INTEGER),
                    RETRY_PERCENT, DocumentField.required(Type.INTEGER));

    static final Map<String, DocumentField> ROUTE_FIELDS =
            Map.ofEntries(
                    Map.entry(NAME, DocumentField.required(Type.TEXT)),
                    Map.entry(HOST, DocumentField.optional(Type.TEXT, "")),
                    Map.entry(METHOD, DocumentField.optional(Type.TEXT, "")),
                    Map.entry(PATH, DocumentField.required(Type.TEXT)),
                    Map.entry(PREFIX, DocumentField.optional(Type.BOOLEAN, false)),
                    Map.entry(HEADERS, DocumentField.optional(Type.TEXT_MAP, Map.of())),
                    Map.entry(SERVICE, DocumentField.required(Type.TEXT)),
                    Map.entry(WORK_CLASS, DocumentField.optional(Type.WORK_CLASS, WorkClass.SHORT)),
                    Map.entry(IDEMPOTENT, DocumentField.optional(Type.BOOLEAN, false)),
                    Map.entry(DEADLINE_MILLIS, DocumentField.required(Type.INTEGER)),
                    Map.entry(PRIORITY, DocumentField.optional(Type.INTEGER, DEFAULT_PRIORITY)),
                    Map.entry(
                            OBJECTIVE_MILLIS,
                            DocumentField.optional(
                                    Type.INTEGER, RoutePolicy.DEFAULT.targetMillis())),
                    Map.entry(
                            MAXIMUM_ATTEMPTS,
                            DocumentField.optional(
                                    Type.INTEGER, RoutePolicy.DEFAULT.maximumAttempts())),
                    Map.entry(SPLIT, DocumentField.optional(Type.WEIGHTS, List.of())),
                    Map.entry(BELOW_ONLY, DocumentField.optional(Type.BOOLEAN, false)));

    static final Map<String, DocumentField> TENANT_FIELDS =
            Map.of(
                    NAME, DocumentField.required(Type.TEXT),
                    WEIGHT, DocumentField.optional(Type.INTEGER, 1));

    private DocumentEntities() {}

    static ServiceDefinition service(Map<String, Object> values) {
        return new ServiceDefinition(
                (String) values.get(NAME),
                (Floor) values.get(FLOOR),
                (Integer) values.get(EXPECTED_ENDPOINTS),
                (Integer) values.get(SLOTS_PER_ENDPOINT),
                (Integer) values.get(RETRY_PERCENT));
    }

    @SuppressWarnings("unchecked")
    static RouteDefinition route(Map<String, Object> values) {
        return new RouteDefinition(
                (String) values.get(NAME),
                (String) values.get(HOST),
                (String) values.get(METHOD),
                (String) values.get(PATH),
                (Boolean) values.get(PREFIX),
                (Map<String, String>) values.get(HEADERS),
                (String) values.get(SERVICE),
                (WorkClass) values.get(WORK_CLASS),
                (Boolean) values.get(IDEMPOTENT),
                (Integer) values.get(DEADLINE_MILLIS),
                (Integer) values.get(PRIORITY),
                new RoutePolicy(
                        (Integer) values.get(OBJECTIVE_MILLIS),
                        (Integer) values.get(MAXIMUM_ATTEMPTS),
                        (List<WeightedService>) values.get(SPLIT),
                        (Boolean) values.get(BELOW_ONLY)));
    }

    static TenantDefinition tenant(Map<String, Object> values) {
        return new TenantDefinition((String) values.get(NAME), (Integer) values.get(WEIGHT));
    }
}
