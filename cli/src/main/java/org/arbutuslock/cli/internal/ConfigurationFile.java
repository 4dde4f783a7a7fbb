package org.arbutuslock.cli.internal;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.EntityName;
import org.arbutuslock.v1.Operation;
import org.arbutuslock.v1.Route;
import org.arbutuslock.v1.Service;
import org.arbutuslock.v1.Tenant;

/**
 * Parser of a configuration file. The file is a JSON object, which may contain comments, with the
 * lists {@code services}, {@code routes} and {@code tenants}, and the object {@code delete} with
 * lists of names. Entities that the file does not name stay unchanged.
 */
final class ConfigurationFile {
    private static final long MAXIMUM_FILE_BYTES = 4 << 20;
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(JsonParser.Feature.ALLOW_COMMENTS)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private final Path mPath;
    private final List<Operation> mOperations = new ArrayList<>();
    private final Set<EntityName> mNames = new HashSet<>();
    private final List<String> mErrors = new ArrayList<>();

    private ConfigurationFile(Path path) {
        mPath = path;
    }

    /**
     * Returns the operations of a file.
     *
     * @throws CommandException if the file cannot be read or is invalid; the message lists all
     *     errors found
     */
    static List<Operation> read(String path) throws CommandException {
        ConfigurationFile file = new ConfigurationFile(Path.of(path));
        file.parse();
        if (!file.mErrors.isEmpty()) {
            throw new CommandException(
                    ExitCode.USAGE,
                    String.join("\n", file.mErrors) + "\nnothing was sent; correct the file");
        }
        return file.mOperations;
    }

    private void parse() throws CommandException {
        try {
            long size = Files.size(mPath);
            if (size > MAXIMUM_FILE_BYTES) {
                throw new CommandException(
                        ExitCode.USAGE,
                        mPath
                                + " has "
                                + size
                                + " bytes; allowed are "
                                + MAXIMUM_FILE_BYTES
                                + "; split the file into several files");
            }
            try (JsonParser parser = MAPPER.createParser(Files.readString(mPath))) {
                readSections(parser);
            }
        } catch (JsonProcessingException malformed) {
            // Jackson may report an exceeded size or nesting limit without a location.
            JsonLocation location =
                    Objects.requireNonNullElse(malformed.getLocation(), JsonLocation.NA);
            mErrors.add(formatLocation(location) + malformed.getOriginalMessage());
        } catch (IOException unreadable) {
            mErrors.add(
                    mPath
                            + " cannot be read ("
                            + unreadable.getClass().getSimpleName()
                            + "); check that it exists, is readable and is UTF-8 text");
        }
    }

    private void readSections(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            mErrors.add(
                    formatLocation(parser.currentTokenLocation())
                            + "the file must be a JSON object");
            return;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String section = parser.currentName();
            JsonLocation location = parser.currentTokenLocation();
            parser.nextToken();
            switch (section) {
                case "services" -> readEntities(parser, section, EntityKind.ENTITY_KIND_SERVICE);
                case "routes" -> readEntities(parser, section, EntityKind.ENTITY_KIND_ROUTE);
                case "tenants" -> readEntities(parser, section, EntityKind.ENTITY_KIND_TENANT);
                case "delete" -> readDeletions(parser);
                default -> {
                    mErrors.add(
                            formatLocation(location)
                                    + "field \""
                                    + section
                                    + "\" is unknown; allowed are services, routes, tenants and"
                                    + " delete");
                    parser.skipChildren();
                }
            }
        }
        if (parser.nextToken() != null) {
            mErrors.add(
                    formatLocation(parser.currentTokenLocation()) + "text follows the JSON object");
        }
    }

    private void readEntities(JsonParser parser, String section, EntityKind kind)
            throws IOException {
        if (!startsList(parser, section)) {
            return;
        }
        for (int index = 0; parser.nextToken() != JsonToken.END_ARRAY; index++) {
            JsonLocation location = parser.currentTokenLocation();
            String field = section + "[" + index + "]";
            JsonNode node = MAPPER.readTree(parser);
            try {
                addOperation(location, field, Entities.put(convert(node, kind)));
            } catch (InvalidProtocolBufferException malformed) {
                mErrors.add(formatLocation(location) + field + ": " + malformed.getMessage());
            }
        }
    }

    private void readDeletions(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            mErrors.add(
                    formatLocation(parser.currentTokenLocation())
                            + "\"delete\" must be an object with lists of names");
            parser.skipChildren();
            return;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String section = parser.currentName();
            EntityKind kind = kindOf(section);
            if (kind == EntityKind.ENTITY_KIND_UNSPECIFIED) {
                mErrors.add(
                        formatLocation(parser.currentTokenLocation())
                                + "field \"delete."
                                + section
                                + "\" is unknown; allowed are services, routes and tenants");
                parser.nextToken();
                parser.skipChildren();
                continue;
            }
            parser.nextToken();
            readNames(parser, "delete." + section, kind);
        }
    }

    private void readNames(JsonParser parser, String section, EntityKind kind) throws IOException {
        if (!startsList(parser, section)) {
            return;
        }
        for (int index = 0; parser.nextToken() != JsonToken.END_ARRAY; index++) {
            JsonLocation location = parser.currentTokenLocation();
            String field = section + "[" + index + "]";
            if (parser.currentToken() == JsonToken.VALUE_STRING) {
                EntityName name = Entities.name(kind, parser.getText());
                addOperation(location, field, Entities.delete(name));
                continue;
            }
            mErrors.add(formatLocation(location) + field + " must be a name in quotation marks");
            parser.skipChildren();
        }
    }

    private boolean startsList(JsonParser parser, String section) throws IOException {
        if (parser.currentToken() == JsonToken.START_ARRAY) {
            return true;
        }
        mErrors.add(
                formatLocation(parser.currentTokenLocation())
                        + "\""
                        + section
                        + "\" must be a list");
        parser.skipChildren();
        return false;
    }

    private void addOperation(JsonLocation location, String field, Operation operation) {
        EntityName name = Entities.nameOf(operation);
        if (name.getName().isEmpty()) {
            mErrors.add(formatLocation(location) + field + " has no name; add the field \"name\"");
            return;
        }
        if (!mNames.add(name)) {
            mErrors.add(
                    formatLocation(location)
                            + field
                            + " names \""
                            + name.getName()
                            + "\" a second time");
            return;
        }
        mOperations.add(operation);
    }

    private static Entity convert(JsonNode node, EntityKind kind)
            throws InvalidProtocolBufferException {
        if (node instanceof ObjectNode object && object.path("workClass").isTextual()) {
            String text = object.get("workClass").asText();
            object.put("workClass", text.startsWith("WORK_CLASS_") ? text : "WORK_CLASS_" + text);
        }
        String json = node.toString();
        return switch (kind) {
            case ENTITY_KIND_SERVICE ->
                    Entity.newBuilder()
                            .setService(merge(json, Service.newBuilder()).build())
                            .build();
            case ENTITY_KIND_ROUTE ->
                    Entity.newBuilder().setRoute(merge(json, Route.newBuilder()).build()).build();
            default ->
                    Entity.newBuilder().setTenant(merge(json, Tenant.newBuilder()).build()).build();
        };
    }

    private static <B extends Message.Builder> B merge(String json, B builder)
            throws InvalidProtocolBufferException {
        JsonFormat.parser().merge(json, builder);
        return builder;
    }

    private static EntityKind kindOf(String section) {
        return switch (section) {
            case "services" -> EntityKind.ENTITY_KIND_SERVICE;
            case "routes" -> EntityKind.ENTITY_KIND_ROUTE;
            case "tenants" -> EntityKind.ENTITY_KIND_TENANT;
            default -> EntityKind.ENTITY_KIND_UNSPECIFIED;
        };
    }

    private String formatLocation(JsonLocation location) {
        if (location.getLineNr() < 1) {
            return mPath + ": ";
        }
        return mPath + ":" + location.getLineNr() + ":" + location.getColumnNr() + ": ";
    }
}
