package wallmoor.maintenance;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a gatherer said last.
 *
 * @param silentFor how long it has not answered, in milliseconds; 0 where it answers
 * @param heeds     machines that it sends nothing new to, or itself where it takes no clients
 * @param out       parts out, by machine; under its own name the clients that it has
 */
public record GathererReport(String gatherer, long silentFor, Set<String> heeds, Map<String, Integer> out) {
    public GathererReport {
        heeds = java.util.Collections.unmodifiableSet(new TreeSet<>(heeds));
        out = java.util.Collections.unmodifiableMap(new TreeMap<>(out));
    }

    /** By its word it has nothing on the machine, and will have nothing. */
    boolean frees(String machine) {
        return silentFor == 0 && heeds.contains(machine) && out.getOrDefault(machine, 0) == 0;
    }
}
