import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and writes the small JSON bodies of the platform. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private char skip() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char next = skip();
        if (next == '{') {
            return object();
        }
        if (next == '[') {
            return array();
        }
        if (next == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        while (skip() != '}') {
            if (text.charAt(at) == ',') {
                at++;
                skip();
            }
            String name = string();
            skip();
            at++;
            fields.put(name, value());
        }
        at++;
        return fields;
    }

    private List<Object> array() {
        List<Object> items = new ArrayList<>();
        at++;
        while (skip() != ']') {
            if (text.charAt(at) == ',') {
                at++;
            }
            items.add(value());
        }
        at++;
        return items;
    }

    private String string() {
        StringBuilder read = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char next = text.charAt(at);
            if (next == '\\') {
                next = text.charAt(++at);
                next = next == 'n' ? '\n' : next == 't' ? '\t' : next;
            }
            read.append(next);
        }
        at++;
        return read.toString();
    }
}
