package org.arbutuslock.cli.internal;

/** Exit codes of the process, which {@code docs/cli.md} and {@code --help} list too. */
enum ExitCode {
    DONE(0, "done"),
    FAILED(1, "refused or failed; the message tells what was changed"),
    USAGE(2, "wrong options or file; nothing was sent"),
    CONFLICT(3, "another change was accepted first; nothing was changed"),
    UNAVAILABLE(4, "node or store unavailable; nothing was changed"),
    UNKNOWN(5, "outcome unknown; ask with the printed change id");

    private final int mCode;
    private final String mMeaning;

    ExitCode(int code, String meaning) {
        mCode = code;
        mMeaning = meaning;
    }

    int code() {
        return mCode;
    }

    String meaning() {
        return mMeaning;
    }
}
