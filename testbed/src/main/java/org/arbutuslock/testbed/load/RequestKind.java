package org.arbutuslock.testbed.load;

import java.util.Map;

/**
 * A kind of request that a load plan contains.
 *
 * <pre>{@code
 * RequestKind lookup = RequestKind.get("lookup", "/price", 0.95);
 * }</pre>
 *
 * @param name name in the report
 * @param method HTTP method, for example GET
 * @param path path that starts with /; a query parameter with the sequence number is appended
 * @param body body of each request
 * @param headers additional headers, for example {@link #TENANT_HEADER}
 * @param share positive weight relative to the other kinds of the plan
 */
public record RequestKind(
        String name,
        String method,
        String path,
        byte[] body,
        Map<String, String> headers,
        double share) {
    /** Header that names the tenant. */
    public static final String TENANT_HEADER = "arbutuslock-tenant";

    /**
     * Creates a kind.
     *
     * @throws IllegalArgumentException if the path does not start with / or the share is not
     *     positive
     */
    public RequestKind {
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException(
                    "path of kind " + name + " is \"" + path + "\"; it must start with /");
        }
        if (!(share > 0)) {
            throw new IllegalArgumentException(
                    "share of kind " + name + " is " + share + "; it must be positive");
        }
        headers = Map.copyOf(headers);
    }

    /**
     * Creates a kind without a body.
     *
     * @param name name in the report
     * @param path path that starts with /
     * @param share positive weight relative to the other kinds of the plan
     * @return a kind with method GET
     */
    public static RequestKind get(String name, String path, double share) {
        return new RequestKind(name, "GET", path, new byte[0], Map.of(), share);
    }

    /**
     * Returns the path with a sequence number in the query, so that each response body is unique.
     */
    String uri(long sequence) {
        return path + (path.indexOf('?') < 0 ? "?" : "&") + "sequence=" + sequence;
    }
}
