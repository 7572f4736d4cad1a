package wallmoor.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The operators' own file, for all that the platform does not set: sources of nodes, further fronts, logging. It is
 * YAML, read and checked whole; every fault is told with its key's path and its line. {@code WALLMOOR_OPERATOR} names
 * it. Where none is named the program is as the platform knows it, and nothing of this costs anything.
 *
 * @param inventory a file of calendar nodes, or null
 * @param dns       null where DNS is not asked
 * @param ogc       the second front, or null where it is off
 * @param edge      the front for devices, or null where it is off
 * @param fleet     the group of gatherers, or null where it is off
 * @param summaries what feature servers promise, or null where they are not asked
 * @param rules     what they agree on, or null where it is off
 */
public record OperatorConfig(NodeList list, InventoryFile inventory, Dns dns, OgcConfig ogc, EdgeConfig edge,
        FleetConfig fleet, SummariesConfig summaries, RulesConfig rules, LogConfig logging) {
    /** Packages by the name they had before, which operators' files may still have under {@code logging.levels}. */
    private static final Map<String, String> RENAMED_PACKAGES = Map.of("membership", "endpoints", "versions", "rules",
            "agreement", "consensus", "exchange", "idempotency", "moves", "migration", "prune", "pruning", "model",
            "simulation", "figures", "metrics");

    /** Nodes of one source at most: a record of each takes about a kilobyte, so that all fit a small heap. */
    public static final int MAX_NODES = 20_000;
    private static final int MAX_BYTES = 1 << 20;
    private static final int MAX_NAMES = 64;
    private static final long DAY_MILLIS = 86_400_000;

    /**
     * The node list by discovery's watch.
     *
     * @param maxAgeMillis milliseconds that it stands when it can't be had; 0 for ever
     */
    public record NodeList(boolean enabled, long maxAgeMillis) {}

    /** A file of calendar nodes, in CSV or YAML. */
    public record InventoryFile(Path file) {}

    /**
     * A name that has SRV records.
     *
     * @param cell the cell of all its nodes, or -1 where their TXT records tell
     */
    public record DnsName(String name, int cell) {}

    /**
     * DNS as a source. Times are milliseconds.
     *
     * @param maxAgeMillis     how long the last good answer stands when no server gives one
     * @param minTtlMillis    a shorter lifetime counts as this one
     * @param maxTtlMillis     a longer one as this
     * @param timeoutMillis for one try at one server
     * @param maxRecords SRV records, and nodes, at most
     * @param maxLeavingShare the share of the nodes that may leave within a step on DNS's word alone
     */
    public record Dns(List<InetSocketAddress> servers, List<DnsName> names, long maxAgeMillis, long minTtlMillis,
            long maxTtlMillis, long timeoutMillis, int maxRecords, double maxLeavingShare) {}

    /** The log: readable or JSON lines, and its levels by package. */
    public record LogConfig(boolean json, Map<String, String> levels) {}

    /** What holds without a file. */
    public static OperatorConfig defaults() {
        return new OperatorConfig(new NodeList(true, 0), null, null, null, null, null, null, null,
                new LogConfig(false, Map.of()));
    }

    /** Whether the node list is the only source of calendar nodes. */
    public boolean isListOnly() {
        return list.enabled() && inventory == null && dns == null;
    }

    /** Reads the file that the environment names, or gives what holds without one. */
    public static OperatorConfig read(Map<String, String> env, LaunchConfig launch) {
        String named = env.get("WALLMOOR_OPERATOR");
        return named == null || named.isEmpty() ? defaults() : read(Path.of(named), launch);
    }

    /**
     * Reads a file.
     *
     * @throws ConfigException with all faults in its message, one a line
     */
    public static OperatorConfig read(Path file, LaunchConfig launch) {
        var faults = new ArrayList<ConfigSection.Fault>();
        OperatorConfig operator = read(file, launch, faults);
        YamlFile.throwIfFaulty(file, faults);
        return operator;
    }

    private static OperatorConfig read(Path file, LaunchConfig launch, List<ConfigSection.Fault> faults) {
        var root = new ConfigSection("", YamlFile.compose(file, MAX_BYTES), faults);
        Path folder = file.toAbsolutePath().getParent();
        ConfigSection sources = root.section("sources");
        ConfigSection list = sources.section("list");
        var nodeList = new NodeList(list.flag("enabled", true), list.durationMillis("most_age", 0, 0, 30 * DAY_MILLIS));
        list.reportUnknownKeys();
        InventoryFile inventory = null;
        if (sources.has("inventory")) {
            ConfigSection section = sources.section("inventory");
            boolean on = section.flag("enabled", true);
            Path path = folder.resolve(section.requiredText("file"));
            section.reportUnknownKeys();
            inventory = on ? new InventoryFile(path) : null;
        }
        Dns dns = sources.has("dns") ? dns(sources.section("dns"), launch) : null;
        sources.section("inventory");
        sources.section("dns");
        sources.reportUnknownKeys();
        if (!nodeList.enabled() && inventory == null && dns == null) {
            root.addFault("sources", "holds none that is enabled");
        }
        OgcConfig ogc = root.has("ogc") ? OgcConfig.of(root.section("ogc"), folder, launch) : null;
        root.section("ogc");
        EdgeConfig edge = root.has("edge") ? EdgeConfig.of(root.section("edge"), folder) : null;
        root.section("edge");
        FleetConfig fleet = root.has("fleet") ? FleetConfig.of(root.section("fleet"), launch) : null;
        root.section("fleet");
        SummariesConfig summaries = root.has("summaries") ? SummariesConfig.of(root.section("summaries")) : null;
        root.section("summaries");
        if (summaries != null && ogc == null) {
            root.addFault("summaries", "needs the section ogc, whose feature servers promise them");
        }
        RulesConfig rules = root.has("rules") ? RulesConfig.of(root.section("rules"), folder, launch) : null;
        root.section("rules");
        LogConfig logging = logging(root.section("logging"));
        root.reportUnknownKeys();
        return new OperatorConfig(nodeList, inventory, dns, ogc, edge, fleet, summaries, rules, logging);
    }

    private static Dns dns(ConfigSection section, LaunchConfig launch) {
        boolean on = section.flag("enabled", true);
        List<InetSocketAddress> servers = section.addresses("servers");
        if (servers.isEmpty()) {
            section.addFault("servers", "is absent, empty or holds no address: no system's resolver is asked instead");
        }
        var names = new ArrayList<DnsName>();
        Set<String> seen = new HashSet<>();
        for (ConfigSection item : section.sections("names")) {
            String name = item.requiredText("name");
            int cell = item.integer("cell", -1, 0, launch.settings().layout().cells() - 1);
            if (!name.isEmpty() && (!name.matches("[!-~]{1,253}") || !seen.add(name))) {
                item.addFault("name", "is no name, or stands twice: " + name);
            }
            item.reportUnknownKeys();
            names.add(new DnsName(name, cell));
        }
        if (names.size() > MAX_NAMES) {
            section.addFault("names", "holds more than " + MAX_NAMES + ": each has a thread of its own");
        }
        if (names.isEmpty()) {
            section.addFault("names", "is absent or empty");
        }
        var dns = new Dns(servers, List.copyOf(names),
                section.durationMillis("most_age", 3_600_000, 1000, 30 * DAY_MILLIS),
                section.durationMillis("least_ttl", 1000, 100, DAY_MILLIS),
                section.durationMillis("most_ttl", 300_000, 1000, DAY_MILLIS),
                section.durationMillis("timeout", 1500, 50, 10_000),
                section.integer("most_records", 1000, 1, MAX_NODES),
                section.decimal("leaving", 0.2, 0.01, 1));
        if (dns.minTtlMillis() > dns.maxTtlMillis()) {
            section.addFault("least_ttl", "is longer than most_ttl");
        }
        section.reportUnknownKeys();
        return on ? dns : null;
    }

    private static LogConfig logging(ConfigSection section) {
        boolean json = section.value("format", false, t -> switch (t) {
            case "text" -> false;
            case "json" -> true;
            default -> throw new IllegalArgumentException();
        }, "is neither text nor json");
        var levels = new LinkedHashMap<String, String>();
        ConfigSection each = section.section("levels");
        for (String name : each.keys()) {
            String level = each.value(name, "INFO", t -> {
                String upper = t.toUpperCase(java.util.Locale.ROOT);
                if (!Set.of("TRACE", "DEBUG", "INFO", "WARN", "ERROR", "OFF").contains(upper)) {
                    throw new IllegalArgumentException();
                }
                return upper;
            }, "is none of trace, debug, info, warn, error and off");
            levels.put(loggerName(name), level);
        }
        section.reportUnknownKeys();
        return new LogConfig(json, Map.copyOf(levels));
    }

    /** The logger that a key of {@code logging.levels} names; packages may be named as they were called before. */
    private static String loggerName(String key) {
        if (key.equals("root")) {
            return "ROOT";
        }
        String name = key.startsWith("wallmoor.") ? key.substring("wallmoor.".length()) : key;
        int dot = name.indexOf('.');
        String first = dot < 0 ? name : name.substring(0, dot);
        String rest = dot < 0 ? "" : name.substring(dot);
        return name.equals("wallmoor") ? name : "wallmoor." + RENAMED_PACKAGES.getOrDefault(first, first) + rest;
    }
}
