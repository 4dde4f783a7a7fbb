package org.arbutuslock.testbed.backend;

/**
 * Faults that a backend server simulates, read and written as JSON by {@link BackendControl}. At
 * most one of the four random faults (error, wrong body, hang, truncate) applies to a request.
 *
 * <pre>{@code
 * server.setFaults(BackendFaults.none().withSlowFactor(5));
 * }</pre>
 *
 * @param slowFactor factor on all service times, 1 to 10,000; 1 for normal speed
 * @param errorShare share of requests that get status 500, 0 to 1
 * @param wrongBodyShare share of requests that get status 200 and the body of another request, 0 to
 *     1
 * @param hangShare share of requests that occupy a slot and get no response, 0 to 1
 * @param truncateShare share of requests whose connection closes after half of the body, 0 to 1
 * @param flapMillis milliseconds for which all faults are alternately on and off; 0 for always on
 */
public record BackendFaults(
        double slowFactor,
        double errorShare,
        double wrongBodyShare,
        double hangShare,
        double truncateShare,
        long flapMillis) {
    private static final double MAXIMUM_SLOW_FACTOR = 10_000;

    /**
     * Replaces a slow factor of 0, which JSON without this field yields, with 1.
     *
     * @throws IllegalArgumentException when a value or the sum of the shares is out of range
     */
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
                            + "; each must be at least 0 and their sum at most 1");
        }
        if (flapMillis < 0) {
            throw new IllegalArgumentException(
                    "flapMillis is " + flapMillis + "; it must be 0 or more");
        }
    }

    /** Fault that applies to one request. */
    enum Kind {
        NONE,
        ERROR,
        WRONG_BODY,
        HANG,
        TRUNCATE
    }

    /**
     * Returns settings with all faults off.
     *
     * @return faults with factor 1 and all shares 0
     */
    public static BackendFaults none() {
        return new BackendFaults(1, 0, 0, 0, 0, 0);
    }

    /**
     * Copies these faults with another slow factor.
     *
     * @param factor factor on all service times, 1 to 10,000
     * @return changed copy
     */
    public BackendFaults withSlowFactor(double factor) {
        return new BackendFaults(
                factor, errorShare, wrongBodyShare, hangShare, truncateShare, flapMillis);
    }

    /**
     * Copies these faults with another share of responses with status 500.
     *
     * @param share 0 to 1
     * @return changed copy
     */
    public BackendFaults withErrorShare(double share) {
        return new BackendFaults(
                slowFactor, share, wrongBodyShare, hangShare, truncateShare, flapMillis);
    }

    /**
     * Copies these faults with another share of wrong bodies.
     *
     * @param share 0 to 1
     * @return changed copy
     */
    public BackendFaults withWrongBodyShare(double share) {
        return new BackendFaults(
                slowFactor, errorShare, share, hangShare, truncateShare, flapMillis);
    }

    /**
     * Copies these faults with another share of requests without a response.
     *
     * @param share 0 to 1
     * @return changed copy
     */
    public BackendFaults withHangShare(double share) {
        return new BackendFaults(
                slowFactor, errorShare, wrongBodyShare, share, truncateShare, flapMillis);
    }

    /**
     * Copies these faults with another share of truncated responses.
     *
     * @param share 0 to 1
     * @return changed copy
     */
    public BackendFaults withTruncateShare(double share) {
        return new BackendFaults(
                slowFactor, errorShare, wrongBodyShare, hangShare, share, flapMillis);
    }

    /**
     * Copies these faults with another flapping interval.
     *
     * @param millis milliseconds on and milliseconds off, or 0 for always on
     * @return changed copy
     */
    public BackendFaults withFlapMillis(long millis) {
        return new BackendFaults(
                slowFactor, errorShare, wrongBodyShare, hangShare, truncateShare, millis);
    }

    /** Returns the faults that apply this many milliseconds after these faults were set. */
    BackendFaults activeAfter(long millis) {
        boolean off = flapMillis > 0 && millis / flapMillis % 2 == 1;
        return off ? none() : this;
    }

    /** Selects the fault of one request by a uniformly distributed number from 0 to 1. */
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
