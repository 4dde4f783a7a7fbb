package org.arbutuslock.testbed.bench;

/**
 * One cell of the detection benchmark.
 *
 * @param fault fault of one server, or {@link Fault#NONE} when false ejections are counted
 * @param noise disturbance of the healthy servers
 * @param servers servers in the group
 * @param slots requests that one server executes at the same time
 * @param requestsPerSecond mean load of one server
 * @param seconds simulated length of one run
 */
public record DetectionCase(
        Fault fault, Noise noise, int servers, int slots, double requestsPerSecond, int seconds) {
    /** Simulated seconds before a fault begins, in which detectors collect normal samples. */
    public static final int WARM_UP_SECONDS = 40;

    /** Faults of one server, as defined in section 1.6 of the design document. */
    public enum Fault {
        /** All servers are healthy. */
        NONE,
        /** Service times are five times as long. */
        SLOW,
        /** 30% of the responses are wrong. */
        WRONG,
        /** 20% of the requests never end. */
        HANGING,
        /** 30% of the responses are truncated. */
        TRUNCATING,
        /**
         * 30% of the responses to requests are wrong, but probes get fast and correct responses.
         */
        MISREPORTING
    }

    /** Conditions under which no server may be ejected. */
    public enum Noise {
        /** Log-normal service times, 0.3% errors. */
        PLAIN,
        /** Service times with a 99th percentile of 20 times the median. */
        HEAVY_TAIL,
        /** One request in ten takes 20 times as long. */
        MIXED,
        /**
         * The load rises tenfold within a second, beyond the capacity of the server, and falls
         * again.
         */
        SWING,
        /** All servers of the group are five times as slow for several seconds. */
        SHARED_SLOWNESS,
        /** Half of all requests to the group fail for several seconds. */
        SHARED_ERRORS,
        /** Each server pauses for 0.2 to 1.5 s, twice a minute. */
        PAUSES,
        /** 2% of all requests fail. */
        ERRORS,
        /** One request in 5,000 never ends. */
        STUCK,
        /** One entry node reports all its responses as truncated. */
        ENTRY_NODE
    }

    /**
     * Names this cell.
     *
     * @return fault or noise, number of servers, slots and requests per second
     */
    public String name() {
        String what = fault == Fault.NONE ? "noise " + noise : "fault " + fault;
        return what + ", " + servers + " servers, " + slots + " slots, " + requestsPerSecond + "/s";
    }
}
