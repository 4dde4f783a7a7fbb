package org.arbutuslock.internal.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the problems of one settings file. Not safe for use by several threads. */
final class ProblemCollector {
    private final String mFile;
    private final List<SettingsProblem> mProblems = new ArrayList<>();

    ProblemCollector(String file) {
        mFile = file;
    }

    void add(int line, int column, String field, String value, String reason) {
        mProblems.add(new SettingsProblem(mFile, line, column, field, value, reason));
    }

    void add(LocatedValue value, String field, String reason) {
        add(value.line(), value.column(), field, value.display(), reason);
    }

    /** Returns the problems, ordered by line and column. */
    List<SettingsProblem> inOrder() {
        List<SettingsProblem> sorted = new ArrayList<>(mProblems);
        sorted.sort(
                Comparator.comparingInt(SettingsProblem::line)
                        .thenComparingInt(SettingsProblem::column));
        return List.copyOf(sorted);
    }

    boolean isEmpty() {
        return mProblems.isEmpty();
    }
}
