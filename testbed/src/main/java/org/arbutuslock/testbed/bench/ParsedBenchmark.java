package org.arbutuslock.testbed.bench;

import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/**
 * Adapts a {@link Bench} to {@link Benchmark}: runs it with the default values of its options, or
 * with smaller values in a short run.
 *
 * @param name name that selects the benchmark on the command line
 * @param bench the benchmark
 * @param shortArguments options of a short run, such as {@code --requests 2000}
 */
record ParsedBenchmark(String name, Bench bench, List<String> shortArguments) implements Benchmark {
    @Override
    public String description() {
        return bench.description();
    }

    @Override
    public BenchReport run(BenchOptions options) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor(name).build();
        parser.addArgument("--seed").type(Long.class);
        bench.addOptions(parser);
        List<String> arguments = new ArrayList<>(List.of("--seed", Long.toString(options.seed())));
        if (options.shortRun()) {
            arguments.addAll(shortArguments);
        }
        BenchReport report = new BenchReport(name, options.seed());
        bench.measure(parser.parseArgs(arguments.toArray(String[]::new)), report);
        return report;
    }
}
