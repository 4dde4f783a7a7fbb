package org.arbutuslock.testbed.bench;

import org.arbutuslock.internal.detection.Outcome;

/** Baseline for the health detector: ejects a server after five consecutive errors. */
final class ConsecutiveErrorsRule {
    private static final int LIMIT = 5;

    private int mErrors;

    /** Returns whether this outcome ejects the server. The count restarts after an ejection. */
    boolean observe(Outcome outcome) {
        if (outcome == Outcome.OK || outcome == Outcome.LATE) {
            mErrors = 0;
            return false;
        }
        mErrors++;
        if (mErrors < LIMIT) {
            return false;
        }
        mErrors = 0;
        return true;
    }
}
