package org.arbutuslock.testbed.load;

import java.time.Duration;

/**
 * A time with one arrival rate.
 *
 * @param requestsPerSecond arrivals per second over all kinds
 * @param duration length of the step
 */
public record LoadStep(double requestsPerSecond, Duration duration) {}
