package org.arbutuslock.testbed.bench;

import org.arbutuslock.internal.detection.Outcome;

/** Baseline: a server is ejected after five errors in a row. */
final class ConsecutiveErrorsRule {
    private static final int LIMIT = 5;

    private int mErrors;

    /** Returns true when the server would be ejected, and starts again. */
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
