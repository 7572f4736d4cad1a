package wallmoor.maintenance;

import java.util.List;

/** A block and the distinct machines that hold a complete and valid replica of it. */
public record BlockHolders(String id, List<String> holders) {
    /** Copies the list. */
    public BlockHolders {
        holders = List.copyOf(holders);
    }
}
