package org.arbutuslock.cli.internal;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** A subcommand of the command line. */
interface Command {
    /** Returns the words that select this command, for example "service create". */
    String path();

    /** Returns a one-line description for the help text. */
    String help();

    /** Adds the arguments of this command. {@link CommandLine} adds the common options. */
    void addArguments(ArgumentParser parser);

    /**
     * Runs the command in the calling thread and prints its result.
     *
     * @throws CommandException if the command fails; its message is for the operator
     */
    ExitCode run(Namespace arguments, CommandContext context) throws CommandException;

    /** Returns whether the command needs a connection to a node. */
    default boolean callsNode() {
        return true;
    }
}
