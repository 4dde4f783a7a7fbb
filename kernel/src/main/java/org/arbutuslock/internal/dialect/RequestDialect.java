package org.arbutuslock.internal.dialect;

import java.util.List;
import java.util.OptionalLong;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.routing.HeaderAccessor;

/**
 * Translates between header fields and what decisions need. Implementations hold names only.
 *
 * <pre>{@code
 * OptionalLong patience = dialect.callerDeadlineMillis(headers::get);
 * }</pre>
 */
public interface RequestDialect {
    /**
     * Reads the name under which a caller finds its request in logs.
     *
     * @param headers header fields of the request
     * @return the name, or empty when the caller gave none
     */
    String requestName(HeaderAccessor headers);

    /**
     * Reads the name of a request from a list of fields.
     *
     * @param headers header fields of the request
     * @return the name, or empty when the caller gave none
     */
    default String requestName(List<HeaderField> headers) {
        return requestName(name -> HeaderField.find(headers, name));
    }

    /**
     * Reads how long the caller waits.
     *
     * @param headers header fields of the request
     * @return milliseconds from the arrival of the request, or empty when the caller does not say
     */
    OptionalLong callerTimeoutMillis(HeaderAccessor headers);

    /**
     * Prepares the header fields of a caller's request for the home node.
     *
     * @param received header fields without those of the connection
     * @return fields to forward
     */
    List<HeaderField> forwardedHeaders(List<HeaderField> received);

    /**
     * Names the fields that replace those of the same name on the way to a backend server.
     *
     * @param id id of the request
     * @param backendServer name of the backend server that shall execute it
     * @param remainingMillis time that is left, in milliseconds
     * @return fields to set
     */
    List<HeaderField> backendHeaders(RequestId id, String backendServer, long remainingMillis);

    /**
     * Tells whether a caller's request without its identity may be repeated as a probe.
     *
     * @return false when a backend server refuses requests without identity
     */
    boolean mayRepeatAsProbe();

    /**
     * Judges the head of a response.
     *
     * @param request header fields that were sent
     * @param status HTTP status code of the response
     * @param response header fields of the response
     * @return what the response says about the request
     */
    ResponseKind classifyResponse(List<HeaderField> request, int status, HeaderAccessor response);
}
