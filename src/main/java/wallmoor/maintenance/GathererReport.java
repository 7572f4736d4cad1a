package wallmoor.maintenance;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a gatherer said last.
 *
 * @param silentMillis how long it has not answered, in milliseconds; 0 where it answers
 * @param avoids     machines that it sends nothing new to, or itself where it takes no clients
 * @param inFlight       parts out, by machine; under its own name the clients that it has
 */
public record GathererReport(String gatherer, long silentMillis, Set<String> avoids, Map<String, Integer> inFlight) {
    public GathererReport {
        avoids = java.util.Collections.unmodifiableSet(new TreeSet<>(avoids));
        inFlight = java.util.Collections.unmodifiableMap(new TreeMap<>(inFlight));
    }

    /** By its word it has nothing on the machine, and will have nothing. */
    boolean confirmsDrained(String machine) {
        return silentMillis == 0 && avoids.contains(machine) && inFlight.getOrDefault(machine, 0) == 0;
    }
}
