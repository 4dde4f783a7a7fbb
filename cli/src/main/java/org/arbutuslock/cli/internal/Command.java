package org.arbutuslock.cli.internal;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** One subcommand. */
interface Command {
    /** Returns the words that select this command, for example "service create". */
    String path();

    /** Describes the command in one line. */
    String help();

    /** Adds the arguments of this command; the common options are added by the caller. */
    void addArguments(ArgumentParser parser);

    /** Runs the command. */
    ExitCode run(Namespace arguments, CommandContext context) throws CommandException;

    /** Tells whether the command needs a connection to a node. */
    default boolean callsNode() {
        return true;
    }
}
