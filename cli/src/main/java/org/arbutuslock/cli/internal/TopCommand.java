package org.arbutuslock.cli.internal;

import java.util.Locale;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.TopRequest;
import org.arbutuslock.v1.TopResponse;
import org.arbutuslock.v1.TopRow;

/** Shows one node's request rates and latencies by service, class and tenant. */
final class TopCommand implements Command {
    private static final int DEFAULT_LIMIT = 20;
    private static final int MAXIMUM_LIMIT = 500;
    private static final double MICROS_PER_MILLI = 1_000.0;

    @Override
    public String path() {
        return "top";
    }

    @Override
    public String help() {
        return "show request rates and latencies of one node by service, class and tenant";
    }

    @Override
    public void addArguments(ArgumentParser parser) {
        parser.addArgument("--service").setDefault("").help("only this service");
        parser.addArgument("--limit")
                .type(Integer.class)
                .choices(Arguments.range(1, MAXIMUM_LIMIT))
                .setDefault(DEFAULT_LIMIT)
                .help("maximum number of rows, 1 to 500; default 20");
    }

    @Override
    public ExitCode run(Namespace arguments, CommandContext context) throws CommandException {
        TopRequest request =
                TopRequest.newBuilder()
                        .setService(arguments.getString("service"))
                        .setLimit(arguments.getInt("limit"))
                        .build();
        TopResponse response = context.client().read(path(), stub -> stub.top(request));
        if (context.options().json()) {
            context.output().printJson(response);
            return ExitCode.DONE;
        }
        Table table =
                new Table(
                        "SERVICE",
                        "CLASS",
                        "TENANT",
                        "REQUESTS/S",
                        "FAILURES/S",
                        "P50 MS",
                        "P95 MS",
                        "P99 MS",
                        "MAX MS");
        for (TopRow row : response.getRowsList()) {
            table.addRow(
                    row.getService(),
                    EntityOptions.formatWorkClass(row.getWorkClass()),
                    row.getTenant().isEmpty() ? "(others)" : row.getTenant(),
                    decimal(row.getRequestsPerSecond()),
                    decimal(row.getFailuresPerSecond()),
                    decimal(row.getP50Micros() / MICROS_PER_MILLI),
                    decimal(row.getP95Micros() / MICROS_PER_MILLI),
                    decimal(row.getP99Micros() / MICROS_PER_MILLI),
                    decimal(row.getMaximumMicros() / MICROS_PER_MILLI));
        }
        table.print(context.output());
        context.output()
                .printMessage(
                        "node "
                                + response.getRespondingNode()
                                + ", last "
                                + response.getPeriodMillis()
                                + " ms");
        return ExitCode.DONE;
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
