package org.arbutuslock.internal.ejection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.arbutuslock.api.Clock;

/**
 * Bounded history of the decisions about one endpoint. A decision that repeats the last one is not
 * added; it replaces the evidence and increments the repetitions of the last one.
 */
final class DecisionHistory {
    private static final int MAXIMUM_DECISIONS = 64;

    private final Clock mClock;
    private final Deque<EjectionDecision> mDecisions = new ArrayDeque<>();

    DecisionHistory(Clock clock) {
        mClock = clock;
    }

    void add(EndpointState state, int weightPercent, String reason, String evidence) {
        EjectionDecision last = mDecisions.peekLast();
        boolean repeated =
                last != null
                        && last.state() == state
                        && last.weightPercent() == weightPercent
                        && last.reason().equals(reason);
        if (repeated) {
            mDecisions.removeLast();
        }
        long wallTimeMillis = repeated ? last.wallTimeMillis() : mClock.wallTimeMillis();
        int repetitions = repeated ? last.repetitions() + 1 : 1;
        mDecisions.addLast(
                new EjectionDecision(
                        wallTimeMillis, state, weightPercent, reason, evidence, repetitions));
        if (mDecisions.size() > MAXIMUM_DECISIONS) {
            mDecisions.removeFirst();
        }
    }

    List<EjectionDecision> newestLast() {
        return List.copyOf(mDecisions);
    }
}
