package org.arbutuslock.api;

/**
 * Configuration of one service.
 *
 * @param name unique name: letters, digits and hyphens, 1 to 63 characters
 * @param floor smallest healthy capacity that ejections must leave
 * @param expectedEndpoints number of endpoints that the service normally has, at least 1
 * @param slotsPerEndpoint requests that one endpoint works on at once, at least 1
 * @param retryPercent retries allowed as a share of first attempts in percent, 0 to 100
 */
public record ServiceDefinition(
        String name, Floor floor, int expectedEndpoints, int slotsPerEndpoint, int retryPercent) {
    /**
     * Returns the floor as a number of endpoints.
     *
     * @return endpoints that must stay in service
     */
    public int requiredEndpoints() {
        return floor.requiredEndpoints(expectedEndpoints);
    }
}
