package wallmoor.cli;

import java.util.Collection;
import java.util.stream.Collectors;
import wallmoor.control.ControlClient;
import wallmoor.json.Json;

/** JSON objects as lines for people: each value after its name. */
final class JsonText {
    private JsonText() {}

    /** A line of JSON for people; one that is no object stays as it is. */
    static String ofLine(String line) {
        try {
            return of(ControlClient.parse(line));
        } catch (Json.Malformed e) {
            return line;
        }
    }

    /** An object's values in their order, each after its name; those of an object in it as well. */
    static String of(Json.Obj object) {
        return of(object, object.members().keySet());
    }

    /** The same of these fields, in their order. */
    static String of(Json.Obj object, Collection<String> fields) {
        return fields.stream().map(field -> field + ' ' + plain(object.get(field)))
                .collect(Collectors.joining("  "));
    }

    /** A value: whole numbers without a point. */
    private static String plain(Object value) {
        if (value instanceof Json.Obj inner) {
            return of(inner);
        }
        boolean whole = value instanceof Double d && d == Math.rint(d);
        return whole ? String.valueOf(((Double) value).longValue()) : String.valueOf(value);
    }
}
