package org.arbutuslock.cli.internal;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityName;
import org.arbutuslock.v1.Operation;

/** Creates, changes or deletes one entity. */
final class EntityChangeCommand implements Command {
    /** Kind of change; its lower-case name is the last word of the subcommand. */
    enum Action {
        CREATE,
        CHANGE,
        DELETE;

        String subcommandName() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    private final EntityAdapter mAdapter;
    private final Action mAction;

    EntityChangeCommand(EntityAdapter adapter, Action action) {
        mAdapter = adapter;
        mAction = action;
    }

    @Override
    public String path() {
        return mAdapter.kindName() + " " + mAction.subcommandName();
    }

    @Override
    public String help() {
        return mAction.subcommandName() + " a " + mAdapter.kindName();
    }

    @Override
    public void addArguments(ArgumentParser parser) {
        parser.addArgument("name").help("name of the " + mAdapter.kindName());
        if (mAction != Action.DELETE) {
            mAdapter.addOptions(parser, mAction == Action.CREATE);
        }
        ChangeOptions.addTo(parser);
    }

    @Override
    public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
        EntityName name = Entities.name(mAdapter.kind(), arguments.getString("name"));
        ConfigurationReader.Snapshot snapshot =
                new ConfigurationReader(context.client()).read(Set.of(name));
        Optional<Entity> existing = Optional.ofNullable(snapshot.entities().get(name));
        checkExistence(existing.isPresent(), name.getName(), snapshot.revision());
        Operation operation = createOperation(name, existing, arguments);
        return new ChangeRunner(context, ChangeOptions.read(arguments))
                .apply(snapshot.revision(), List.of(operation));
    }

    private Operation createOperation(
            EntityName name, Optional<Entity> existing, Namespace arguments)
            throws CommandException {
        if (mAction == Action.DELETE) {
            return Entities.delete(name);
        }
        Entity entity = mAdapter.build(name.getName(), existing, arguments);
        if (existing.isPresent() && existing.get().equals(entity)) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "the options don't change "
                            + mAdapter.kindName()
                            + " "
                            + name.getName()
                            + "; give an option with a new value, or see arbutuslock "
                            + path()
                            + " --help");
        }
        return Entities.put(entity);
    }

    private void checkExistence(boolean exists, String name, long revision)
            throws CommandException {
        boolean mustExist = mAction != Action.CREATE;
        if (exists == mustExist) {
            return;
        }
        throw new CommandException(
                ExitCode.FAILED,
                mAdapter.kindName()
                        + " "
                        + name
                        + (exists ? " already exists" : " does not exist")
                        + " at revision "
                        + revision
                        + "; nothing was sent; use arbutuslock "
                        + mAdapter.kindName()
                        + (exists ? " change" : " list"));
    }
}
