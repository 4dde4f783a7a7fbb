package org.arbutuslock.cli.internal;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.Route;
import org.arbutuslock.v1.WeightedService;
import org.arbutuslock.v1.WorkClass;

/** Options and table columns of routes. */
final class RouteAdapter implements EntityAdapter {
    @Override
    public EntityKind kind() {
        return EntityKind.ENTITY_KIND_ROUTE;
    }

    @Override
    public String kindName() {
        return "route";
    }

    @Override
    public void addOptions(ArgumentParser parser, boolean forCreation) {
        parser.addArgument("--host").help("host name that a request must have; empty for any");
        parser.addArgument("--method").help("HTTP method that a request must have; empty for any");
        parser.addArgument("--path").required(forCreation).help("path, starting with a slash");
        parser.addArgument("--match")
                .choices("exact", "prefix")
                .help("prefix if paths below --path match too; default exact");
        parser.addArgument("--header")
                .metavar("NAME=VALUE")
                .action(Arguments.append())
                .help("header that a request must have; may be repeated; replaces all headers");
        parser.addArgument("--service")
                .required(forCreation)
                .help("service that receives the requests");
        parser.addArgument("--class")
                .dest("work_class")
                .choices("short", "long")
                .required(forCreation)
                .help("work class of the requests");
        parser.addArgument("--idempotent")
                .choices("yes", "no")
                .help("whether a request may be executed more than once; default no");
        EntityOptions.addNumberOption(
                parser, "--deadline-millis", forCreation, "time for a response, 1 to 3600000");
        EntityOptions.addNumberOption(
                parser, "--priority", false, "0 (dropped first) to 9 (dropped last)");
        EntityOptions.addNumberOption(
                parser,
                "--objective-millis",
                false,
                "response time objective, 1 to 3600000; default none");
        EntityOptions.addNumberOption(
                parser,
                "--maximum-attempts",
                false,
                "maximum number of endpoints to which a request is sent, 1 to 16; default 4");
        parser.addArgument("--split")
                .metavar("SERVICE=WEIGHT")
                .action(Arguments.append())
                .help("service and its share of the requests; may be repeated; replaces the split");
        parser.addArgument("--below-only")
                .choices("yes", "no")
                .help("whether a prefix excludes its own path; default no");
    }

    @Override
    public Entity build(String name, Optional<Entity> existing, Namespace arguments)
            throws CommandException {
        Route.Builder route =
                existing.map(Entity::getRoute).orElse(Route.getDefaultInstance()).toBuilder()
                        .setName(name);
        EntityOptions.setIfTextGiven(arguments, "host", route::setHost);
        EntityOptions.setIfTextGiven(arguments, "method", route::setMethod);
        EntityOptions.setIfTextGiven(arguments, "path", route::setPath);
        EntityOptions.setIfTextGiven(
                arguments, "match", text -> route.setPrefix("prefix".equals(text)));
        EntityOptions.setIfTextGiven(arguments, "service", route::setService);
        EntityOptions.setIfTextGiven(
                arguments,
                "work_class",
                text ->
                        route.setWorkClass(
                                WorkClass.valueOf("WORK_CLASS_" + text.toUpperCase(Locale.ROOT))));
        EntityOptions.setIfTextGiven(
                arguments, "idempotent", text -> route.setIdempotent("yes".equals(text)));
        EntityOptions.setIfNumberGiven(arguments, "deadline_millis", route::setDeadlineMillis);
        EntityOptions.setIfNumberGiven(arguments, "priority", route::setPriority);
        EntityOptions.setIfNumberGiven(arguments, "objective_millis", route::setObjectiveMillis);
        EntityOptions.setIfNumberGiven(arguments, "maximum_attempts", route::setMaximumAttempts);
        EntityOptions.setIfTextGiven(
                arguments, "below_only", text -> route.setBelowOnly("yes".equals(text)));
        setHeaders(route, arguments.getList("header"));
        setSplit(route, arguments.getList("split"));
        return Entity.newBuilder().setRoute(route).build();
    }

    @Override
    public List<String> headings() {
        return List.of(
                "NAME",
                "METHOD",
                "HOST",
                "PATH",
                "SERVICE",
                "CLASS",
                "IDEMPOTENT",
                "DEADLINE",
                "PRIORITY");
    }

    @Override
    public List<String> cells(Entity entity) {
        Route route = entity.getRoute();
        return List.of(
                route.getName(),
                route.getMethod(),
                route.getHost(),
                route.getPath() + (route.getPrefix() ? " (prefix)" : ""),
                route.getService(),
                EntityOptions.formatWorkClass(route.getWorkClass()),
                route.getIdempotent() ? "yes" : "no",
                route.getDeadlineMillis() + " ms",
                String.valueOf(route.getPriority()));
    }

    private static void setSplit(Route.Builder route, List<String> parts) throws CommandException {
        if (parts == null) {
            return;
        }
        route.clearSplit();
        for (String part : parts) {
            int equals = part.lastIndexOf('=');
            String weight = part.substring(equals + 1);
            if (equals < 1 || !weight.matches("[0-9]{1,5}")) {
                throw new CommandException(
                        ExitCode.USAGE,
                        "--split is \"" + part + "\"; give it as SERVICE=WEIGHT, 0 to 10000");
            }
            route.addSplit(
                    WeightedService.newBuilder()
                            .setService(part.substring(0, equals))
                            .setWeight(Integer.parseInt(weight)));
        }
    }

    private static void setHeaders(Route.Builder route, List<String> headers)
            throws CommandException {
        if (headers == null) {
            return;
        }
        route.clearHeaders();
        for (String header : headers) {
            int equals = header.indexOf('=');
            if (equals < 1) {
                throw new CommandException(
                        ExitCode.USAGE, "--header is \"" + header + "\"; give it as NAME=VALUE");
            }
            route.putHeaders(
                    header.substring(0, equals).toLowerCase(Locale.ROOT),
                    header.substring(equals + 1));
        }
    }
}
