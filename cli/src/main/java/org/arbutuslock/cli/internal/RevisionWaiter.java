package org.arbutuslock.cli.internal;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.time.Duration;
import java.util.Iterator;
import org.arbutuslock.v1.WatchRevisionRequest;
import org.arbutuslock.v1.WatchRevisionResponse;

/**
 * Waits until a revision is in force on all nodes and shows the progress. Calls that fail with
 * UNAVAILABLE or DEADLINE_EXCEEDED are repeated until the deadline of the command.
 */
final class RevisionWaiter {
    private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

    private final CommandContext mContext;
    private WatchRevisionResponse mLast = WatchRevisionResponse.getDefaultInstance();

    RevisionWaiter(CommandContext context) {
        mContext = context;
    }

    ExitCode await(long revision) throws CommandException {
        OperatorsClient client = mContext.client();
        Status failure = Status.DEADLINE_EXCEEDED;
        while (!client.deadline().hasPassed()) {
            try {
                if (watch(revision)) {
                    return printInForce();
                }
            } catch (StatusRuntimeException failed) {
                failure = failed.getStatus();
                if (!isTransient(failure.getCode())) {
                    throw client.createException("wait for revision " + revision, failure);
                }
            }
            client.deadline().pause(RETRY_PAUSE);
        }
        if (mLast.getNodesTotal() == 0) {
            throw client.createException("wait for revision " + revision, failure);
        }
        throw new CommandException(
                ExitCode.FAILED,
                format(mLast)
                        + " before the timeout, as seen by "
                        + client.address()
                        + "; waiting for "
                        + String.join(", ", mLast.getWaitingNodesList())
                        + "; run: arbutuslock wait "
                        + revision);
    }

    private boolean watch(long revision) {
        WatchRevisionRequest request =
                WatchRevisionRequest.newBuilder().setRevision(revision).build();
        Iterator<WatchRevisionResponse> responses =
                mContext.client().stubUntilDeadline().watchRevision(request);
        while (responses.hasNext()) {
            mLast = responses.next();
            mContext.output().showProgress(format(mLast));
            if (mLast.getInForce()) {
                return true;
            }
        }
        return false;
    }

    private ExitCode printInForce() throws CommandException {
        if (mContext.options().json()) {
            mContext.output().printJson(mLast);
        } else {
            mContext.output().printLine("revision " + mLast.getRevision() + " is in force");
        }
        return ExitCode.DONE;
    }

    private static boolean isTransient(Status.Code code) {
        return code == Status.Code.UNAVAILABLE || code == Status.Code.DEADLINE_EXCEEDED;
    }

    private static String format(WatchRevisionResponse response) {
        return "revision "
                + response.getRevision()
                + " confirmed by "
                + response.getNodesConfirmed()
                + " of "
                + response.getNodesTotal()
                + " nodes";
    }
}
