package org.arbutuslock.testbed.backend;

/**
 * Service times of a simulated backend server.
 *
 * @param shortMillis milliseconds before the response, of short and of long work
 * @param longBodyBytes minimum size of the response body of long work
 * @param longBytesPerSecond rate at which long work sends its response body
 * @param coldStartMillis milliseconds after the start during which work is slower; 0 for none
 * @param coldStartFactor factor on all service times at the start, which falls linearly to 1
 */
public record WorkTimes(
        double shortMillis,
        int longBodyBytes,
        int longBytesPerSecond,
        long coldStartMillis,
        double coldStartFactor) {
    /**
     * Returns times without a cold start.
     *
     * @param shortMillis milliseconds before the response, of short and of long work
     * @param longBodyBytes minimum size of the response body of long work
     * @param longBytesPerSecond rate at which long work sends its response body
     * @return service times with a constant factor of 1
     */
    public static WorkTimes of(double shortMillis, int longBodyBytes, int longBytesPerSecond) {
        return new WorkTimes(shortMillis, longBodyBytes, longBytesPerSecond, 0, 1);
    }
}
