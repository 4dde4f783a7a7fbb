package org.arbutuslock.api;

/**
 * Minimum number of healthy endpoints that ejections must leave in a service.
 *
 * <pre>{@code
 * int required = new Floor.Share(75).requiredEndpoints(8); // 6
 * }</pre>
 */
public sealed interface Floor {
    /**
     * Returns the floor as a number of endpoints.
     *
     * @param expectedEndpoints number of endpoints that the service is configured to have
     * @return number of endpoints that must stay in service
     */
    int requiredEndpoints(int expectedEndpoints);

    /**
     * A fixed number of endpoints.
     *
     * @param endpoints number of endpoints, at least 0
     */
    record Count(int endpoints) implements Floor {
        @Override
        public int requiredEndpoints(int expectedEndpoints) {
            return endpoints;
        }
    }

    /**
     * A share of the expected endpoints, rounded up.
     *
     * @param percent share in percent, 0 to 100
     */
    record Share(int percent) implements Floor {
        private static final int WHOLE_PERCENT = 100;

        @Override
        public int requiredEndpoints(int expectedEndpoints) {
            return Math.ceilDiv(expectedEndpoints * percent, WHOLE_PERCENT);
        }
    }
}
