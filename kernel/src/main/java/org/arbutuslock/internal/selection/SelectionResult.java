package org.arbutuslock.internal.selection;

/** Outcome of {@link EndpointSelector#select}. */
public sealed interface SelectionResult {
    /**
     * The request should be sent to this endpoint.
     *
     * @param candidate selected endpoint
     */
    record Chosen(Candidate candidate) implements SelectionResult {}

    /**
     * No endpoint can get the request.
     *
     * @param reason reason why there is none
     */
    record NoneAvailable(Reason reason) implements SelectionResult {}

    /** Why no endpoint was chosen. */
    enum Reason {
        /** The service has no known endpoint. */
        NO_ENDPOINTS,
        /** Every endpoint is draining, ejected, unreachable or of weight 0. */
        NONE_IN_SERVICE,
        /** Every endpoint in service is excluded. */
        ALL_EXCLUDED,
        /**
         * Only endpoints in other regions remain, and the byte budget for other regions is used up.
         */
        REGION_LINK_BUDGET
    }
}
