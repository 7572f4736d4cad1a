package wallmoor.summaries;

/** A holder of a region block: the name of a calendar node or feature server, and the block. */
public record Site(String name, String block) {}
