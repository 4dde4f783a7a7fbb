package org.arbutuslock.internal.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.WeightedService;
import org.arbutuslock.api.WorkClass;
import org.msgpack.core.MessagePacker;

/** Encodes services, routes and tenants as MessagePack arrays with a fixed order of fields. */
final class EntityCodec {
    private static final int SERVICE_FIELDS = 6;
    // Older encodings lack the target latency, the attempts, the split and belowOnly, which tells
    // whether the route excludes its own path.
    private static final int ROUTE_FIELDS_WITHOUT_POLICY = 11;
    private static final int ROUTE_FIELDS = 15;
    private static final int TENANT_FIELDS = 2;

    private EntityCodec() {}

    static void pack(MessagePacker packer, ServiceDefinition service) throws IOException {
        packer.packArrayHeader(SERVICE_FIELDS).packString(service.name());
        switch (service.floor()) {
            case Floor.Count(int endpoints) -> packer.packBoolean(false).packInt(endpoints);
            case Floor.Share(int percent) -> packer.packBoolean(true).packInt(percent);
        }
        packer.packInt(service.expectedEndpoints())
                .packInt(service.slotsPerEndpoint())
                .packInt(service.retryPercent());
    }

    static ServiceDefinition unpackService(BoundedUnpacker unpacker)
            throws MalformedConfigurationException {
        unpacker.readArray("service", SERVICE_FIELDS, SERVICE_FIELDS);
        String name = readName(unpacker, "service.name");
        boolean share = unpacker.readBoolean("service.floor.share");
        int most =
                share
                        ? ConfigurationLimits.WHOLE_PERCENT
                        : ConfigurationLimits.ENDPOINTS_PER_SERVICE;
        int value = unpacker.readInt("service.floor", 0, most);
        return new ServiceDefinition(
                name,
                share ? new Floor.Share(value) : new Floor.Count(value),
                unpacker.readInt(
                        "service.expectedEndpoints", 1, ConfigurationLimits.ENDPOINTS_PER_SERVICE),
                unpacker.readInt(
                        "service.slotsPerEndpoint", 1, ConfigurationLimits.SLOTS_PER_ENDPOINT),
                unpacker.readInt("service.retryPercent", 0, ConfigurationLimits.WHOLE_PERCENT));
    }

    static void pack(MessagePacker packer, RouteDefinition route) throws IOException {
        packer.packArrayHeader(ROUTE_FIELDS)
                .packString(route.name())
                .packString(route.host())
                .packString(route.method())
                .packString(route.path())
                .packBoolean(route.prefix())
                .packArrayHeader(route.headers().size() * 2);
        // Sorted, so that equal routes have equal encodings.
        for (Map.Entry<String, String> header : new TreeMap<>(route.headers()).entrySet()) {
            packer.packString(header.getKey()).packString(header.getValue());
        }
        packer.packString(route.service())
                .packInt(route.workClass().ordinal())
                .packBoolean(route.idempotent())
                .packInt(route.deadlineMillis())
                .packInt(route.priority());
        packPolicy(packer, route.policy());
    }

    private static void packPolicy(MessagePacker packer, RoutePolicy policy) throws IOException {
        packer.packInt(policy.targetMillis())
                .packInt(policy.maximumAttempts())
                .packArrayHeader(policy.split().size() * 2);
        for (WeightedService part : policy.split()) {
            packer.packString(part.service()).packInt(part.weight());
        }
        packer.packBoolean(policy.belowOnly());
    }

    static RouteDefinition unpackRoute(BoundedUnpacker unpacker)
            throws MalformedConfigurationException {
        int fields = unpacker.readArray("route", ROUTE_FIELDS_WITHOUT_POLICY, ROUTE_FIELDS);
        if (fields != ROUTE_FIELDS && fields != ROUTE_FIELDS_WITHOUT_POLICY) {
            throw unpacker.malformed(
                    "route",
                    fields + " fields",
                    ROUTE_FIELDS_WITHOUT_POLICY + " or " + ROUTE_FIELDS + " fields");
        }
        return new RouteDefinition(
                readName(unpacker, "route.name"),
                unpacker.readString("route.host", ConfigurationLimits.HOST_CHARACTERS),
                unpacker.readString("route.method", ConfigurationLimits.METHOD_CHARACTERS),
                unpacker.readString("route.path", ConfigurationLimits.PATH_CHARACTERS),
                unpacker.readBoolean("route.prefix"),
                unpackHeaders(unpacker),
                readName(unpacker, "route.service"),
                WorkClass.values()[
                        unpacker.readInt("route.workClass", 0, WorkClass.values().length - 1)],
                unpacker.readBoolean("route.idempotent"),
                unpacker.readInt("route.deadlineMillis", 1, ConfigurationLimits.DEADLINE_MILLIS),
                unpacker.readInt("route.priority", 0, ConfigurationLimits.PRIORITY),
                fields == ROUTE_FIELDS ? unpackPolicy(unpacker) : RoutePolicy.DEFAULT);
    }

    private static RoutePolicy unpackPolicy(BoundedUnpacker unpacker)
            throws MalformedConfigurationException {
        return new RoutePolicy(
                unpacker.readInt("route.objectiveMillis", 1, ConfigurationLimits.DEADLINE_MILLIS),
                unpacker.readInt("route.maximumAttempts", 1, ConfigurationLimits.ATTEMPTS),
                unpackSplit(unpacker),
                unpacker.readBoolean("route.belowOnly"));
    }

    private static List<WeightedService> unpackSplit(BoundedUnpacker unpacker)
            throws MalformedConfigurationException {
        int size = unpacker.readArray("route.split", 0, ConfigurationLimits.SPLIT_PARTS * 2);
        if (size % 2 != 0) {
            throw unpacker.malformed(
                    "route.split", size + " elements", "services, each with one weight");
        }
        List<WeightedService> split = new ArrayList<>();
        for (int index = 0; index < size / 2; index++) {
            split.add(
                    new WeightedService(
                            readName(unpacker, "route.split.service"),
                            unpacker.readInt(
                                    "route.split.weight", 0, ConfigurationLimits.SPLIT_WEIGHT)));
        }
        return split;
    }

    private static Map<String, String> unpackHeaders(BoundedUnpacker unpacker)
            throws MalformedConfigurationException {
        int size =
                unpacker.readArray("route.headers", 0, ConfigurationLimits.HEADERS_PER_ROUTE * 2);
        Map<String, String> headers = new HashMap<>();
        for (int index = 0; index < size / 2; index++) {
            String name = readName(unpacker, "route.headers.name");
            headers.put(
                    name,
                    unpacker.readString(
                            "route.headers.value", ConfigurationLimits.HEADER_VALUE_CHARACTERS));
        }
        if (headers.size() * 2 != size) {
            throw unpacker.malformed(
                    "route.headers", size + " elements", "distinct names, each with one value");
        }
        return headers;
    }

    static void pack(MessagePacker packer, TenantDefinition tenant) throws IOException {
        packer.packArrayHeader(TENANT_FIELDS).packString(tenant.name()).packInt(tenant.weight());
    }

    static TenantDefinition unpackTenant(BoundedUnpacker unpacker)
            throws MalformedConfigurationException {
        unpacker.readArray("tenant", TENANT_FIELDS, TENANT_FIELDS);
        return new TenantDefinition(
                readName(unpacker, "tenant.name"),
                unpacker.readInt("tenant.weight", 1, ConfigurationLimits.TENANT_WEIGHT));
    }

    static String readName(BoundedUnpacker unpacker, String field)
            throws MalformedConfigurationException {
        return unpacker.readString(field, ConfigurationLimits.NAME_CHARACTERS);
    }
}
