package org.arbutuslock.testbed.backend;

/**
 * Faults of a backend server, as its control path reads and writes them in JSON. A request has at
 * most one of the faults that occur by share.
 *
 * <pre>{@code
 * server.setFaults(BackendFaults.none().withSlowFactor(5));
 * }</pre>
 *
 * @param slowFactor factor on all service times, 1 for none
 * @param errorShare share of requests that get status 500
 * @param wrongBodyShare share of requests that get status 200 and the body of another request
 * @param hangShare share of requests that hold a slot and get no response
 * @param truncateShare share of requests whose response ends early
 * @param flapMillis when positive, all faults are on and off in turn for this long each
 */
public record BackendFaults(
        double slowFactor,
        double errorShare,
        double wrongBodyShare,
        double hangShare,
        double truncateShare,
        long flapMillis) {
    private static final double MAXIMUM_SLOW_FACTOR = 10_000;

    /** Replaces a missing factor by 1 and checks the ranges. */
    public BackendFaults {
        slowFactor = slowFactor == 0 ? 1 : slowFactor;
        if (!(slowFactor >= 1 && slowFactor <= MAXIMUM_SLOW_FACTOR)) {
            throw new IllegalArgumentException(
                    "slowFactor is " + slowFactor + "; allowed are 1 to " + MAXIMUM_SLOW_FACTOR);
        }
        if (!(errorShare >= 0 && wrongBodyShare >= 0 && hangShare >= 0 && truncateShare >= 0)
                || errorShare + wrongBodyShare + hangShare + truncateShare > 1) {
            throw new IllegalArgumentException(
                    "shares are error "
                            + errorShare
                            + ", wrongBody "
                            + wrongBodyShare
                            + ", hang "
                            + hangShare
                            + ", truncate "
                            + truncateShare
                            + "; allowed are values from 0 whose sum is at most 1");
        }
        if (flapMillis < 0) {
            throw new IllegalArgumentException(
                    "flapMillis is " + flapMillis + "; allowed are values from 0");
        }
    }

    /** What happens to one request. */
    enum Kind {
        NONE,
        ERROR,
        WRONG_BODY,
        HANG,
        TRUNCATE
    }

    /**
     * Returns the state without faults.
     *
     * @return faults that are all off
     */
    public static BackendFaults none() {
        return new BackendFaults(1, 0, 0, 0, 0, 0);
    }

    /**
     * Changes the factor.
     *
     * @param factor factor on all service times
     * @return changed faults
     */
    public BackendFaults withSlowFactor(double factor) {
        return new BackendFaults(
                factor, errorShare, wrongBodyShare, hangShare, truncateShare, flapMillis);
    }

    /**
     * Changes the share of status 500.
     *
     * @param share 0 to 1
     * @return changed faults
     */
    public BackendFaults withErrorShare(double share) {
        return new BackendFaults(
                slowFactor, share, wrongBodyShare, hangShare, truncateShare, flapMillis);
    }

    /**
     * Changes the share of wrong bodies.
     *
     * @param share 0 to 1
     * @return changed faults
     */
    public BackendFaults withWrongBodyShare(double share) {
        return new BackendFaults(
                slowFactor, errorShare, share, hangShare, truncateShare, flapMillis);
    }

    /**
     * Changes the share of requests without a response.
     *
     * @param share 0 to 1
     * @return changed faults
     */
    public BackendFaults withHangShare(double share) {
        return new BackendFaults(
                slowFactor, errorShare, wrongBodyShare, share, truncateShare, flapMillis);
    }

    /**
     * Changes the share of truncated responses.
     *
     * @param share 0 to 1
     * @return changed faults
     */
    public BackendFaults withTruncateShare(double share) {
        return new BackendFaults(
                slowFactor, errorShare, wrongBodyShare, hangShare, share, flapMillis);
    }

    /**
     * Lets all faults flap.
     *
     * @param millis time on and time off, or 0 for always on
     * @return changed faults
     */
    public BackendFaults withFlapMillis(long millis) {
        return new BackendFaults(
                slowFactor, errorShare, wrongBodyShare, hangShare, truncateShare, millis);
    }

    /** Returns the faults that are on at a time after these faults were set. */
    BackendFaults activeAfter(long millis) {
        boolean off = flapMillis > 0 && millis / flapMillis % 2 == 1;
        return off ? none() : this;
    }

    /** Selects by a uniform number from 0 to 1. */
    Kind select(double draw) {
        double bound = errorShare;
        if (draw < bound) {
            return Kind.ERROR;
        }
        bound += wrongBodyShare;
        if (draw < bound) {
            return Kind.WRONG_BODY;
        }
        bound += hangShare;
        if (draw < bound) {
            return Kind.HANG;
        }
        bound += truncateShare;
        return draw < bound ? Kind.TRUNCATE : Kind.NONE;
    }
}
