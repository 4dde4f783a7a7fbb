package org.arbutuslock.internal.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON with comments and records the line and column of every value. */
final class LocatedJsonReader {
    /**
     * Valid settings have 3 levels. Every level holds a copy of its path, so memory grows with the
     * square of the depth and a deeper limit would let a malformed file use much memory.
     */
    private static final int MAXIMUM_NESTING = 16;

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAXIMUM_NESTING)
                                    .build())
                    .build();

    private final ProblemCollector mProblems;

    LocatedJsonReader(ProblemCollector problems) {
        mProblems = problems;
    }

    /** Returns the root object, or null after the reason for its absence was reported. */
    LocatedValue.Section read(String text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            return readRoot(parser);
        }
    }

    private LocatedValue.Section readRoot(JsonParser parser) throws IOException {
        try {
            parser.nextToken();
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                mProblems.add(1, 1, "", "", "the file must hold one JSON object in braces");
                return null;
            }
            LocatedValue.Section root = readSection(parser, "");
            if (parser.nextToken() != null) {
                JsonLocation location = parser.currentTokenLocation();
                mProblems.add(
                        location.getLineNr(),
                        location.getColumnNr(),
                        "",
                        "",
                        "text follows the end of the JSON object; remove it");
            }
            return root;
        } catch (JsonProcessingException malformed) {
            // Exceptions about size or nesting limits have no location.
            JsonLocation own = malformed.getLocation();
            boolean located = own != null && own.getLineNr() > 0;
            JsonLocation location = located ? own : parser.currentLocation();
            mProblems.add(
                    location.getLineNr(),
                    location.getColumnNr(),
                    "",
                    "",
                    "malformed JSON: " + malformed.getOriginalMessage());
            return null;
        }
    }

    private LocatedValue readValue(JsonParser parser, String path) throws IOException {
        JsonLocation location = parser.currentTokenLocation();
        int line = location.getLineNr();
        int column = location.getColumnNr();
        JsonToken token = parser.currentToken();
        return switch (token) {
            case START_OBJECT -> readSection(parser, path + ".");
            case START_ARRAY -> {
                List<LocatedValue> elements = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    elements.add(readValue(parser, path + "[" + elements.size() + "]"));
                }
                yield new LocatedValue.Array(line, column, elements);
            }
            default ->
                    new LocatedValue.Scalar(
                            line,
                            column,
                            token == JsonToken.VALUE_STRING,
                            token == JsonToken.VALUE_NUMBER_INT,
                            parser.getText());
        };
    }

    private LocatedValue.Section readSection(JsonParser parser, String prefix) throws IOException {
        JsonLocation start = parser.currentTokenLocation();
        Map<String, LocatedValue.Member> members = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonLocation location = parser.currentTokenLocation();
            parser.nextToken();
            LocatedValue.Member member =
                    new LocatedValue.Member(
                            location.getLineNr(),
                            location.getColumnNr(),
                            readValue(parser, prefix + name));
            LocatedValue.Member earlier = members.put(name, member);
            if (earlier != null) {
                mProblems.add(
                        member.line(),
                        member.column(),
                        prefix + name,
                        member.value().display(),
                        "it is already set in line " + earlier.line() + "; remove one of the two");
            }
        }
        return new LocatedValue.Section(start.getLineNr(), start.getColumnNr(), members);
    }
}
