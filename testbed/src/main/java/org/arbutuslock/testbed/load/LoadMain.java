package org.arbutuslock.testbed.load;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Command line of the load generator. */
public final class LoadMain {
    private static final int EXIT_CHECK_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private LoadMain() {}

    /**
     * Runs one plan and prints a table and one line of JSON. The exit status is 1 if a response was
     * wrong or truncated, and 2 if an option is invalid.
     *
     * @param arguments options; {@code --help} lists them
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        ArgumentParser parser = LoadOptions.createParser();
        LoadPlan plan = null;
        try {
            plan = LoadOptions.toPlan(parser.parseArgs(arguments));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        } catch (IllegalArgumentException e) {
            System.err.println("arbutuslock-load: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        System.out.println("seed " + plan.seed());
        LoadReport report = LoadGenerator.run(plan, sample -> {});
        System.out.print(report.toTable());
        System.out.println(report.toJson());
        KindReport total = report.total();
        boolean failed =
                total.count(LoadResult.WRONG_RESPONSE) + total.count(LoadResult.TRUNCATED) > 0;
        System.exit(failed ? EXIT_CHECK_FAILED : 0);
    }
}
