package org.arbutuslock.cli.internal;

import java.time.Instant;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.Change;
import org.arbutuslock.v1.EntityName;
import org.arbutuslock.v1.HistoryRequest;
import org.arbutuslock.v1.HistoryResponse;
import org.arbutuslock.v1.Operation;

/** Lists accepted changes, newest first. */
final class HistoryCommand implements Command {
    private static final int DEFAULT_LIMIT = 20;
    private static final int MAXIMUM_LIMIT = 200;
    private static final int SHOWN_OPERATIONS = 3;

    @Override
    public String path() {
        return "history";
    }

    @Override
    public String help() {
        return "list accepted changes, newest first";
    }

    @Override
    public void addArguments(ArgumentParser parser) {
        parser.addArgument("--before")
                .metavar("REVISION")
                .type(Long.class)
                .choices(Arguments.range(1L, Long.MAX_VALUE))
                .setDefault(0L)
                .help("list only revisions below this one");
        parser.addArgument("--limit")
                .type(Integer.class)
                .choices(Arguments.range(1, MAXIMUM_LIMIT))
                .setDefault(DEFAULT_LIMIT)
                .help("maximum number of changes to list, 1 to 200; default 20");
    }

    @Override
    public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
        HistoryRequest request =
                HistoryRequest.newBuilder()
                        .setBeforeRevision(arguments.getLong("before"))
                        .setLimit(arguments.getInt("limit"))
                        .build();
        HistoryResponse response = context.client().read(path(), stub -> stub.history(request));
        if (context.options().json()) {
            context.output().printJson(response);
            return ExitCode.DONE;
        }
        Table table = new Table("REVISION", "ACCEPTED", "AUTHOR", "CHANGE ID", "OPERATIONS");
        for (Change change : response.getChangesList()) {
            table.addRow(
                    change.getRevision(),
                    Instant.ofEpochMilli(change.getAcceptedAtMillis()),
                    change.getAuthor(),
                    change.getChangeId(),
                    summarize(change));
        }
        table.print(context.output());
        if (response.getMore()) {
            context.output().printMessage("there are older changes; use --before REVISION");
        }
        return ExitCode.DONE;
    }

    static String summarize(Change change) {
        String operations =
                change.getOperationsList().stream()
                        .limit(SHOWN_OPERATIONS)
                        .map(HistoryCommand::summarize)
                        .collect(Collectors.joining(", "));
        int more = change.getOperationsCount() - SHOWN_OPERATIONS;
        String rollback =
                change.getRollbackOfRevision() == 0
                        ? ""
                        : "rollback to " + change.getRollbackOfRevision() + ": ";
        return rollback + operations + (more > 0 ? " and " + more + " more" : "");
    }

    private static String summarize(Operation operation) {
        EntityName name = Entities.nameOf(operation);
        String verb = operation.hasPut() ? "put " : "delete ";
        return verb + Entities.kindName(name.getKind()) + " " + name.getName();
    }
}
