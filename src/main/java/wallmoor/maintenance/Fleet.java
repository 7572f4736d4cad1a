package wallmoor.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fleet as it is seen now.
 *
 * @param machines  by distinct ids
 * @param words     of gatherers, one each
 * @param gatherers how many there are meant to be; those without a word can't be asked
 * @param quorum    whether this side of the gatherers may decide
 * @param leader    the gatherer that leads, or empty
 */
public record Fleet(List<Machine> machines, List<Block> blocks, List<GathererReport> words, int gatherers,
        boolean quorum,
        String leader) {
    public Fleet {
        machines = List.copyOf(machines);
        blocks = List.copyOf(blocks);
        words = List.copyOf(words);
    }

    /** Its machines by id. */
    Map<String, Machine> byId() {
        var all = new HashMap<String, Machine>();
        machines.forEach(m -> all.put(m.id(), m));
        return all;
    }
}
