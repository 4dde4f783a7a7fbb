package org.arbutuslock.internal.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.io.Writer;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.WeightedService;

/**
 * Writes a configuration document as JSON, with the entities of each kind sorted by name.
 *
 * <pre>{@code
 * DocumentWriter.write(ConfigurationDocument.of(holder.current()), writer);
 * }</pre>
 */
public final class DocumentWriter {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final JsonGenerator mGenerator;

    private DocumentWriter(JsonGenerator generator) {
        mGenerator = generator;
    }

    /** Writes the fields of one entity into an open JSON object. */
    private interface EntityWriter<T> {
        void write(T entity) throws IOException;
    }

    /**
     * Writes a document with all fields of all entities.
     *
     * @param document document to write
     * @param target receives the text; it is flushed but not closed
     * @throws IOException when writing to the target fails
     */
    public static void write(ConfigurationDocument document, Writer target) throws IOException {
        JsonGenerator generator = FACTORY.createGenerator(target);
        generator.setPrettyPrinter(new DefaultPrettyPrinter());
        new DocumentWriter(generator).writeDocument(document);
        generator.flush();
    }

    private void writeDocument(ConfigurationDocument document) throws IOException {
        mGenerator.writeStartObject();
        writeEntities(
                "services",
                document.services(),
                Comparator.comparing(ServiceDefinition::name),
                this::writeService);
        writeEntities(
                "routes",
                document.routes(),
                Comparator.comparing(RouteDefinition::name),
                this::writeRoute);
        writeEntities(
                "tenants",
                document.tenants(),
                Comparator.comparing(TenantDefinition::name),
                this::writeTenant);
        mGenerator.writeEndObject();
    }

    private <T> void writeEntities(
            String field, List<T> entities, Comparator<T> order, EntityWriter<T> writer)
            throws IOException {
        mGenerator.writeArrayFieldStart(field);
        for (T entity : entities.stream().sorted(order).toList()) {
            mGenerator.writeStartObject();
            writer.write(entity);
            mGenerator.writeEndObject();
        }
        mGenerator.writeEndArray();
    }

    private void writeService(ServiceDefinition service) throws IOException {
        mGenerator.writeStringField(DocumentEntities.NAME, service.name());
        switch (service.floor()) {
            case Floor.Count(int endpoints) ->
                    mGenerator.writeNumberField(DocumentEntities.FLOOR, endpoints);
            case Floor.Share(int percent) ->
                    mGenerator.writeStringField(DocumentEntities.FLOOR, percent + "%");
        }
        mGenerator.writeNumberField(
                DocumentEntities.EXPECTED_ENDPOINTS, service.expectedEndpoints());
        mGenerator.writeNumberField(
                DocumentEntities.SLOTS_PER_ENDPOINT, service.slotsPerEndpoint());
        mGenerator.writeNumberField(DocumentEntities.RETRY_PERCENT, service.retryPercent());
    }

    private void writeRoute(RouteDefinition route) throws IOException {
        mGenerator.writeStringField(DocumentEntities.NAME, route.name());
        mGenerator.writeStringField(DocumentEntities.HOST, route.host());
        mGenerator.writeStringField(DocumentEntities.METHOD, route.method());
        mGenerator.writeStringField(DocumentEntities.PATH, route.path());
        mGenerator.writeBooleanField(DocumentEntities.PREFIX, route.prefix());
        mGenerator.writeObjectFieldStart(DocumentEntities.HEADERS);
        for (Map.Entry<String, String> header : new TreeMap<>(route.headers()).entrySet()) {
            mGenerator.writeStringField(header.getKey(), header.getValue());
        }
        mGenerator.writeEndObject();
        mGenerator.writeStringField(DocumentEntities.SERVICE, route.service());
        mGenerator.writeStringField(DocumentEntities.WORK_CLASS, route.workClass().name());
        mGenerator.writeBooleanField(DocumentEntities.IDEMPOTENT, route.idempotent());
        mGenerator.writeNumberField(DocumentEntities.DEADLINE_MILLIS, route.deadlineMillis());
        mGenerator.writeNumberField(DocumentEntities.PRIORITY, route.priority());
        mGenerator.writeNumberField(
                DocumentEntities.OBJECTIVE_MILLIS, route.policy().targetMillis());
        mGenerator.writeNumberField(
                DocumentEntities.MAXIMUM_ATTEMPTS, route.policy().maximumAttempts());
        mGenerator.writeObjectFieldStart(DocumentEntities.SPLIT);
        for (WeightedService part : route.policy().split()) {
            mGenerator.writeNumberField(part.service(), part.weight());
        }
        mGenerator.writeEndObject();
        mGenerator.writeBooleanField(DocumentEntities.BELOW_ONLY, route.policy().belowOnly());
    }

    private void writeTenant(TenantDefinition tenant) throws IOException {
        mGenerator.writeStringField(DocumentEntities.NAME, tenant.name());
        mGenerator.writeNumberField(DocumentEntities.WEIGHT, tenant.weight());
    }
}
