package org.arbutuslock.cli.internal;

/** Failure that ends a command, with its exit code and a message for the operator. */
final class CommandException extends Exception {
    private final ExitCode mExitCode;

    CommandException(ExitCode exitCode, String message) {
        super(message);
        mExitCode = exitCode;
    }

    ExitCode exitCode() {
        return mExitCode;
    }
}
