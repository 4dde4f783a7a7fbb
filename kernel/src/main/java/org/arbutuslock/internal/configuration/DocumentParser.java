package org.arbutuslock.internal.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;

/**
 * Parses a configuration document from JSON with comments and reports all errors with their
 * positions.
 *
 * <pre>{@code
 * switch (DocumentParser.parse("fleet.json", reader)) {
 *     case ParseResult.Parsed(ConfigurationDocument document) -> submit(document);
 *     case ParseResult.Malformed(List<DocumentError> errors) -> errors.forEach(this::print);
 * }
 * }</pre>
 */
public final class DocumentParser {
    /** A document with 910,000 tenants takes about 40 MB. */
    private static final long MAXIMUM_CHARACTERS = 256L << 20;

    private static final int MAXIMUM_NESTING = 8;
    private static final int MAXIMUM_STRING_CHARACTERS = 4096;

    /** Parsing stops at this number of errors, since the file is then probably the wrong one. */
    private static final int MAXIMUM_ERRORS = 100;

    private static final int SHOWN_CHARACTERS = 80;

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxDocumentLength(MAXIMUM_CHARACTERS)
                                    .maxNestingDepth(MAXIMUM_NESTING)
                                    .maxStringLength(MAXIMUM_STRING_CHARACTERS)
                                    .maxNameLength(MAXIMUM_STRING_CHARACTERS)
                                    .build())
                    .build();

    private final String mFile;
    private final JsonParser mParser;
    private final List<DocumentError> mErrors = new ArrayList<>();
    private final List<ServiceDefinition> mServices = new ArrayList<>();
    private final List<RouteDefinition> mRoutes = new ArrayList<>();
    private final List<TenantDefinition> mTenants = new ArrayList<>();

    private DocumentParser(String file, JsonParser parser) {
        mFile = file;
        mParser = parser;
    }

    /** Stops parsing after {@link #MAXIMUM_ERRORS} errors. */
    private static final class TooManyErrorsException extends IOException {}

    /**
     * Parses a document.
     *
     * @param file name of the file for error messages
     * @param reader source of the document's text
     * @return the document, or the errors found
     * @throws IOException when the reader fails
     */
    public static ParseResult parse(String file, Reader reader) throws IOException {
        try (JsonParser jsonParser = FACTORY.createParser(reader)) {
            DocumentParser parser = new DocumentParser(file, jsonParser);
            try {
                parser.readDocument();
            } catch (JsonProcessingException syntaxError) {
                parser.addSyntaxError(syntaxError);
            } catch (TooManyErrorsException tooMany) {
                return new ParseResult.Malformed(parser.mErrors);
            }
            return parser.result();
        }
    }

    private ParseResult result() {
        return mErrors.isEmpty()
                ? new ParseResult.Parsed(new ConfigurationDocument(mServices, mRoutes, mTenants))
                : new ParseResult.Malformed(mErrors);
    }

    private void readDocument() throws IOException {
        if (mParser.nextToken() != JsonToken.START_OBJECT) {
            addError("document", describeValue(), "an object with services, routes and tenants");
            return;
        }
        while (mParser.nextToken() != JsonToken.END_OBJECT) {
            String field = mParser.currentName();
            mParser.nextToken();
            switch (field) {
                case "services" ->
                        readEntities(
                                field,
                                DocumentEntities.SERVICE_FIELDS,
                                DocumentEntities::service,
                                mServices);
                case "routes" ->
                        readEntities(
                                field,
                                DocumentEntities.ROUTE_FIELDS,
                                DocumentEntities::route,
                                mRoutes);
                case "tenants" ->
                        readEntities(
                                field,
                                DocumentEntities.TENANT_FIELDS,
                                DocumentEntities::tenant,
                                mTenants);
                default -> rejectValue(field, "services, routes or tenants");
            }
        }
        if (mParser.nextToken() != null) {
            addError("document", describeValue(), "nothing after the document");
        }
    }

    private <T> void readEntities(
            String field,
            Map<String, DocumentField> fields,
            Function<Map<String, Object>, T> create,
            List<T> target)
            throws IOException {
        if (mParser.currentToken() != JsonToken.START_ARRAY) {
            rejectValue(field, "an array");
            return;
        }
        Set<Object> names = new HashSet<>();
        for (int index = 0; mParser.nextToken() != JsonToken.END_ARRAY; index++) {
            int errorsBefore = mErrors.size();
            String path = field + "[" + index + "]";
            Map<String, Object> values = readEntity(path, fields, names);
            if (mErrors.size() == errorsBefore) {
                target.add(create.apply(values));
            }
        }
    }

    private Map<String, Object> readEntity(
            String path, Map<String, DocumentField> fields, Set<Object> names) throws IOException {
        Map<String, Object> values = new HashMap<>();
        if (mParser.currentToken() != JsonToken.START_OBJECT) {
            rejectValue(path, "an object");
            return values;
        }
        Set<String> read = new HashSet<>();
        while (mParser.nextToken() != JsonToken.END_OBJECT) {
            String name = mParser.currentName();
            mParser.nextToken();
            read.add(name);
            readField(path + "." + name, fields, name, values);
            Object ownName = values.get(DocumentEntities.NAME);
            boolean named = name.equals(DocumentEntities.NAME) && ownName != null;
            if (named && !names.add(ownName)) {
                addError(path + ".name", describeValue(), "a name that no other entity has");
            }
        }
        for (Map.Entry<String, DocumentField> field : fields.entrySet()) {
            if (!read.contains(field.getKey())) {
                addDefault(path + "." + field.getKey(), field, values);
            }
        }
        return values;
    }

    private void readField(
            String path, Map<String, DocumentField> fields, String name, Map<String, Object> values)
            throws IOException {
        DocumentField field = fields.get(name);
        if (field == null) {
            rejectValue(path, "one of the fields " + fields.keySet().stream().sorted().toList());
            return;
        }
        JsonLocation location = mParser.currentTokenLocation();
        String shown = describeValue();
        Object value = field.type().read(mParser);
        if (value == null) {
            mParser.skipChildren();
            addError(location, path, shown, field.type().allowed());
        } else {
            values.put(name, value);
        }
    }

    private void addDefault(
            String path, Map.Entry<String, DocumentField> field, Map<String, Object> values)
            throws IOException {
        if (field.getValue().defaultValue() == null) {
            addError(path, "nothing", field.getValue().type().allowed());
        } else {
            values.put(field.getKey(), field.getValue().defaultValue());
        }
    }

    private void rejectValue(String path, String allowed) throws IOException {
        addError(path, describeValue(), allowed);
        mParser.skipChildren();
    }

    private String describeValue() throws IOException {
        JsonToken token = mParser.currentToken();
        if (token == null) {
            return "nothing";
        }
        return switch (token) {
            case START_OBJECT, END_OBJECT -> "an object";
            case START_ARRAY, END_ARRAY -> "an array";
            case VALUE_STRING -> "\"" + shorten(mParser.getText()) + "\"";
            default -> shorten(mParser.getText());
        };
    }

    private static String shorten(String text) {
        return text.length() <= SHOWN_CHARACTERS
                ? text
                : text.substring(0, SHOWN_CHARACTERS) + "...";
    }

    private void addError(String path, String value, String allowed) throws IOException {
        addError(mParser.currentTokenLocation(), path, value, allowed);
    }

    private void addError(JsonLocation location, String path, String value, String allowed)
            throws IOException {
        mErrors.add(
                new DocumentError(
                        mFile, location.getLineNr(), location.getColumnNr(), path, value, allowed));
        if (mErrors.size() == MAXIMUM_ERRORS) {
            throw new TooManyErrorsException();
        }
    }

    private void addSyntaxError(JsonProcessingException syntaxError) {
        // Jackson reports an exceeded size or nesting limit without a location.
        JsonLocation own = syntaxError.getLocation();
        boolean located = own != null && own.getLineNr() > 0;
        JsonLocation location = located ? own : mParser.currentLocation();
        mErrors.add(
                new DocumentError(
                        mFile,
                        location.getLineNr(),
                        location.getColumnNr(),
                        "document",
                        syntaxError.getOriginalMessage(),
                        "JSON with comments"));
    }
}
