package wallmoor.config;

import java.util.Set;

/**
 * The section {@code summaries} of the operators' file: the feature servers whose summaries are fetched and may
 * exclude them from queries. It is disabled where the section is absent.
 *
 * @param sites           the names of the hosts, as in the inventory of {@code ogc}
 * @param lifetimeMillis  the maximum lifetime of a lease on a summary, whatever the site grants
 * @param marginMillis    the maximum drift between clocks within one lifetime
 * @param pollMillis      the interval of asking a server whether it is about to confirm rows that its summary excludes
 * @param checkShare      the share of the excluded requests that are sent all the same, as checks; limited by
 *                        {@code checksPerSecond} and {@code checkBurst}
 * @param maxSummaryBytes the maximum size of one summary
 * @param memoryBytes     the maximum size of all summaries in their encoded form
 */
public record SummariesConfig(Set<String> sites, long lifetimeMillis, long marginMillis, long pollMillis,
        double checkShare, double checksPerSecond, int checkBurst, int maxSummaryBytes, long memoryBytes) {
    /** With this many sites, the blocks and the objects of their summaries fit a small heap. */
    private static final int MAX_SITES = 10_000;
    private static final int MIN_SUMMARY_BYTES = 1024;
    private static final int MAX_SUMMARY_BYTES = 1 << 20;

    /** Reads the section; returns null where it is disabled. Faults are recorded in the section. */
    static SummariesConfig of(ConfigSection section) {
        boolean isEnabled = section.flag("enabled", true);
        var names = section.texts("sites");
        Set<String> sites = Set.copyOf(names);
        if (sites.isEmpty() || sites.size() > MAX_SITES) {
            section.addFault("sites",
                    "is absent, empty or has more than " + MAX_SITES + " items; name hosts of ogc.inventory");
        } else if (sites.size() < names.size()) {
            section.addFault("sites", "names a host twice");
        }
        long lifetime = section.durationMillis("lifetime", 5_000, 200, 600_000);
        long margin = section.durationMillis("margin", 50, 1, 60_000);
        long poll = section.durationMillis("poll", 100, 10, 60_000);
        if (margin * 2 > lifetime) {
            section.addFault("margin", "is more than half of lifetime; leases would be too short");
        }
        if (poll * 2 > lifetime) {
            section.addFault("poll", "is more than half of lifetime; a lease would expire before its renewal");
        }
        ConfigSection checks = section.section("checks");
        double share = checks.decimal("share", 0.01, 0, 1);
        double perSecond = checks.decimal("per_second", 10, 0, 100_000);
        int burst = checks.integer("burst", 20, 0, 100_000);
        checks.reportUnknownKeys();
        int maxSummaryBytes = section.integer("most_bytes", 64 * 1024, MIN_SUMMARY_BYTES, MAX_SUMMARY_BYTES);
        int memory = section.integer("memory_mb", 16, 1, 1024);
        section.reportUnknownKeys();
        return isEnabled ? new SummariesConfig(sites, lifetime, margin, poll, share, perSecond, burst, maxSummaryBytes,
                (long) memory << 20) : null;
    }
}
