package org.arbutuslock.internal.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.WeightedService;
import org.arbutuslock.api.WorkClass;

/**
 * One field of an entity in a document.
 *
 * @param type type of its value
 * @param defaultValue value when the field is absent, or null when the field is required
 */
record DocumentField(Type type, Object defaultValue) {
    /** Type of a field. Reading a value of another type returns null. */
    enum Type {
        TEXT("a string") {
            @Override
            Object read(JsonParser parser) throws IOException {
                return parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : null;
            }
        },
        INTEGER("an integer of 32 bits") {
            @Override
            Object read(JsonParser parser) throws IOException {
                boolean integer = parser.currentToken() == JsonToken.VALUE_NUMBER_INT;
                boolean fits = integer && parser.getNumberType() == JsonParser.NumberType.INT;
                return fits ? Integer.valueOf(parser.getIntValue()) : null;
            }
        },
        BOOLEAN("true or false") {
            @Override
            Object read(JsonParser parser) throws IOException {
                return parser.currentToken().isBoolean()
                        ? Boolean.valueOf(parser.getBooleanValue())
                        : null;
            }
        },
        TEXT_MAP("an object with string values") {
            @Override
            Object read(JsonParser parser) throws IOException {
                return readTextMap(parser);
            }
        },
        WEIGHTS("an object with services and their weights") {
            @Override
            Object read(JsonParser parser) throws IOException {
                return readWeights(parser);
            }
        },
        FLOOR("a number of endpoints, or a share such as \"75%\"") {
            @Override
            Object read(JsonParser parser) throws IOException {
                Object count = INTEGER.read(parser);
                if (count != null) {
                    return new Floor.Count((Integer) count);
                }
                String text = (String) TEXT.read(parser);
                boolean share = text != null && text.matches("[0-9]{1,3}%");
                return share
                        ? new Floor.Share(Integer.parseInt(text, 0, text.length() - 1, 10))
                        : null;
            }
        },
        WORK_CLASS("\"SHORT\" or \"LONG\"") {
            @Override
            Object read(JsonParser parser) throws IOException {
                String text = (String) TEXT.read(parser);
                for (WorkClass workClass : WorkClass.values()) {
                    if (workClass.name().equals(text)) {
                        return workClass;
                    }
                }
                return null;
            }
        };

        private final String mAllowed;

        Type(String allowed) {
            mAllowed = allowed;
        }

        String allowed() {
            return mAllowed;
        }

        abstract Object read(JsonParser parser) throws IOException;

        private static Object readWeights(JsonParser parser) throws IOException {
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                return null;
            }
            List<WeightedService> result = new ArrayList<>();
            boolean allNumbers = true;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String service = parser.currentName();
                parser.nextToken();
                Object weight = INTEGER.read(parser);
                allNumbers &= weight != null;
                if (weight != null) {
                    result.add(new WeightedService(service, (Integer) weight));
                } else {
                    parser.skipChildren();
                }
            }
            return allNumbers ? result : null;
        }

        private static Object readTextMap(JsonParser parser) throws IOException {
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                return null;
            }
            Map<String, String> result = new LinkedHashMap<>();
            boolean allText = true;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                boolean text = parser.nextToken() == JsonToken.VALUE_STRING;
                allText &= text;
                if (text) {
                    result.put(name, parser.getText());
                } else {
                    parser.skipChildren();
                }
            }
            return allText ? result : null;
        }
    }

    static DocumentField required(Type type) {
        return new DocumentField(type, null);
    }

    static DocumentField optional(Type type, Object defaultValue) {
        return new DocumentField(type, defaultValue);
    }
}
