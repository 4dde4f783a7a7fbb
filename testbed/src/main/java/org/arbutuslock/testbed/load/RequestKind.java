package org.arbutuslock.testbed.load;

import java.util.Map;

/**
 * One kind of request in a load.
 *
 * <pre>{@code
 * RequestKind lookup = RequestKind.get("lookup", "/price", 0.95);
 * }</pre>
 *
 * @param name name in the report
 * @param method HTTP method
 * @param path path, to which a query with a sequence number is added
 * @param body body of each request
 * @param headers further headers, for example {@link #TENANT_HEADER}
 * @param share weight among the kinds of a plan
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

    /** Checks the values that the command line can set. */
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
     * @param path path
     * @param share weight among the kinds of a plan
     * @return a kind with method GET
     */
    public static RequestKind get(String name, String path, double share) {
        return new RequestKind(name, "GET", path, new byte[0], Map.of(), share);
    }

    /** Path with the query that makes a request and its echo unique. */
    String uri(long sequence) {
        return path + (path.indexOf('?') < 0 ? "?" : "&") + "sequence=" + sequence;
    }
}
