package wallmoor.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fleet as it is seen now.
 *
 * @param machines  by distinct ids
 * @param reports     of gatherers, one each
 * @param expectedGatherers how many there are meant to be; those without a word can't be asked
 * @param hasQuorum    whether this side of the gatherers may decide
 * @param leader    the gatherer that leads, or empty
 */
public record FleetSnapshot(List<Machine> machines, List<BlockHolders> blocks, List<GathererReport> reports,
        int expectedGatherers,
        boolean hasQuorum,
        String leader) {
    public FleetSnapshot {
        machines = List.copyOf(machines);
        blocks = List.copyOf(blocks);
        reports = List.copyOf(reports);
    }

    /** Its machines by id. */
    Map<String, Machine> byId() {
        var all = new HashMap<String, Machine>();
        machines.forEach(m -> all.put(m.id(), m));
        return all;
    }
}
