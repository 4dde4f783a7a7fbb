package org.arbutuslock.internal.selection;

/** Outcome of {@link EndpointSelector#select}. */
public sealed interface SelectionResult {
    /**
     * Send the request here.
     *
     * @param candidate the endpoint
     */
    record Chosen(Candidate candidate) implements SelectionResult {}

    /**
     * No endpoint can get the request.
     *
     * @param reason why
     */
    record NoneAvailable(Reason reason) implements SelectionResult {}

    /** Why no endpoint was chosen. */
    enum Reason {
        /** The service has no known endpoint. */
        NO_ENDPOINTS,
        /** Every endpoint is draining, ejected, unreachable or of weight 0. */
        NONE_IN_SERVICE,
        /** Every endpoint in service was tried before. */
        ALL_EXCLUDED,
        /** Only other regions remain, and the byte budget towards them is used up. */
        REGION_LINK_BUDGET
    }
}
