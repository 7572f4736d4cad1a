package wallmoor.maintenance;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The last report of a gatherer.
 *
 * @param silentMillis how long the gatherer has not answered; 0 while it answers
 * @param avoids       machines to which it sends no new work; includes its own id if it accepts no new clients
 * @param inFlight     number of parts in flight by machine; under its own id, the number of its clients
 */
public record GathererReport(String gatherer, long silentMillis, Set<String> avoids, Map<String, Integer> inFlight) {
    /** Copies the collections. */
    public GathererReport {
        avoids = Collections.unmodifiableSet(new TreeSet<>(avoids));
        inFlight = Collections.unmodifiableMap(new TreeMap<>(inFlight));
    }

    /** Returns whether the gatherer has nothing in flight on the machine and sends no new work to it. */
    boolean confirmsDrained(String machine) {
        return silentMillis == 0 && avoids.contains(machine) && inFlight.getOrDefault(machine, 0) == 0;
    }
}
