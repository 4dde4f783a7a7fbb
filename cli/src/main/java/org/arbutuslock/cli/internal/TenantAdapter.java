package org.arbutuslock.cli.internal;

import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.Tenant;

/** Options and table columns of tenants. */
final class TenantAdapter implements EntityAdapter {
    @Override
    public EntityKind kind() {
        return EntityKind.ENTITY_KIND_TENANT;
    }

    @Override
    public String kindName() {
        return "tenant";
    }

    @Override
    public void addOptions(ArgumentParser parser, boolean forCreation) {
        EntityOptions.addNumberOption(
                parser,
                "--weight",
                forCreation,
                "share of a contended queue relative to other tenants, 1 to 100");
    }

    @Override
    public Entity build(String name, Optional<Entity> existing, Namespace arguments) {
        Tenant.Builder tenant =
                existing.map(Entity::getTenant).orElse(Tenant.getDefaultInstance()).toBuilder()
                        .setName(name);
        EntityOptions.setIfNumberGiven(arguments, "weight", tenant::setWeight);
        return Entity.newBuilder().setTenant(tenant).build();
    }

    @Override
    public List<String> headings() {
        return List.of("NAME", "WEIGHT");
    }

    @Override
    public List<String> cells(Entity entity) {
        Tenant tenant = entity.getTenant();
        return List.of(tenant.getName(), String.valueOf(tenant.getWeight()));
    }
}
