package wallmoor.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fleet as currently observed.
 *
 * @param machines          the machines, with distinct ids
 * @param reports           the last reports of the gatherers, one for each
 * @param expectedGatherers the number of gatherers that should exist; those without a report are unreachable
 * @param hasQuorum         whether this partition of the gatherers has a quorum
 * @param leader            the id of the leading gatherer, or empty
 */
public record FleetSnapshot(List<Machine> machines, List<BlockHolders> blocks, List<GathererReport> reports,
        int expectedGatherers, boolean hasQuorum, String leader) {
    /** Copies the lists. */
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

    /** Returns the index of each machine in {@link #machines}, by id. */
    Map<String, Integer> indexById() {
        var indexes = new HashMap<String, Integer>();
        for (Machine machine : machines) {
            indexes.put(machine.id(), indexes.size());
        }
        return indexes;
    }
}
