package org.arbutuslock.cli.internal;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.arbutuslock.v1.OperatorsGrpc;
import org.arbutuslock.v1.OperatorsGrpc.OperatorsBlockingStub;

/** Client of one node's Operators service. Every call ends by the deadline of the command. */
final class OperatorsClient implements AutoCloseable {
    private static final long MAXIMUM_CALL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final ManagedChannel mChannel;
    private final String mAddress;
    private final Deadline mDeadline;

    OperatorsClient(ManagedChannel channel, String address, Deadline deadline) {
        mChannel = channel;
        mAddress = address;
        mDeadline = deadline;
    }

    String address() {
        return mAddress;
    }

    Deadline deadline() {
        return mDeadline;
    }

    /**
     * Calls a method that only reads, without retry.
     *
     * @param step description of the call for the error message
     * @throws CommandException if the call fails
     */
    <T> T read(String step, Function<OperatorsBlockingStub, T> call) throws CommandException {
        try {
            return call.apply(stub(MAXIMUM_CALL_NANOS));
        } catch (StatusRuntimeException failed) {
            throw createException(step, failed.getStatus());
        }
    }

    /**
     * Returns a stub for one attempt of a call that may be retried. Its deadline is 10 s or the
     * remaining time of the command, whichever is shorter.
     */
    OperatorsBlockingStub stubForAttempt() {
        return stub(MAXIMUM_CALL_NANOS);
    }

    /** Returns a stub whose deadline is the deadline of the command. */
    OperatorsBlockingStub stubUntilDeadline() {
        return stub(Long.MAX_VALUE);
    }

    CommandException createException(String step, Status status) {
        String cause = status.getCause() == null ? "" : " (" + rootMessage(status.getCause()) + ")";
        String description = status.getDescription();
        // gRPC appends the state of the channel on further lines, which are left out.
        String reason =
                description == null ? "" : ": " + description.lines().findFirst().orElse("");
        return new CommandException(
                exitCodeOf(status.getCode()),
                step + " failed at " + mAddress + reason + cause + "; " + advice(status.getCode()));
    }

    @Override
    public void close() {
        mChannel.shutdownNow();
        try {
            mChannel.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private OperatorsBlockingStub stub(long maximumNanos) {
        long nanos = Math.min(maximumNanos, mDeadline.remainingNanos());
        return OperatorsGrpc.newBlockingStub(mChannel)
                .withDeadlineAfter(nanos, TimeUnit.NANOSECONDS);
    }

    private static String rootMessage(Throwable throwable) {
        Throwable root = throwable;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage();
    }

    private static ExitCode exitCodeOf(Status.Code code) {
        return switch (code) {
            case UNAVAILABLE, DEADLINE_EXCEEDED -> ExitCode.UNAVAILABLE;
            case INVALID_ARGUMENT -> ExitCode.USAGE;
            default -> ExitCode.FAILED;
        };
    }

    private static String advice(Status.Code code) {
        return switch (code) {
            case UNAVAILABLE ->
                    "check that the node runs and that --address and the TLS options match it";
            case DEADLINE_EXCEEDED -> "try again, with a longer --timeout or another --address";
            case INVALID_ARGUMENT -> "correct the named field";
            case UNAUTHENTICATED -> "give --certificate, --key and --trust";
            case PERMISSION_DENIED -> "use a certificate that has the role operator";
            case UNIMPLEMENTED -> "use the arbutuslock command of the node's release";
            default -> "see the log of the node";
        };
    }
}
