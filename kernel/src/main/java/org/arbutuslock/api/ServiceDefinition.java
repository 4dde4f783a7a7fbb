package org.arbutuslock.api;

/**
 * Configuration of one service.
 *
 * @param name unique name: letters, digits and hyphens, 1 to 63 characters
 * @param floor minimum number of healthy endpoints that ejections must leave in service
 * @param expectedEndpoints number of endpoints that the service normally has, or {@link
 *     #USE_KNOWN_ENDPOINTS}
 * @param slotsPerEndpoint number of requests that one endpoint processes concurrently, at least 1
 * @param retryPercent limit on retries as a share of first attempts, in percent, 0 to 100
 */
public record ServiceDefinition(
        String name, Floor floor, int expectedEndpoints, int slotsPerEndpoint, int retryPercent) {
    /** Computes the floor from the number of endpoints that are known to be alive. */
    public static final int USE_KNOWN_ENDPOINTS = 0;

    /**
     * Returns the floor for the configured number of endpoints.
     *
     * @return number of endpoints that must stay in service
     */
    public int requiredEndpoints() {
        return floor.requiredEndpoints(expectedEndpoints);
    }

    /**
     * Returns the floor for the configured number of endpoints, or for the number of known ones
     * when {@link #USE_KNOWN_ENDPOINTS} is configured.
     *
     * @param knownEndpoints number of endpoints of the service that are known
     * @return number of endpoints that must stay in service
     */
    public int requiredEndpoints(int knownEndpoints) {
        return floor.requiredEndpoints(
                expectedEndpoints == USE_KNOWN_ENDPOINTS ? knownEndpoints : expectedEndpoints);
    }
}
