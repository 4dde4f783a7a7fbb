package org.arbutuslock.testbed.fault;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Generates an endless, reproducible sequence of faults from a seed. */
final class FaultSchedule {
    private static final int SHORTEST_PAUSE_MILLIS = 50;
    private static final int LONGEST_PAUSE_MILLIS = 500;

    private final SplittableRandom mRandom;
    private final List<FaultKind> mKinds;
    private final int mTargets;
    private long mMillis;

    FaultSchedule(long seed, Set<FaultKind> kinds, int targets) {
        mRandom = new SplittableRandom(seed);
        mKinds = kinds.stream().sorted().toList();
        mTargets = targets;
    }

    FaultStep next() {
        mMillis += mRandom.nextInt(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
        FaultKind kind = mKinds.get(mRandom.nextInt(mKinds.size()));
        int target = mRandom.nextInt(mTargets);
        long duration = mRandom.nextInt(kind.shortestMillis(), kind.longestMillis() + 1);
        return new FaultStep(mMillis, kind, target, duration);
    }
}
