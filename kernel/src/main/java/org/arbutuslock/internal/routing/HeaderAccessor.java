package org.arbutuslock.internal.routing;

/** Reads header values of a request without copying them. */
@FunctionalInterface
public interface HeaderAccessor {
    /** A request without headers. */
    HeaderAccessor NONE = name -> null;

    /**
     * Returns the first value of a header.
     *
     * @param name header name in lower case; the accessor ignores the case of the request's names
     * @return the value, or null when the request lacks the header
     */
    String firstValue(String name);
}
