package org.arbutuslock.cli.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import java.io.PrintStream;

/** Writes results to standard output, and progress and errors to standard error. */
public final class Output {
    private static final int PROGRESS_LINE_COLUMNS = 79;

    private final PrintStream mResults;
    private final PrintStream mMessages;
    private final boolean mInteractive;
    private boolean mProgressShown;

    /**
     * Creates an output.
     *
     * @param results receives the results
     * @param messages receives progress and errors
     * @param interactive whether a progress line may be overwritten, as on a terminal
     */
    public Output(PrintStream results, PrintStream messages, boolean interactive) {
        mResults = results;
        mMessages = messages;
        mInteractive = interactive;
    }

    void printLine(String line) {
        finishProgress();
        mResults.println(line);
        mResults.flush();
    }

    void printJson(MessageOrBuilder message) throws CommandException {
        try {
            printLine(JsonFormat.printer().alwaysPrintFieldsWithNoPresence().print(message));
        } catch (InvalidProtocolBufferException malformed) {
            throw new CommandException(
                    ExitCode.FAILED,
                    "the response of the node cannot be printed as JSON: "
                            + malformed.getMessage()
                            + "; use --output text and report this");
        }
    }

    void printMessage(String line) {
        finishProgress();
        mMessages.println(line);
        mMessages.flush();
    }

    void showProgress(String line) {
        if (mInteractive) {
            mMessages.print(
                    "\r" + line + " ".repeat(Math.max(0, PROGRESS_LINE_COLUMNS - line.length())));
            mMessages.flush();
            mProgressShown = true;
            return;
        }
        printMessage(line);
    }

    PrintStream messages() {
        finishProgress();
        return mMessages;
    }

    private void finishProgress() {
        if (mProgressShown) {
            mMessages.println();
            mProgressShown = false;
        }
    }
}
