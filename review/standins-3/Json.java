import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(final String text) {
        this.text = text;
    }

    /** Reads one value. */
    static Object read(final String text) {
        return new Json(text).value();
    }

    /** Reads an object. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(final String text) {
        return (Map<String, Object>) read(text);
    }

    /** Writes a value. */
    static String write(final Object value) {
        final StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(final Object value, final StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (final Map.Entry<?, ?> each : map.entrySet()) {
                out.append(separator).append('"').append(each.getKey()).append("\":");
                write(each.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (final Object each : list) {
                out.append(separator);
                write(each, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"').append(string.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        skipSpaces();
        switch (text.charAt(at)) {
            case '{':
                return objectValue();
            case '[':
                return listValue();
            case '"':
                return stringValue();
            default:
                return plainValue();
        }
    }

    private Map<String, Object> objectValue() {
        final Map<String, Object> result = new LinkedHashMap<>();
        at++;
        skipSpaces();
        while (text.charAt(at) != '}') {
            skipSpaces();
            final String name = stringValue();
            skipSpaces();
            at++;
            result.put(name, value());
            skipSpaces();
            if (text.charAt(at) == ',') {
                at++;
            }
            skipSpaces();
        }
        at++;
        return result;
    }

    private List<Object> listValue() {
        final List<Object> result = new ArrayList<>();
        at++;
        skipSpaces();
        while (text.charAt(at) != ']') {
            result.add(value());
            skipSpaces();
            if (text.charAt(at) == ',') {
                at++;
            }
            skipSpaces();
        }
        at++;
        return result;
    }

    private String stringValue() {
        final StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            if (text.charAt(at) == '\\') {
                at++;
                if (text.charAt(at) == 'u') {
                    result.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 5;
                    continue;
                }
            }
            result.append(text.charAt(at));
            at++;
        }
        at++;
        return result.toString();
    }

    private Object plainValue() {
        final int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        final String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private void skipSpaces() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}
