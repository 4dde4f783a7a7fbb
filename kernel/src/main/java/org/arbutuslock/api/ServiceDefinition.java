package org.arbutuslock.api;

/**
 * Configuration of one service.
 *
 * @param name unique name: letters, digits and hyphens, 1 to 63 characters
 * @param floor smallest healthy capacity that ejections must leave
 * @param expectedEndpoints number of endpoints that the service normally has, or {@link
 *     #USE_KNOWN_ENDPOINTS}
 * @param slotsPerEndpoint requests that one endpoint works on at once, at least 1
 * @param retryPercent retries allowed as a share of first attempts in percent, 0 to 100
 */
public record ServiceDefinition(
        String name, Floor floor, int expectedEndpoints, int slotsPerEndpoint, int retryPercent) {
    /** The floor follows the number of endpoints that are known to be alive. */
    public static final int USE_KNOWN_ENDPOINTS = 0;

    /**
     * Returns the floor as a number of endpoints.
     *
     * @return endpoints that must stay in service
     */
    public int requiredEndpoints() {
        return floor.requiredEndpoints(expectedEndpoints);
    }

    /**
     * Returns the floor as a number of endpoints.
     *
     * @param knownEndpoints endpoints of the service that are known
     * @return endpoints that must stay in service
     */
    public int requiredEndpoints(int knownEndpoints) {
        return floor.requiredEndpoints(
                expectedEndpoints == USE_KNOWN_ENDPOINTS ? knownEndpoints : expectedEndpoints);
    }
}
