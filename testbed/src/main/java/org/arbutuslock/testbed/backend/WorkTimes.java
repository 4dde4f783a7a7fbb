package org.arbutuslock.testbed.backend;

/**
 * How long a backend server works on a request.
 *
 * @param shortMillis time of short work, and time before the first byte of long work
 * @param longBodyBytes size of the body of long work
 * @param longBytesPerSecond pace at which long work sends its body
 * @param coldStartMillis time after the start during which work is slower; 0 for none
 * @param coldStartFactor factor on all times at the start, which falls linearly to 1
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
     * @param shortMillis time of short work
     * @param longBodyBytes size of the body of long work
     * @param longBytesPerSecond pace of long work
     * @return times
     */
    public static WorkTimes of(double shortMillis, int longBodyBytes, int longBytesPerSecond) {
        return new WorkTimes(shortMillis, longBodyBytes, longBytesPerSecond, 0, 1);
    }
}
