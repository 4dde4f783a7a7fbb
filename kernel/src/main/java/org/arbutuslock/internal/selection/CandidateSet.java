package org.arbutuslock.internal.selection;

import java.util.Arrays;
import java.util.List;

/** Immutable snapshot of the endpoints of one service. */
public final class CandidateSet {
    private final Candidate[] mSelectable;
    private final Candidate[][] mByDistance;
    private final int mFloor;
    private final int mTotal;

    /**
     * Creates a snapshot.
     *
     * @param candidates all known endpoints of the service
     * @param floor minimum number of endpoints that must keep a non-zero weight
     */
    public CandidateSet(List<Candidate> candidates, int floor) {
        mTotal = candidates.size();
        mFloor = floor;
        mSelectable = candidates.stream().filter(Candidate::isSelectable).toArray(Candidate[]::new);
        mByDistance =
                Arrays.stream(ZoneDistance.values())
                        .map(distance -> selectableAt(distance))
                        .toArray(Candidate[][]::new);
    }

    private Candidate[] selectableAt(ZoneDistance distance) {
        return Arrays.stream(mSelectable)
                .filter(candidate -> candidate.distance() == distance)
                .toArray(Candidate[]::new);
    }

    Candidate[] at(ZoneDistance distance) {
        return mByDistance[distance.ordinal()];
    }

    boolean isEmpty() {
        return mTotal == 0;
    }

    int selectableCount() {
        return mSelectable.length;
    }

    /** Returns true when enough endpoints remain for the floor without those on avoided paths. */
    boolean canAvoidFailedPaths(long now) {
        int good = 0;
        for (Candidate candidate : mSelectable) {
            good += candidate.path().isAvoided(now) ? 0 : 1;
        }
        return good >= Math.max(1, mFloor);
    }
}
