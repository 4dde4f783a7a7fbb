package org.arbutuslock.internal.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.arbutuslock.api.Clock;

/**
 * Latency of each route at one backend server, from the requests of that route alone. A route whose
 * requests are refused yields no samples, so a trial request is due when its last request ended
 * long ago and when there is none.
 */
final class RouteLatencies {
    private static final double SAMPLE_WEIGHT = 0.125;
    // A backend server that has restarted is slow for a few seconds. A longer interval would keep
    // its first latencies in force after that.
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private static final class Route {
        private double mLatencyNanos;
        private int mSamples;
        private boolean mEnded;
        private long mLastEndNanos;
        private int mTrials;

        private void add(long latencyNanos) {
            mSamples++;
            double weight = Math.max(SAMPLE_WEIGHT, 1.0 / mSamples);
            mLatencyNanos += weight * (latencyNanos - mLatencyNanos);
        }
    }

    private final Clock mClock;
    private final RecentRoutes<Route> mRoutes = new RecentRoutes<>(Route::new);

    RouteLatencies(Clock clock) {
        mClock = clock;
    }

    /** Discards all samples, because the backend server was restarted. */
    void clear() {
        mRoutes.clear();
    }

    /** Returns the average time from dispatch to completion, or empty without a sample. */
    OptionalDouble latencyNanos(String route) {
        Optional<Route> known = mRoutes.find(route).filter(found -> found.mSamples > 0);
        return known.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(known.get().mLatencyNanos);
    }

    /** Returns the lowest average of all routes with a recent sample, or 0 if there is none. */
    double lowestNanos() {
        return mRoutes.values().stream()
                .filter(route -> route.mSamples > 0 && isRecent(route))
                .mapToDouble(route -> route.mLatencyNanos)
                .min()
                .orElse(0);
    }

    private boolean isRecent(Route route) {
        return route.mEnded && mClock.nanoTime() - route.mLastEndNanos < TRIAL_INTERVAL_NANOS;
    }

    /** Records the latency of a request that got a response. */
    void record(String route, long latencyNanos) {
        recordEnd(route).add(latencyNanos);
    }

    /** Replaces what is known about a route by the latency of a trial that got a response. */
    void recordTrial(String route, long latencyNanos) {
        Route known = recordEnd(route);
        known.mSamples = 0;
        known.add(latencyNanos);
    }

    /** Records that a request got no response, so that the next trial is not due at once. */
    void recordFailure(String route) {
        recordEnd(route);
    }

    private Route recordEnd(String route) {
        Route known = mRoutes.findOrAdd(route);
        known.mEnded = true;
        known.mLastEndNanos = mClock.nanoTime();
        return known;
    }

    /** Returns whether one request may be admitted to measure the latency of its route. */
    boolean isTrialDue(String route) {
        return mRoutes.find(route)
                .map(known -> known.mTrials == 0 && !isRecent(known))
                .orElse(true);
    }

    /** Counts a trial request until it has ended. */
    void startTrial(String route) {
        mRoutes.findOrAdd(route).mTrials++;
    }

    void endTrial(String route) {
        mRoutes.find(route).filter(known -> known.mTrials > 0).ifPresent(known -> known.mTrials--);
    }
}
