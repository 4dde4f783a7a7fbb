package org.arbutuslock.cli.internal;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.GetChangeRequest;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.GetStatusRequest;
import org.arbutuslock.v1.GetStatusResponse;

/** Subcommands that take a revision or a change id. */
final class RevisionCommands {
    private RevisionCommands() {}

    private static void addRevision(ArgumentParser parser, String help) {
        parser.addArgument("revision")
                .metavar("REVISION")
                .type(Long.class)
                .choices(Arguments.range(0L, Long.MAX_VALUE))
                .help(help);
    }

    /** Restores the entities of an earlier revision as a new revision. */
    static final class Rollback implements Command {
        @Override
        public String path() {
            return "rollback";
        }

        @Override
        public String help() {
            return "restore the entities of an earlier revision as a new revision";
        }

        @Override
        public void addArguments(ArgumentParser parser) {
            addRevision(parser, "revision to restore; 0 is the empty configuration");
            ChangeOptions.addTo(parser);
        }

        @Override
        public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
            GetStatusRequest request = GetStatusRequest.newBuilder().setPageSize(1).build();
            GetStatusResponse status =
                    context.client().read("read status", stub -> stub.getStatus(request));
            return new ChangeRunner(context, ChangeOptions.read(arguments))
                    .rollBack(status.getConfigurationRevision(), arguments.getLong("revision"));
        }
    }

    /** Waits until a revision is in force on all nodes. */
    static final class Wait implements Command {
        @Override
        public String path() {
            return "wait";
        }

        @Override
        public String help() {
            return "wait until a revision is in force on all nodes";
        }

        @Override
        public void addArguments(ArgumentParser parser) {
            addRevision(parser, "revision to wait for");
        }

        @Override
        public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
            return new RevisionWaiter(context).await(arguments.getLong("revision"));
        }
    }

    /** Reports whether a change was accepted. */
    static final class Outcome implements Command {
        @Override
        public String path() {
            return "outcome";
        }

        @Override
        public String help() {
            return "report whether a change was accepted";
        }

        @Override
        public void addArguments(ArgumentParser parser) {
            parser.addArgument("change_id")
                    .metavar("CHANGE_ID")
                    .help("id printed by the command that made the change");
        }

        @Override
        public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
            GetChangeRequest request =
                    GetChangeRequest.newBuilder()
                            .setChangeId(arguments.getString("change_id"))
                            .build();
            GetChangeResponse response =
                    context.client().read(path(), stub -> stub.getChange(request));
            if (context.options().json()) {
                context.output().printJson(response);
            } else {
                context.output().printLine(describe(response));
            }
            return switch (response.getResultCase()) {
                case ACCEPTED -> ExitCode.DONE;
                case ABSENT ->
                        response.getAbsent().getDefinite() ? ExitCode.FAILED : ExitCode.UNKNOWN;
                case STORE_UNAVAILABLE -> ExitCode.UNAVAILABLE;
                case RESULT_NOT_SET -> ExitCode.UNKNOWN;
            };
        }

        private static String describe(GetChangeResponse response) {
            return switch (response.getResultCase()) {
                case ACCEPTED ->
                        "accepted as revision "
                                + response.getAccepted().getRevision()
                                + " by "
                                + response.getAccepted().getAuthor()
                                + ": "
                                + HistoryCommand.summarize(response.getAccepted());
                case ABSENT ->
                        response.getAbsent().getDefinite()
                                ? "definitely not accepted; the change can be made again"
                                : "not accepted up to revision "
                                        + response.getAbsent().getSearchedRevision()
                                        + ", but a write may be pending; run this command again";
                case STORE_UNAVAILABLE ->
                        "the store "
                                + response.getStoreUnavailable().getPeer()
                                + " is unavailable ("
                                + response.getStoreUnavailable().getReason()
                                + "); run the command again later";
                case RESULT_NOT_SET ->
                        "the node sent a result of a later release; use that release's command";
            };
        }
    }
}
