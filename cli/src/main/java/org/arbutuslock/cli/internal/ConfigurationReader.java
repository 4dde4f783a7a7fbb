package org.arbutuslock.cli.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.EntityName;
import org.arbutuslock.v1.GetConfigurationRequest;
import org.arbutuslock.v1.GetConfigurationResponse;

/** Reads named entities, all at the same revision of the configuration. */
final class ConfigurationReader {
    /**
     * Maximum number of entities of one kind that are read one by one. Above it, all entities of
     * the kind are read in pages.
     */
    private static final int MAXIMUM_SINGLE_READS = 50;

    private static final int PAGE_SIZE = 1_000;
    private static final int MAXIMUM_ATTEMPTS = 5;

    private final OperatorsClient mClient;

    ConfigurationReader(OperatorsClient client) {
        mClient = client;
    }

    /**
     * Entities as of one revision.
     *
     * @param revision revision of the configuration
     * @param entities requested entities that exist, by name
     */
    record Snapshot(long revision, Map<EntityName, Entity> entities) {}

    /**
     * Reads the named entities. If their calls return different revisions because another change
     * was accepted meanwhile, all entities are read again.
     *
     * @throws CommandException if a call fails, or if the revision changed during every attempt
     */
    Snapshot read(Set<EntityName> names) throws CommandException {
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            Map<EntityName, Entity> entities = new HashMap<>();
            Set<Long> revisions = new HashSet<>();
            for (EntityKind kind : kindsOf(names)) {
                readKind(kind, names, entities, revisions);
            }
            entities.keySet().retainAll(names);
            if (revisions.size() == 1) {
                return new Snapshot(revisions.iterator().next(), entities);
            }
        }
        throw new CommandException(
                ExitCode.FAILED,
                "the configuration at "
                        + mClient.address()
                        + " changed during each of "
                        + MAXIMUM_ATTEMPTS
                        + " attempts to read it; nothing was changed; try again");
    }

    private void readKind(
            EntityKind kind,
            Set<EntityName> names,
            Map<EntityName, Entity> entities,
            Set<Long> revisions)
            throws CommandException {
        long count = names.stream().filter(name -> name.getKind() == kind).count();
        if (count > MAXIMUM_SINGLE_READS) {
            readPages(request(kind).setPageSize(PAGE_SIZE), entities, revisions);
            return;
        }
        for (EntityName name : names) {
            if (name.getKind() == kind) {
                readPages(request(kind).setName(name.getName()), entities, revisions);
            }
        }
    }

    private void readPages(
            GetConfigurationRequest.Builder request,
            Map<EntityName, Entity> entities,
            Set<Long> revisions)
            throws CommandException {
        do {
            GetConfigurationRequest page = request.build();
            GetConfigurationResponse response =
                    mClient.read("read configuration", stub -> stub.getConfiguration(page));
            revisions.add(response.getRevision());
            response.getEntitiesList()
                    .forEach(entity -> entities.put(Entities.nameOf(entity), entity));
            request.setPageToken(response.getNextPageToken());
        } while (!request.getPageToken().isEmpty());
    }

    private static GetConfigurationRequest.Builder request(EntityKind kind) {
        return GetConfigurationRequest.newBuilder().setKind(kind);
    }

    private static Set<EntityKind> kindsOf(Set<EntityName> names) {
        Set<EntityKind> kinds = new HashSet<>();
        names.forEach(name -> kinds.add(name.getKind()));
        return kinds;
    }
}
