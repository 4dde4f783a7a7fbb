package org.arbutuslock.testbed.bench;

import java.util.logging.Level;
import java.util.logging.Logger;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs a {@link Bench} from the command line: exit code 1 for a missed bound, 2 on bad options. */
final class BenchRunner {
    static final int EXIT_MISSED_BOUND = 1;
    static final int EXIT_WRONG_OPTIONS = 2;

    static final long FIRST_SEED = 20_261_204L;

    private BenchRunner() {}

    /** Returns the exit code. */
    static int run(Bench bench, String[] arguments) throws Exception {
        String name = bench.getClass().getSimpleName();
        ArgumentParser parser =
                ArgumentParsers.newFor(name).build().description(bench.description());
        parser.addArgument("--seed").type(Long.class).setDefault(FIRST_SEED).help("seed");
        parser.addArgument("--format").choices("text", "json").setDefault("text");
        bench.addOptions(parser);
        Namespace options;
        try {
            options = parser.parseArgs(arguments);
        } catch (ArgumentParserException wrong) {
            parser.handleError(wrong);
            return wrong instanceof HelpScreenException ? 0 : EXIT_WRONG_OPTIONS;
        }
        BenchReport report = new BenchReport(name, options.getLong("seed"));
        // Nodes log an event for every session, which would hide the figures on the terminal.
        Logger root = Logger.getLogger("");
        Level level = root.getLevel();
        root.setLevel(Level.SEVERE);
        try {
            bench.measure(options, report);
        } finally {
            root.setLevel(level);
        }
        boolean json = options.getString("format").equals("json");
        System.out.println(json ? report.toJson() : report.toText());
        return report.meetsBounds() ? 0 : EXIT_MISSED_BOUND;
    }

    /** Adds an integer option; {@code lowest} and {@code highest} are allowed values too. */
    static void addNumber(
            ArgumentParser parser,
            String option,
            int lowest,
            int highest,
            int initial,
            String help) {
        parser.addArgument(option)
                .type(Integer.class)
                .choices(Arguments.range(lowest, highest))
                .setDefault(initial)
                .help(help);
    }
}
