package wallmoor.config;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import wallmoor.json.Json;

/**
 * The keys that a configuration has, so that a file which lacks one that another has is known as incomplete. In a list
 * of objects, as of classes, a key counts where all have it. The list of nodes is left out: it is news, not settings.
 */
final class ConfigurationKeys {
    private ConfigurationKeys() {}

    static Set<String> of(Json.Obj config) {
        var found = new TreeSet<String>();
        config.members().forEach((name, value) -> {
            if (!name.equals("known") && value != null) {
                found.add(name);
                below(name, value, found);
            }
        });
        return found;
    }

    private static void below(String path, Object value, Set<String> to) {
        if (value instanceof Json.Obj o) {
            o.members().forEach((name, inner) -> {
                if (inner != null) {
                    to.add(path + "." + name);
                    below(path + "." + name, inner, to);
                }
            });
        } else if (value instanceof List<?> list && !list.isEmpty()
                && list.stream().allMatch(Json.Obj.class::isInstance)) {
            Set<String> all = null;
            for (Object each : list) {
                var own = new TreeSet<String>();
                below(path + ".*", each, own);
                if (all == null) {
                    all = own;
                } else {
                    all.retainAll(own);
                }
            }
            to.addAll(all);
        }
    }

    /** The first key that is missing from these though the others have it, or null. */
    static String missing(Set<String> from, Set<String> others) {
        return others.stream().filter(k -> !from.contains(k)).findFirst().orElse(null);
    }
}
