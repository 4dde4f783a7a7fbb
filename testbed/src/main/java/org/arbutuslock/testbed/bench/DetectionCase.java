package org.arbutuslock.testbed.bench;

/**
 * One cell of the detection benchmark.
 *
 * @param fault what one server suffers from, or {@link Fault#NONE} when false ejections are counted
 * @param noise what healthy servers are exposed to
 * @param servers servers in the group
 * @param slots requests that one server works on at once
 * @param requestsPerSecond mean load of one server
 * @param seconds length of one run
 */
public record DetectionCase(
        Fault fault, Noise noise, int servers, int slots, double requestsPerSecond, int seconds) {
    /** Seconds before a fault begins, so that all detectors have a history. */
    public static final int WARM_UP_SECONDS = 40;

    /** Faults of one server, as in section 1.6 of the design page. */
    public enum Fault {
        /** All servers are healthy. */
        NONE,
        /** Five times slower. */
        SLOW,
        /** 30% of the responses are wrong. */
        WRONG,
        /** 20% of the requests never end. */
        HANGING,
        /** 30% of the responses end early. */
        TRUNCATING,
        /** 30% of the responses are wrong, but probes get fast and right ones. */
        MISREPORTING
    }

    /** Conditions under which no server may be ejected. */
    public enum Noise {
        /** Log-normal service times, 0.3% errors. */
        PLAIN,
        /** Service times with a 99th percentile of 20 times the median. */
        HEAVY_TAIL,
        /** One request in ten is 20 times longer. */
        MIXED,
        /** Load that changes tenfold within a second, past the capacity of the server. */
        SWING,
        /** The whole group is five times slower for seconds. */
        SHARED_SLOWNESS,
        /** Half of all requests of the whole group fail for seconds. */
        SHARED_ERRORS,
        /** Each server pauses for 0.2 to 1.5 s, twice a minute. */
        PAUSES,
        /** 2% of all requests fail. */
        ERRORS,
        /** One request in 5,000 hangs. */
        STUCK,
        /** One entry node reports all its responses as truncated. */
        ENTRY_NODE
    }

    /**
     * Names this cell.
     *
     * @return fault or noise, group, load
     */
    public String name() {
        String what = fault == Fault.NONE ? "noise " + noise : "fault " + fault;
        return what + ", " + servers + " servers, " + slots + " slots, " + requestsPerSecond + "/s";
    }
}
