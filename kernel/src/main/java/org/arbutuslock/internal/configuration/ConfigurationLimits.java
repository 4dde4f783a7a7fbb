package org.arbutuslock.internal.configuration;

import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.internal.routing.RouteTable;

/** Upper limits of configurations and their encoded forms. */
public final class ConfigurationLimits {
    /** Characters of the name of a service, route or tenant. */
    public static final int NAME_CHARACTERS = 63;

    /** Characters of an author's name. */
    public static final int AUTHOR_CHARACTERS = 128;

    /** Characters of a change id as an operator writes it. */
    public static final int CHANGE_ID_CHARACTERS = 64;

    /** Characters of a host name, as DNS allows. */
    public static final int HOST_CHARACTERS = 253;

    /** Characters of a request method. */
    public static final int METHOD_CHARACTERS = 20;

    /** Characters of a route's path. */
    public static final int PATH_CHARACTERS = RouteTable.MAXIMUM_PATH_CHARACTERS;

    /** Segments of a route's path. */
    public static final int PATH_SEGMENTS = RouteTable.MAXIMUM_SEGMENTS;

    /** Headers that a route can require. */
    public static final int HEADERS_PER_ROUTE = 8;

    /** Characters of a required header value. */
    public static final int HEADER_VALUE_CHARACTERS = 256;

    /** Routes with the same host and path; matching a request searches them one by one. */
    public static final int ROUTES_PER_LOCATION = 32;

    /** Endpoints that a service can expect. */
    public static final int ENDPOINTS_PER_SERVICE = 100_000;

    /** Slots that an endpoint can have. */
    public static final int SLOTS_PER_ENDPOINT = 100_000;

    /** Longest deadline of a route in milliseconds. */
    public static final int DEADLINE_MILLIS = 3_600_000;

    /** Highest priority of a route. */
    public static final int PRIORITY = 9;

    /** Endpoints to which one request can be sent. */
    public static final int ATTEMPTS = 16;

    /** Services that share the requests of a route. */
    public static final int SPLIT_PARTS = 32;

    /** Largest weight of a service in a split. */
    public static final int SPLIT_WEIGHT = 10_000;

    /** Largest weight of a tenant. */
    public static final int TENANT_WEIGHT = 100;

    /** Largest share in percent. */
    public static final int WHOLE_PERCENT = 100;

    /** Services of a configuration, about twice the design size. */
    public static final int SERVICES = 12_000;

    /** Routes of a configuration, twice the design size. */
    public static final int ROUTES = 140_000;

    /** Tenants of a configuration, twice the design size. */
    public static final int TENANTS = 1_820_000;

    /** Operations of one change. */
    public static final int OPERATIONS_PER_CHANGE = 20_000;

    /**
     * Bytes of an encoded change or snapshot part. Leaves room for the header of a frame, so that
     * the frame stays below 1 MiB.
     */
    public static final int ENCODED_BYTES = PlatformStore.MAXIMUM_VALUE_BYTES - (48 << 10);

    private ConfigurationLimits() {}
}
