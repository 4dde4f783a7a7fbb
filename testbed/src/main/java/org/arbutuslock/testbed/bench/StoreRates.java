package org.arbutuslock.testbed.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import org.arbutuslock.platform.v1.CallCounts;
import org.arbutuslock.testbed.store.StoreServer;

/** Call rates of the test store during one phase: the mean, and the peak between two samples. */
final class StoreRates {
    private static final double NANOS_PER_SECOND = 1e9;

    private final StoreServer mStore;
    private final long mStartNanos = System.nanoTime();
    private final CallCounts mStart;
    private CallCounts mLast;
    private long mLastNanos = mStartNanos;
    private double mPeakReads;
    private double mPeakWrites;

    StoreRates(StoreServer store) {
        mStore = store;
        mStart = store.callCounts();
        mLast = mStart;
    }

    /** Adds up reads, lists and opened watches. Lease calls count as writes of the store. */
    private static long reads(CallCounts counts) {
        return counts.getReads() + counts.getLists() + counts.getWatches();
    }

    private static long writes(CallCounts counts) {
        return counts.getWrites() + counts.getLeaseCalls();
    }

    void sample() {
        CallCounts counts = mStore.callCounts();
        long now = System.nanoTime();
        double seconds = (now - mLastNanos) / NANOS_PER_SECOND;
        mPeakReads = Math.max(mPeakReads, (reads(counts) - reads(mLast)) / seconds);
        mPeakWrites = Math.max(mPeakWrites, (writes(counts) - writes(mLast)) / seconds);
        mLast = counts;
        mLastNanos = now;
    }

    Map<String, Object> figures(int nodes, int zones) {
        double seconds = (mLastNanos - mStartNanos) / NANOS_PER_SECOND;
        double reads = (reads(mLast) - reads(mStart)) / seconds;
        double writes = (writes(mLast) - writes(mStart)) / seconds;
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("seconds", round(seconds));
        figures.put("readsPerSecond", round(reads));
        figures.put("writesPerSecond", round(writes));
        figures.put("callsPerSecondPerNode", round((reads + writes) / nodes));
        figures.put("peakReadsPerSecond", round(mPeakReads));
        figures.put("peakWritesPerSecond", round(mPeakWrites));
        figures.put("openWatches", mLast.getOpenWatches());
        double factor = (double) SpreadBench.DESIGN_ZONES / zones;
        figures.put("readsPerSecondAtDesignSize", round(reads * factor));
        figures.put("writesPerSecondAtDesignSize", round(writes * factor));
        figures.put("peakReadsAtDesignSize", round(mPeakReads * factor));
        figures.put("peakWritesAtDesignSize", round(mPeakWrites * factor));
        return figures;
    }

    static double round(double value) {
        return Math.round(value * 1000) / 1000.0;
    }
}
