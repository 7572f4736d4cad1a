package wallmoor.config;

import java.util.Set;

/**
 * Section {@code summaries} of the operators' file: feature servers that are asked for summaries, and may be left out
 * of queries by them. Off where the section is absent. Times are milliseconds.
 *
 * @param sites     hosts of the second front's inventory, by name
 * @param lifetimeMillis  for which a promise counts at most, whatever a site says
 * @param marginMillis    by how much clocks may run apart within one lifetime
 * @param pollMillis      between two askings of a server whether it is about to confirm rows that its summary excludes
 * @param checkShare     of what is left out, asked all the same; with {@code checksPerSecond} and {@code checkBurst}
 *                  its bounds
 * @param maxSummaryBytes of one summary
 * @param memoryBytes    bytes of all summaries as they were sent
 */
public record SummariesConfig(Set<String> sites, long lifetimeMillis, long marginMillis, long pollMillis,
        double checkShare, double checksPerSecond, int checkBurst, int maxSummaryBytes, long memoryBytes) {
    /** Blocks and their summaries' objects fit a small heap by so many sites. */
    private static final int MAX_SITES = 10_000;
    private static final int MIN_BYTES = 1024;
    private static final int MAX_BYTES = 1 << 20;

    static SummariesConfig of(ConfigSection section) {
        boolean on = section.flag("enabled", true);
        var names = section.texts("sites");
        Set<String> sites = Set.copyOf(names);
        if (sites.isEmpty() || sites.size() > MAX_SITES) {
            section.addFault("sites",
                    "is absent, empty or holds more than " + MAX_SITES + ": name hosts of ogc.inventory");
        } else if (sites.size() < names.size()) {
            section.addFault("sites", "holds a host twice");
        }
        long lifetime = section.durationMillis("lifetime", 5_000, 200, 600_000);
        long margin = section.durationMillis("margin", 50, 1, 60_000);
        long poll = section.durationMillis("poll", 100, 10, 60_000);
        if (margin * 2 > lifetime) {
            section.addFault("margin", "is more than half of lifetime: no promise would count for long");
        }
        if (poll * 2 > lifetime) {
            section.addFault("poll", "is more than half of lifetime: a promise would end before it is renewed");
        }
        ConfigSection checks = section.section("checks");
        double share = checks.decimal("share", 0.01, 0, 1);
        double perSecond = checks.decimal("per_second", 10, 0, 100_000);
        int burst = checks.integer("burst", 20, 0, 100_000);
        checks.reportUnknownKeys();
        int mostBytes = section.integer("most_bytes", 64 * 1024, MIN_BYTES, MAX_BYTES);
        int memory = section.integer("memory_mb", 16, 1, 1024);
        section.reportUnknownKeys();
        return on ? new SummariesConfig(sites, lifetime, margin, poll, share, perSecond, burst, mostBytes,
                (long) memory << 20) : null;
    }
}
