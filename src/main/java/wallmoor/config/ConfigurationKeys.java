package wallmoor.config;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import wallmoor.json.Json;

/**
 * Collects the paths of the keys that a configuration has, to detect a file that lacks a key of another one. A key in
 * a list of objects, such as the classes, counts if all the objects have it. The list of endpoints ({@code known}) is
 * left out, because it is state and not a setting.
 */
final class ConfigurationKeys {
    private ConfigurationKeys() {}

    /** Returns the paths of the keys with a value; {@code *} stands for any index of a list. */
    static Set<String> of(Json.Obj config) {
        var found = new TreeSet<String>();
        config.members().forEach((name, value) -> {
            if (!name.equals("known") && value != null) {
                found.add(name);
                addNested(name, value, found);
            }
        });
        return found;
    }

    private static void addNested(String path, Object value, Set<String> found) {
        if (value instanceof Json.Obj o) {
            o.members().forEach((name, inner) -> {
                if (inner != null) {
                    found.add(path + "." + name);
                    addNested(path + "." + name, inner, found);
                }
            });
        } else if (value instanceof List<?> list && !list.isEmpty()
                && list.stream().allMatch(Json.Obj.class::isInstance)) {
            Set<String> common = null;
            for (Object item : list) {
                var keys = new TreeSet<String>();
                addNested(path + ".*", item, keys);
                if (common == null) {
                    common = keys;
                } else {
                    common.retainAll(keys);
                }
            }
            found.addAll(common);
        }
    }

    /** Returns the first of the required keys that is not among {@code keys}, or null. */
    static String missing(Set<String> keys, Set<String> required) {
        return required.stream().filter(k -> !keys.contains(k)).findFirst().orElse(null);
    }
}
