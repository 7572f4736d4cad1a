package wallmoor.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import wallmoor.json.Json;

/**
 * Flattens nested JSON to the paths of the simulator's START. The items of a list of scalars are joined by commas; a
 * list of objects becomes a count and one path per index.
 */
final class SettingsFlattener {
    private SettingsFlattener() {}

    /** Returns the values by path. */
    static Map<String, String> of(Json.Obj settings) {
        var pairs = new HashMap<String, String>();
        settings.members().forEach((name, value) -> put(pairs, name, value));
        return pairs;
    }

    private static void put(Map<String, String> pairs, String path, Object value) {
        if (value instanceof Json.Obj o) {
            o.members().forEach((name, inner) -> put(pairs, path + "." + name, inner));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Json.Obj.class::isInstance)) {
            pairs.put(path + ".count", "" + list.size());
            for (int i = 0; i < list.size(); i++) {
                put(pairs, path + "." + i, list.get(i));
            }
        } else if (value instanceof List<?> list) {
            var joined = new StringJoiner(","); // a collector would make the JDK generate classes at each start
            list.forEach(v -> joined.add(scalar(v)));
            pairs.put(path, joined.toString());
        } else if (value != null) {
            pairs.put(path, scalar(value));
        }
    }

    private static String scalar(Object value) {
        return value instanceof String s ? s.replace(' ', '_').replace(',', '_') : String.valueOf(value);
    }
}
