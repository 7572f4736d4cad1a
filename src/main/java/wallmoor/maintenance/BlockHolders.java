package wallmoor.maintenance;

import java.util.List;

/** A block, and the distinct machines that hold a complete and sound replica of it. */
public record BlockHolders(String id, List<String> holders) {
    /** Takes a copy of the list. */
    public BlockHolders {
        holders = List.copyOf(holders);
    }
}
