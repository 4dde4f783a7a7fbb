package org.arbutuslock.testbed.bench;

import org.arbutuslock.internal.detection.Outcome;
import org.arbutuslock.internal.detection.TrafficClass;

/**
 * Baseline for the health detector: ejects a server when its mean latency over the last 10 s is
 * above three times the average mean latency of the other servers of its group. Servers with fewer
 * than 5 samples count as 0.
 */
final class LatencyOutlierRule {
    private static final int PERIOD_SECONDS = 10;
    private static final int MINIMUM_SAMPLES = 5;
    private static final double FACTOR = 3;

    private final double[][] mSum;
    private final int[][] mCount;
    private int mSecond;

    LatencyOutlierRule(int servers) {
        mSum = new double[servers][PERIOD_SECONDS];
        mCount = new int[servers][PERIOD_SECONDS];
    }

    void observe(int server, TrafficClass trafficClass, long latencyNanos, Outcome outcome) {
        if (trafficClass != TrafficClass.PROBE
                && (outcome == Outcome.OK || outcome == Outcome.LATE)) {
            mSum[server][mSecond] += latencyNanos;
            mCount[server][mSecond]++;
        }
    }

    /** Ends a second and returns which servers are ejected. Their samples are discarded. */
    boolean[] endSecond() {
        double[] mean = new double[mSum.length];
        double total = 0;
        for (int server = 0; server < mean.length; server++) {
            mean[server] = mean(server);
            total += mean[server];
        }
        boolean[] ejected = new boolean[mean.length];
        for (int server = 0; server < mean.length; server++) {
            double others = (total - mean[server]) / (mean.length - 1);
            ejected[server] = others > 0 && mean[server] > FACTOR * others;
        }
        mSecond = (mSecond + 1) % PERIOD_SECONDS;
        for (int server = 0; server < mean.length; server++) {
            clear(server, ejected[server]);
        }
        return ejected;
    }

    private void clear(int server, boolean everything) {
        for (int second = 0; second < PERIOD_SECONDS; second++) {
            if (everything || second == mSecond) {
                mSum[server][second] = 0;
                mCount[server][second] = 0;
            }
        }
    }

    private double mean(int server) {
        double sum = 0;
        int count = 0;
        for (int second = 0; second < PERIOD_SECONDS; second++) {
            sum += mSum[server][second];
            count += mCount[server][second];
        }
        return count < MINIMUM_SAMPLES ? 0 : sum / count;
    }
}
