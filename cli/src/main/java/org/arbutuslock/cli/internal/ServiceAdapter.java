package org.arbutuslock.cli.internal;

import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.Service;

/** Options and table columns of services. */
final class ServiceAdapter implements EntityAdapter {
    @Override
    public EntityKind kind() {
        return EntityKind.ENTITY_KIND_SERVICE;
    }

    @Override
    public String kindName() {
        return "service";
    }

    @Override
    public void addOptions(ArgumentParser parser, boolean forCreation) {
        parser.addArgument("--floor")
                .metavar("COUNT|PERCENT%")
                .required(forCreation)
                .help("minimum healthy capacity that ejections must leave, for example 6 or 75%");
        EntityOptions.addNumberOption(
                parser,
                "--expected-endpoints",
                forCreation,
                "number of endpoints that the service has");
        EntityOptions.addNumberOption(
                parser,
                "--slots",
                forCreation,
                "number of requests that one endpoint processes at once");
        EntityOptions.addNumberOption(
                parser, "--retry-percent", false, "retries in percent of first attempts, 0 to 100");
    }

    @Override
    public Entity build(String name, Optional<Entity> existing, Namespace arguments)
            throws CommandException {
        Service.Builder service =
                existing.map(Entity::getService).orElse(Service.getDefaultInstance()).toBuilder()
                        .setName(name);
        if (arguments.getString("floor") != null) {
            setFloor(service, arguments.getString("floor"));
        }
        EntityOptions.setIfNumberGiven(
                arguments, "expected_endpoints", service::setExpectedEndpoints);
        EntityOptions.setIfNumberGiven(arguments, "slots", service::setSlotsPerEndpoint);
        EntityOptions.setIfNumberGiven(arguments, "retry_percent", service::setRetryPercent);
        return Entity.newBuilder().setService(service).build();
    }

    @Override
    public List<String> headings() {
        return List.of("NAME", "FLOOR", "EXPECTED", "SLOTS", "RETRIES");
    }

    @Override
    public List<String> cells(Entity entity) {
        Service service = entity.getService();
        return List.of(
                service.getName(),
                service.hasFloorPercent()
                        ? service.getFloorPercent() + "%"
                        : String.valueOf(service.getFloorEndpoints()),
                String.valueOf(service.getExpectedEndpoints()),
                String.valueOf(service.getSlotsPerEndpoint()),
                service.getRetryPercent() + "%");
    }

    private static void setFloor(Service.Builder service, String text) throws CommandException {
        boolean percent = text.endsWith("%");
        String digits = percent ? text.substring(0, text.length() - 1) : text;
        if (!digits.matches("\\d{1,6}")) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "--floor is \"" + text + "\"; give a count such as 6 or a share such as 75%");
        }
        int number = Integer.parseInt(digits);
        if (percent) {
            service.setFloorPercent(number);
        } else {
            service.setFloorEndpoints(number);
        }
    }
}
