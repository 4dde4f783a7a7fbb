package org.arbutuslock.cli.internal;

import io.grpc.ManagedChannel;
import java.io.BufferedReader;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Parses the command line and runs the selected subcommand in the calling thread. Input, output,
 * environment variables and time are parameters, so that tests can run it in their process.
 *
 * <pre>{@code
 * CommandClock clock = CommandClock.system();
 * int exitCode = new Application(output, input, System.getenv(), clock).run(arguments);
 * }</pre>
 */
public final class Application {
    private final Output mOutput;
    private final BufferedReader mInput;
    private final Map<String, String> mEnvironment;
    private final CommandClock mClock;

    /**
     * Creates an application.
     *
     * @param output receives results and messages
     * @param input source of the operator's confirmations
     * @param environment environment variables, which give the default node address
     * @param clock time for deadlines and pauses between attempts
     */
    public Application(
            Output output,
            BufferedReader input,
            Map<String, String> environment,
            CommandClock clock) {
        mOutput = output;
        mInput = input;
        mEnvironment = environment;
        mClock = clock;
    }

    /**
     * Runs one subcommand. Failures are printed as messages and reported by the exit code.
     *
     * @param arguments subcommand and options
     * @return exit code of the process
     */
    public int run(String... arguments) {
        CommandLine commandLine = createCommandLine();
        try {
            Namespace namespace = commandLine.parse(arguments);
            return run(CommandLine.selected(namespace), namespace).code();
        } catch (HelpScreenException helpShown) {
            return ExitCode.DONE.code();
        } catch (ArgumentParserException wrongOptions) {
            PrintWriter writer = new PrintWriter(mOutput.messages(), true);
            wrongOptions.getParser().handleError(wrongOptions, writer);
            writer.flush();
            return ExitCode.USAGE.code();
        } catch (CommandException failed) {
            mOutput.printMessage("arbutuslock: " + failed.getMessage());
            return failed.exitCode().code();
        }
    }

    private ExitCode run(Command command, Namespace namespace) throws CommandException {
        CommonOptions options = CommonOptions.read(namespace, mEnvironment);
        if (!command.callsNode()) {
            return command.run(namespace, new CommandContext(null, options, mOutput, mInput));
        }
        ManagedChannel channel = ChannelFactory.open(options);
        String address =
                options.address().getAddress().getHostAddress() + ":" + options.address().getPort();
        Deadline deadline = new Deadline(mClock, options.timeout());
        try (OperatorsClient client = new OperatorsClient(channel, address, deadline)) {
            return command.run(namespace, new CommandContext(client, options, mOutput, mInput));
        }
    }

    private static CommandLine createCommandLine() {
        List<Command> commands = new ArrayList<>();
        for (EntityAdapter adapter :
                List.of(new ServiceAdapter(), new RouteAdapter(), new TenantAdapter())) {
            commands.add(new EntityChangeCommand(adapter, EntityChangeCommand.Action.CREATE));
            commands.add(new EntityReadCommand(adapter, false));
            commands.add(new EntityReadCommand(adapter, true));
            commands.add(new EntityChangeCommand(adapter, EntityChangeCommand.Action.CHANGE));
            commands.add(new EntityChangeCommand(adapter, EntityChangeCommand.Action.DELETE));
        }
        commands.add(new FileCommand(true));
        commands.add(new FileCommand(false));
        commands.add(new HistoryCommand());
        commands.add(new RevisionCommands.Rollback());
        commands.add(new RevisionCommands.Outcome());
        commands.add(new RevisionCommands.Wait());
        commands.add(new StatusCommand());
        commands.add(new ExplainCommand());
        commands.add(new DrainCommand(true));
        commands.add(new DrainCommand(false));
        commands.add(new TopCommand());
        CompletionCommand completion = new CompletionCommand();
        commands.add(completion);
        CommandLine commandLine = new CommandLine(commands);
        completion.setParsers(commandLine.parsersByPath());
        return commandLine;
    }
}
