package org.arbutuslock.testbed.load;

import java.time.Duration;

/**
 * A period of a load plan with a constant arrival rate.
 *
 * @param requestsPerSecond arrivals per second of all kinds of request together
 * @param duration length of the step
 */
public record LoadStep(double requestsPerSecond, Duration duration) {}
