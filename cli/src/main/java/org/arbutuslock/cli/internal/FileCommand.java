package org.arbutuslock.cli.internal;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.EntityName;
import org.arbutuslock.v1.Operation;

/**
 * Shows the difference between a configuration file and the current configuration. The subcommand
 * {@code apply} also submits it as one change.
 */
final class FileCommand implements Command {
    private final boolean mApply;

    FileCommand(boolean apply) {
        mApply = apply;
    }

    @Override
    public String path() {
        return mApply ? "apply" : "diff";
    }

    @Override
    public String help() {
        return mApply
                ? "show what a file changes, then submit all of it as one change"
                : "show what a file would change";
    }

    @Override
    public void addArguments(ArgumentParser parser) {
        parser.addArgument("file")
                .metavar("FILE")
                .help("JSON file, comments allowed, with services, routes, tenants and delete");
        if (mApply) {
            parser.addArgument("--yes")
                    .action(Arguments.storeTrue())
                    .help("submit the change without confirmation");
            ChangeOptions.addTo(parser);
        }
    }

    @Override
    public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
        List<Operation> requested = ConfigurationFile.read(arguments.getString("file"));
        Set<EntityName> names = Difference.namesOf(requested);
        if (names.isEmpty()) {
            throw new CommandException(
                    ExitCode.USAGE,
                    arguments.getString("file")
                            + " names no entities; add services, routes, tenants or delete");
        }
        ConfigurationReader reader = new ConfigurationReader(context.client());
        ConfigurationReader.Snapshot shown = reader.read(names);
        Difference difference = Difference.between(shown.entities(), requested);
        print(difference, shown.revision(), context);
        if (!mApply || difference.operations().isEmpty()) {
            return ExitCode.DONE;
        }
        if (!arguments.getBoolean("yes")) {
            confirm(context);
        }
        ConfigurationReader.Snapshot current =
                arguments.getBoolean("yes") ? shown : reader.read(names);
        // The operator confirmed a difference between these entities, so changes of other entities
        // that were accepted since then are no conflict.
        if (!current.entities().equals(shown.entities())) {
            throw new CommandException(
                    ExitCode.CONFLICT,
                    "entities of the file were changed between revisions "
                            + shown.revision()
                            + " and "
                            + current.revision()
                            + "; nothing was sent; run the command again");
        }
        return new ChangeRunner(context, ChangeOptions.read(arguments))
                .apply(current.revision(), difference.operations());
    }

    private void print(Difference difference, long revision, CommandContext context) {
        // With JSON output, apply prints only the outcome to standard output, so that it can be
        // parsed.
        boolean asMessage = mApply && context.options().json();
        if (difference.lines().isEmpty()) {
            context.output().printMessage("no difference from revision " + revision);
        }
        for (String line : difference.lines()) {
            if (asMessage) {
                context.output().printMessage(line);
            } else {
                context.output().printLine(line);
            }
        }
    }

    private static void confirm(CommandContext context) throws CommandException {
        context.output().printMessage("make this change? Type yes:");
        String answer = null;
        try {
            answer = context.input().readLine();
        } catch (IOException unreadable) {
            context.output().printMessage("standard input: " + unreadable.getMessage());
        }
        if (answer == null || !answer.strip().equals("yes")) {
            throw new CommandException(
                    ExitCode.FAILED, "not confirmed; nothing was sent; use --yes in scripts");
        }
    }
}
