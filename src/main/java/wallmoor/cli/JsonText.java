package wallmoor.cli;

import java.util.Collection;
import java.util.stream.Collectors;
import wallmoor.control.ControlClient;
import wallmoor.json.Json;

/** Formats JSON objects as lines for people, each value after its name. */
final class JsonText {
    private JsonText() {}

    /** Formats a line that holds a JSON object; returns any other line unchanged. */
    static String ofLine(String line) {
        try {
            return of(ControlClient.parse(line));
        } catch (Json.Malformed e) {
            return line;
        }
    }

    /** Formats all members of an object in their order, including those of nested objects. */
    static String of(Json.Obj object) {
        return of(object, object.members().keySet());
    }

    /** Formats the given members of an object, in the order of {@code fields}. */
    static String of(Json.Obj object, Collection<String> fields) {
        return fields.stream().map(field -> field + ' ' + formatValue(object.get(field)))
                .collect(Collectors.joining("  "));
    }

    /** Formats a value; integers have no decimal point. */
    private static String formatValue(Object value) {
        if (value instanceof Json.Obj inner) {
            return of(inner);
        }
        boolean isInteger = value instanceof Double d && d == Math.rint(d);
        return isInteger ? String.valueOf(((Double) value).longValue()) : String.valueOf(value);
    }
}
