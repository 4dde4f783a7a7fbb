package org.arbutuslock.internal.dialect;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.routing.HeaderAccessor;

/**
 * Translates between header fields and the values that nodes use to handle requests.
 * Implementations are stateless.
 *
 * <pre>{@code
 * OptionalLong timeoutMillis = dialect.callerTimeoutMillis(headers::get);
 * }</pre>
 */
public interface RequestDialect {
    /**
     * Reads the name by which a caller finds its request in logs.
     *
     * @param headers header fields of the request
     * @return the name, or an empty string if the caller gave none
     */
    String requestName(HeaderAccessor headers);

    /**
     * Reads the name by which a caller finds its request in logs from a list of header fields.
     *
     * @param headers header fields of the request
     * @return the name, or an empty string if the caller gave none
     */
    default String requestName(List<HeaderField> headers) {
        return requestName(name -> HeaderField.find(headers, name));
    }

    /**
     * Reads how long the caller waits for its response.
     *
     * @param headers header fields of the request
     * @return milliseconds from the arrival of the request, or empty if the caller states no limit
     */
    OptionalLong callerTimeoutMillis(HeaderAccessor headers);

    /**
     * Selects the header fields of a caller's request that are forwarded to the home node.
     *
     * @param received header fields without hop-by-hop fields
     * @return header fields to forward
     */
    List<HeaderField> forwardedHeaders(List<HeaderField> received);

    /**
     * Creates the header fields that the home node sets on a request to a backend server. They
     * replace fields with the same name.
     *
     * @param id id of the request
     * @param backendServer name of the backend server that is to execute the request
     * @param remainingMillis time left until the deadline, in milliseconds
     * @return header fields to set
     */
    List<HeaderField> backendHeaders(RequestId id, String backendServer, long remainingMillis);

    /**
     * Returns whether a health probe may repeat a caller's request without its identity.
     *
     * @return false if backend servers refuse requests without identity
     */
    boolean mayRepeatAsProbe();

    /**
     * Names the field by which backend servers identify the body of a response. Two responses
     * without the same value are different, whatever else they have in common.
     *
     * @return name of the header field in lower case, or empty if there is none
     */
    default Optional<String> sealField() {
        return Optional.empty();
    }

    /**
     * Classifies a response by its head.
     *
     * @param request header fields that were sent to the backend server
     * @param status HTTP status code of the response
     * @param response header fields of the response
     * @param firstOnConnection whether this is the first response on a connection on which only
     *     this request was sent, so that its position shows that it belongs to the request
     * @return which request and server the response belongs to, and whether the request was
     *     executed
     */
    ResponseKind classifyResponse(
            List<HeaderField> request,
            int status,
            HeaderAccessor response,
            boolean firstOnConnection);
}
