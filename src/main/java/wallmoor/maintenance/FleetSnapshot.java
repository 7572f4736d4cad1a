package wallmoor.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fleet as it is observed now.
 *
 * @param machines          with distinct ids
 * @param reports           of gatherers, one each
 * @param expectedGatherers how many gatherers there should be; those without a report cannot be reached
 * @param hasQuorum         whether this side of the gatherers may decide
 * @param leader            the leading gatherer, or empty
 */
public record FleetSnapshot(List<Machine> machines, List<BlockHolders> blocks, List<GathererReport> reports,
        int expectedGatherers, boolean hasQuorum, String leader) {
    /** Takes copies of the lists. */
    public FleetSnapshot {
        machines = List.copyOf(machines);
        blocks = List.copyOf(blocks);
        reports = List.copyOf(reports);
    }

    Map<String, Machine> byId() {
        var all = new HashMap<String, Machine>();
        machines.forEach(machine -> all.put(machine.id(), machine));
        return all;
    }

    /** Indexes in {@link #machines}, by id. */
    Map<String, Integer> indexById() {
        var indexes = new HashMap<String, Integer>();
        for (Machine machine : machines) {
            indexes.put(machine.id(), indexes.size());
        }
        return indexes;
    }
}
