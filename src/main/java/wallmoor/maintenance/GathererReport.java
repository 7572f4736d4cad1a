package wallmoor.maintenance;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A gatherer's last report.
 *
 * @param silentMillis for how long the gatherer has not answered; 0 where it answers
 * @param avoids       machines that it sends nothing new to; itself where it accepts no clients
 * @param inFlight     parts in flight, by machine; under its own name its clients
 */
public record GathererReport(String gatherer, long silentMillis, Set<String> avoids, Map<String, Integer> inFlight) {
    /** Takes copies of the collections. */
    public GathererReport {
        avoids = Collections.unmodifiableSet(new TreeSet<>(avoids));
        inFlight = Collections.unmodifiableMap(new TreeMap<>(inFlight));
    }

    /** Whether the gatherer says that nothing of its own is on the machine, nor will be. */
    boolean confirmsDrained(String machine) {
        return silentMillis == 0 && avoids.contains(machine) && inFlight.getOrDefault(machine, 0) == 0;
    }
}
