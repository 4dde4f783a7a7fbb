package org.arbutuslock.cli.internal;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.GetConfigurationRequest;
import org.arbutuslock.v1.GetConfigurationResponse;

/** Shows one entity or lists the entities of one kind. */
final class EntityReadCommand implements Command {
    private static final int DEFAULT_LIMIT = 1_000;
    private static final int MAXIMUM_LIMIT = 1_000_000;
    private static final int MAXIMUM_PAGE_SIZE = 1_000;

    private final EntityAdapter mAdapter;
    private final boolean mList;

    EntityReadCommand(EntityAdapter adapter, boolean list) {
        mAdapter = adapter;
        mList = list;
    }

    @Override
    public String path() {
        return mAdapter.kindName() + (mList ? " list" : " show");
    }

    @Override
    public String help() {
        return mList ? "list the " + mAdapter.kindName() + "s" : "show one " + mAdapter.kindName();
    }

    @Override
    public void addArguments(ArgumentParser parser) {
        if (!mList) {
            parser.addArgument("name").help("name of the " + mAdapter.kindName());
            return;
        }
        parser.addArgument("--limit")
                .type(Integer.class)
                .choices(Arguments.range(1, MAXIMUM_LIMIT))
                .setDefault(DEFAULT_LIMIT)
                .help("maximum number of entries to list; default 1000");
    }

    @Override
    public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
        GetConfigurationResponse result =
                mList ? list(arguments, context) : show(arguments, context);
        if (context.options().json()) {
            context.output().printJson(result);
            return ExitCode.DONE;
        }
        Table table = new Table(mAdapter.headings().toArray(String[]::new));
        for (Entity entity : result.getEntitiesList()) {
            table.addRow(mAdapter.cells(entity).toArray());
        }
        table.print(context.output());
        context.output().printMessage("revision " + result.getRevision());
        if (!result.getNextPageToken().isEmpty()) {
            context.output().printMessage("there are more entries; use a larger --limit");
        }
        return ExitCode.DONE;
    }

    private GetConfigurationResponse show(Namespace arguments, CommandContext context)
            throws CommandException {
        String name = arguments.getString("name");
        GetConfigurationRequest request =
                GetConfigurationRequest.newBuilder().setKind(mAdapter.kind()).setName(name).build();
        GetConfigurationResponse response =
                context.client().read(path(), stub -> stub.getConfiguration(request));
        if (response.getEntitiesCount() == 0) {
            throw new CommandException(
                    ExitCode.FAILED,
                    mAdapter.kindName()
                            + " "
                            + name
                            + " does not exist at revision "
                            + response.getRevision()
                            + "; use arbutuslock "
                            + mAdapter.kindName()
                            + " list");
        }
        return response;
    }

    private GetConfigurationResponse list(Namespace arguments, CommandContext context)
            throws CommandException {
        int limit = arguments.getInt("limit");
        GetConfigurationResponse.Builder all = GetConfigurationResponse.newBuilder();
        do {
            GetConfigurationRequest request =
                    GetConfigurationRequest.newBuilder()
                            .setKind(mAdapter.kind())
                            .setPageSize(
                                    Math.min(MAXIMUM_PAGE_SIZE, limit - all.getEntitiesCount()))
                            .setPageToken(all.getNextPageToken())
                            .build();
            GetConfigurationResponse page =
                    context.client().read(path(), stub -> stub.getConfiguration(request));
            warnAboutOtherRevision(all, page, context.output());
            all.setRevision(page.getRevision())
                    .addAllEntities(page.getEntitiesList())
                    .setNextPageToken(page.getNextPageToken());
        } while (!all.getNextPageToken().isEmpty() && all.getEntitiesCount() < limit);
        return all.build();
    }

    private static void warnAboutOtherRevision(
            GetConfigurationResponse.Builder all, GetConfigurationResponse page, Output output) {
        if (all.getEntitiesCount() > 0 && all.getRevision() != page.getRevision()) {
            output.printMessage(
                    "the configuration changed from revision "
                            + all.getRevision()
                            + " to "
                            + page.getRevision()
                            + " while it was read; the list may contain entries of both");
        }
    }
}
