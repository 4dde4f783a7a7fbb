package org.arbutuslock.cli.internal;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Parser of the command line: subcommands, their options and their help texts. */
final class CommandLine {
    private static final String COMMAND = "selected command";

    private final ArgumentParser mParser;
    private final Map<String, Subparser> mParsersByPath = new TreeMap<>();

    CommandLine(List<Command> commands) {
        mParser =
                ArgumentParsers.newFor("arbutuslock")
                        .build()
                        .defaultHelp(false)
                        .description("Changes and inspects a fleet of arbutuslock nodes.")
                        .epilog(describeExitCodes());
        CommonOptions.addTo(mParser);
        addCommands(commands);
    }

    Namespace parse(String[] arguments) throws ArgumentParserException {
        return mParser.parseArgs(arguments);
    }

    /** Returns the command that {@link #parse(String[])} selected. */
    static Command selected(Namespace arguments) {
        return arguments.get(COMMAND);
    }

    /** Returns the parser of each subcommand by its path, for example "service list". */
    Map<String, Subparser> parsersByPath() {
        return mParsersByPath;
    }

    private void addCommands(List<Command> commands) {
        Subparsers topLevel = mParser.addSubparsers().title("subcommands").metavar("COMMAND");
        Map<String, Subparsers> groups = new LinkedHashMap<>();
        for (Command command : commands) {
            String[] words = command.path().split(" ");
            Subparsers parent = topLevel;
            if (words.length > 1) {
                parent = groups.computeIfAbsent(words[0], kindName -> addGroup(topLevel, kindName));
            }
            Subparser parser =
                    parent.addParser(words[words.length - 1])
                            .help(command.help())
                            .description(command.help())
                            .epilog(describeExitCodes());
            command.addArguments(parser);
            CommonOptions.addTo(parser);
            parser.setDefault(COMMAND, command);
            mParsersByPath.put(command.path(), parser);
        }
    }

    private static Subparsers addGroup(Subparsers topLevel, String kindName) {
        return topLevel.addParser(kindName)
                .help("create, show, list, change or delete a " + kindName)
                .addSubparsers()
                .title("actions")
                .metavar("ACTION");
    }

    private static String describeExitCodes() {
        return Arrays.stream(ExitCode.values())
                .map(code -> code.code() + " " + code.meaning())
                .collect(Collectors.joining("; ", "exit codes: ", "."));
    }
}
