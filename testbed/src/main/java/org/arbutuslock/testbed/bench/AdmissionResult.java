package org.arbutuslock.testbed.bench;

import java.util.List;

/**
 * Figures of one run of the admission simulation.
 *
 * @param policy {@code controlled} or {@code first-in-first-out}
 * @param slots requests that the backend server executes at the same time
 * @param seed seed of the run
 * @param workAtTwice work completed before its deadline when the offered load is twice the
 *     capacity, as a share of the capacity
 * @param workAtFourTimes work completed before its deadline when the offered load is four times the
 *     capacity, as a share of the capacity
 * @param refusalMaximumMillis longest time from the arrival of a request to its refusal
 * @param recoveryMillis time from the drop of the load until two windows in a row have no late
 *     responses, no more refusals than before the overload and at most twice its latency; -1 when
 *     the run ended first
 * @param shortAloneMillis 99th percentile latency of short work without downloads
 * @param shortBesideDownloadsMillis 99th percentile latency of short work while downloads wait for
 *     every slot
 */
record AdmissionResult(
        String policy,
        int slots,
        long seed,
        double workAtTwice,
        double workAtFourTimes,
        double refusalMaximumMillis,
        long recoveryMillis,
        double shortAloneMillis,
        double shortBesideDownloadsMillis) {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double PERCENTILE = 99;
    private static final long PHASE_NANOS = 8_000_000_000L;
    private static final long DOWNLOADS_NANOS = 120_000_000_000L;
    private static final double LONG_SHARE = 0.25;
    private static final double LOW_LOAD = 0.5;
    private static final double SHORT_LOAD = 0.1;

    private static final double MINIMUM_WORK_SHARE = 0.9;
    private static final double MAXIMUM_REFUSAL_MILLIS = 50;
    private static final long MAXIMUM_RECOVERY_MILLIS = 2_000;
    private static final double MAXIMUM_SHORT_RATIO = 2;

    static AdmissionResult measure(long seed, int slots, boolean controlled) {
        AdmissionScenario scenario = new AdmissionScenario(seed, slots, controlled);
        scenario.runLoad(LOW_LOAD, LONG_SHARE, PHASE_NANOS);
        long lowStart = scenario.now() / 2;
        List<AdmissionScenario.Window> low =
                List.copyOf(scenario.windows(lowStart, scenario.now()));
        scenario.runLoad(1, LONG_SHARE, PHASE_NANOS);
        double twice = runOverload(scenario, 2, slots);
        double fourTimes = runOverload(scenario, 4, slots);
        long drop = scenario.now();
        scenario.runLoad(LOW_LOAD, LONG_SHARE, PHASE_NANOS);
        long recovery = findRecovery(low, scenario.windows(drop, scenario.now()));
        return new AdmissionResult(
                controlled ? "controlled" : "first-in-first-out",
                slots,
                seed,
                twice,
                fourTimes,
                scenario.refusalLatency().getMaxValue() / NANOS_PER_MILLI,
                recovery,
                measureShort(seed, slots, controlled, 0),
                measureShort(seed, slots, controlled, 2 * slots));
    }

    private static double runOverload(AdmissionScenario scenario, int load, int slots) {
        long start = scenario.now();
        scenario.runLoad(load, LONG_SHARE, PHASE_NANOS);
        double work = 0;
        for (AdmissionScenario.Window window : scenario.windows(start, scenario.now())) {
            work += window.mWorkInDeadlineNanos;
        }
        return work / ((double) slots * PHASE_NANOS);
    }

    private static long findRecovery(
            List<AdmissionScenario.Window> before, List<AdmissionScenario.Window> after) {
        int usualRefusals = before.stream().mapToInt(window -> window.mRefused).max().orElse(0);
        double usualLatency = meanLatency(before);
        for (int index = 0; index + 1 < after.size(); index++) {
            if (isUsual(after.get(index), usualRefusals, usualLatency)
                    && isUsual(after.get(index + 1), usualRefusals, usualLatency)) {
                return (long) index * AdmissionScenario.WINDOW_MILLIS;
            }
        }
        return -1;
    }

    private static boolean isUsual(
            AdmissionScenario.Window window, int usualRefusals, double usualLatency) {
        return window.mRefused <= usualRefusals
                && window.mLate == 0
                && meanLatency(List.of(window)) <= 2 * usualLatency;
    }

    private static double meanLatency(List<AdmissionScenario.Window> windows) {
        long total = windows.stream().mapToLong(window -> window.mShortLatencyNanos).sum();
        int count = windows.stream().mapToInt(window -> window.mShortCompleted).sum();
        return (double) total / Math.max(1, count);
    }

    private static double measureShort(long seed, int slots, boolean controlled, int downloads) {
        AdmissionScenario scenario = new AdmissionScenario(seed, slots, controlled);
        scenario.runLoad(SHORT_LOAD, 0, PHASE_NANOS);
        scenario.holdDownloads(downloads);
        scenario.runLoad(SHORT_LOAD, 0, (long) NANOS_PER_SECOND);
        scenario.resetHistograms();
        scenario.runLoad(SHORT_LOAD, 0, DOWNLOADS_NANOS);
        return scenario.shortLatency().getValueAtPercentile(PERCENTILE) / NANOS_PER_MILLI;
    }

    double shortRatio() {
        return shortBesideDownloadsMillis / shortAloneMillis;
    }

    boolean meetsBounds() {
        return workAtTwice >= MINIMUM_WORK_SHARE
                && workAtFourTimes >= MINIMUM_WORK_SHARE
                && refusalMaximumMillis <= MAXIMUM_REFUSAL_MILLIS
                && recoveryMillis >= 0
                && recoveryMillis <= MAXIMUM_RECOVERY_MILLIS
                && shortRatio() <= MAXIMUM_SHORT_RATIO;
    }

    /** Adds one row for each figure that has a bound. */
    void addTo(BenchReport report) {
        String name = slots + " slots, seed " + seed + ": ";
        report.atLeast(name + "work in time at 2x", workAtTwice, MINIMUM_WORK_SHARE, "of capacity");
        report.atLeast(
                name + "work in time at 4x", workAtFourTimes, MINIMUM_WORK_SHARE, "of capacity");
        report.atMost(name + "latest refusal", refusalMaximumMillis, MAXIMUM_REFUSAL_MILLIS, "ms");
        // A run without recovery must miss the bound, which -1 would meet.
        double recovery = recoveryMillis < 0 ? Double.POSITIVE_INFINITY : recoveryMillis;
        report.atMost(name + "recovery", recovery, MAXIMUM_RECOVERY_MILLIS, "ms");
        report.atMost(
                name + "short p99 beside downloads", shortRatio(), MAXIMUM_SHORT_RATIO, "x alone");
    }

    String describe() {
        return String.format(
                "%-18s slots=%d seed=%d work at 2x=%.1f%% 4x=%.1f%% refusal max=%.1f ms"
                        + " recovery=%d ms short p99 alone=%.1f ms beside downloads=%.1f ms"
                        + " (%.2fx) bounds=%s",
                policy,
                slots,
                seed,
                100 * workAtTwice,
                100 * workAtFourTimes,
                refusalMaximumMillis,
                recoveryMillis,
                shortAloneMillis,
                shortBesideDownloadsMillis,
                shortRatio(),
                meetsBounds() ? "met" : "MISSED");
    }
}
