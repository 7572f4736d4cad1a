package wallmoor.summaries;

/** Who holds a region block: a calendar node or feature server, and which block of it. */
public record Site(String name, String block) {}
