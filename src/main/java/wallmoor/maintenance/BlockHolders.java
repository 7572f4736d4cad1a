package wallmoor.maintenance;

import java.util.List;

/** A block, and the machines that hold a whole and sound copy of it, without doubles. */
public record BlockHolders(String id, List<String> holders) {
    public BlockHolders {
        holders = List.copyOf(holders);
    }
}
