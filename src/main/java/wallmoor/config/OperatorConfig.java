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
 * The operators' file, for all settings that the platform does not have: sources of nodes, additional fronts, logging.
 * It is YAML; it is read and checked completely, and each fault is reported with the path and the line of its key.
 * {@code WALLMOOR_OPERATOR} names the file. Without one the program does only what the platform expects, at no
 * additional cost.
 *
 * @param list      the node list of discovery
 * @param inventory the file of calendar nodes, or null
 * @param dns       DNS as a source, or null where it is off
 * @param ogc       the front that serves features, or null where it is off
 * @param edge      the front for devices, or null where it is off
 * @param fleet     the group of gatherers, or null where it is off
 * @param summaries the use of feature servers' summaries, or null where it is off
 * @param rules     the agreement on rules among the gatherers, or null where it is off
 */
public record OperatorConfig(NodeList list, InventoryFile inventory, Dns dns, OgcConfig ogc, EdgeConfig edge,
        FleetConfig fleet, SummariesConfig summaries, RulesConfig rules, LogConfig logging) {
    /** New names of packages by their former names, which {@code logging.levels} may still have. */
    private static final Map<String, String> RENAMED_PACKAGES = Map.of("membership", "endpoints", "versions", "rules",
            "agreement", "consensus", "exchange", "idempotency", "moves", "migration", "prune", "pruning", "model",
            "simulation", "figures", "metrics");

    /** The maximum number of nodes of one source. A node takes about a kilobyte, so that all fit a small heap. */
    public static final int MAX_NODES = 20_000;
    private static final int MAX_BYTES = 1 << 20;
    private static final int MAX_NAMES = 64;
    private static final long DAY_MILLIS = 86_400_000;

    /**
     * The node list that discovery's watch delivers.
     *
     * @param maxAgeMillis how long the last list is used while discovery can't be reached; 0 is for ever
     */
    public record NodeList(boolean enabled, long maxAgeMillis) {}

    /** A file of calendar nodes, in CSV or YAML. */
    public record InventoryFile(Path file) {}

    /**
     * A name that has SRV records.
     *
     * @param cell the cell of all its nodes, or -1 if their TXT records give it
     */
    public record DnsName(String name, int cell) {}

    /**
     * DNS as a source.
     *
     * @param maxAgeMillis    how long the last good answer is used while no server gives one
     * @param minTtlMillis    the minimum of a TTL; a shorter one is raised to it
     * @param maxTtlMillis    the maximum of a TTL; a longer one is lowered to it
     * @param timeoutMillis   the timeout of one attempt at one server
     * @param maxRecords      the maximum number of SRV records, and of nodes
     * @param maxLeavingShare the maximum share of the nodes that may leave in one step on the word of DNS alone
     */
    public record Dns(List<InetSocketAddress> servers, List<DnsName> names, long maxAgeMillis, long minTtlMillis,
            long maxTtlMillis, long timeoutMillis, int maxRecords, double maxLeavingShare) {}

    /** The log: text or JSON lines, and the levels by logger name. */
    public record LogConfig(boolean json, Map<String, String> levels) {}

    /** Returns the configuration that applies without a file. */
    public static OperatorConfig defaults() {
        return new OperatorConfig(new NodeList(true, 0), null, null, null, null, null, null, null,
                new LogConfig(false, Map.of()));
    }

    /** Returns whether the node list is the only source of calendar nodes. */
    public boolean isListOnly() {
        return list.enabled() && inventory == null && dns == null;
    }

    /** Reads the file that the environment names, or returns the defaults where it names none. */
    public static OperatorConfig read(Map<String, String> env, LaunchConfig launch) {
        String file = env.get("WALLMOOR_OPERATOR");
        return file == null || file.isEmpty() ? defaults() : read(Path.of(file), launch);
    }

    /**
     * Reads a file.
     *
     * @throws ConfigException with all faults in its message, one per line
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
            boolean isEnabled = section.flag("enabled", true);
            Path path = folder.resolve(section.requiredText("file"));
            section.reportUnknownKeys();
            inventory = isEnabled ? new InventoryFile(path) : null;
        }
        Dns dns = sources.has("dns") ? dns(sources.section("dns"), launch) : null;
        sources.section("inventory");
        sources.section("dns");
        sources.reportUnknownKeys();
        if (!nodeList.enabled() && inventory == null && dns == null) {
            root.addFault("sources", "has no enabled source");
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
            root.addFault("summaries", "needs the section ogc, whose feature servers provide them");
        }
        RulesConfig rules = root.has("rules") ? RulesConfig.of(root.section("rules"), folder, launch) : null;
        root.section("rules");
        LogConfig logging = logging(root.section("logging"));
        root.reportUnknownKeys();
        return new OperatorConfig(nodeList, inventory, dns, ogc, edge, fleet, summaries, rules, logging);
    }

    private static Dns dns(ConfigSection section, LaunchConfig launch) {
        boolean isEnabled = section.flag("enabled", true);
        List<InetSocketAddress> servers = section.addresses("servers");
        if (servers.isEmpty()) {
            section.addFault("servers",
                    "is absent, empty or has no valid address; the system's resolver is not used instead");
        }
        var names = new ArrayList<DnsName>();
        Set<String> seen = new HashSet<>();
        for (ConfigSection item : section.sections("names")) {
            String name = item.requiredText("name");
            int cell = item.integer("cell", -1, 0, launch.settings().layout().cells() - 1);
            if (!name.isEmpty() && (!name.matches("[!-~]{1,253}") || !seen.add(name))) {
                item.addFault("name", "is not a valid name, or a duplicate: " + name);
            }
            item.reportUnknownKeys();
            names.add(new DnsName(name, cell));
        }
        if (names.size() > MAX_NAMES) {
            section.addFault("names", "has more than " + MAX_NAMES + " items; each has its own thread");
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
        return isEnabled ? dns : null;
    }

    private static LogConfig logging(ConfigSection section) {
        boolean isJson = section.value("format", false, t -> switch (t) {
            case "text" -> false;
            case "json" -> true;
            default -> throw new IllegalArgumentException();
        }, "must be text or json");
        var levels = new LinkedHashMap<String, String>();
        ConfigSection levelSection = section.section("levels");
        for (String name : levelSection.keys()) {
            String level = levelSection.value(name, "INFO", t -> {
                String upper = t.toUpperCase(java.util.Locale.ROOT);
                if (!Set.of("TRACE", "DEBUG", "INFO", "WARN", "ERROR", "OFF").contains(upper)) {
                    throw new IllegalArgumentException();
                }
                return upper;
            }, "must be trace, debug, info, warn, error or off");
            levels.put(loggerName(name), level);
        }
        section.reportUnknownKeys();
        return new LogConfig(isJson, Map.copyOf(levels));
    }

    /** Returns the name of the logger for a key of {@code logging.levels}; a former package name is replaced. */
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
