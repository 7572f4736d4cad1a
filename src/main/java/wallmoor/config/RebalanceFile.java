package wallmoor.config;

import java.math.BigDecimal;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import wallmoor.placement.BlockReplicas;
import wallmoor.placement.FailureDomain;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.StorageNode;

/**
 * The file that {@code rebalance plan} reads: the nodes, the blocks they hold, and the constraints on the placement. It
 * is YAML; it is read and checked completely, and each fault is reported with the path and the line of its key.
 */
public final class RebalanceFile {
    /** Several times the size for which planning was measured; a larger fleet is better planned in parts. */
    public static final int MAX_NODES = 1_000;
    public static final int MAX_BLOCKS = 50_000;
    /** The maximum size of the file: that many blocks, with some 300 characters for each. */
    private static final int MAX_BYTES = 16 << 20;
    private static final long DAY_MILLIS = 86_400_000;

    private RebalanceFile() {}

    /**
     * Parameters of the migration: how the moves of a plan are carried out.
     *
     * @param addresses          the addresses of the nodes by id, as host:port; a node without one can't be contacted
     * @param atOnce             the maximum number of concurrent moves
     * @param longestQueryMillis the longest duration of a query; where gatherers agree on the plan, {@code settle} must
     *                           cover it and the term
     * @param retryMillis        the delay before a request or a proposal is repeated
     */
    public record MigrationConfig(Map<String, String> addresses, int atOnce, double mbPerSecond, int chunkKb,
            long settleMillis, long longestQueryMillis, long patienceMillis, long retryMillis) {}

    /** The content of a file. */
    public record RebalancePlanInput(PlacementProblem problem, MigrationConfig migration) {}

    /**
     * Reads a file.
     *
     * @throws ConfigException with all faults in its message, one per line
     */
    public static PlacementProblem read(Path file) {
        return readPlanInput(file).problem();
    }

    /**
     * Reads a file, with the parameters of the migration.
     *
     * @throws ConfigException with all faults in its message, one per line
     */
    public static RebalancePlanInput readPlanInput(Path file) {
        var faults = new ArrayList<ConfigSection.Fault>();
        var root = new ConfigSection("", YamlFile.compose(file, MAX_BYTES), faults);
        int headroom = millionths(root, "headroom", PlacementProblem.MILLION - 1, 0);
        FailureDomain spread = isPresent(root, "spread") ? root.value("spread", FailureDomain.CELL, t -> switch (t) {
            case "cell" -> FailureDomain.CELL;
            case "node" -> FailureDomain.NODE;
            default -> throw new IllegalArgumentException();
        }, "must be cell or node") : FailureDomain.CELL;
        int level = root.has("level") ? millionths(root, "level", PlacementProblem.MILLION, 0)
                : PlacementProblem.NO_LEVEL;
        root.text("level", ""); // makes the key known where it is absent
        var addresses = new TreeMap<String, String>();
        List<StorageNode> nodes = nodes(root, headroom, spread, addresses);
        List<BlockReplicas> blocks = blocks(root, nodes);
        ConfigSection carry = root.section("carry");
        var migration = new MigrationConfig(addresses, carry.integer("at_once", 2, 1, 1_000),
                carry.decimal("mb_per_s", 50, 0.001, 100_000),
                carry.integer("chunk_kb", 1_024, 1, 65_536), carry.durationMillis("settle", 10_000, 0, DAY_MILLIS),
                carry.durationMillis("longest_query", 5_000, 0, DAY_MILLIS),
                carry.durationMillis("patience", 60_000, 0, DAY_MILLIS),
                carry.durationMillis("again", 1_000, 10, 60_000));
        carry.reportUnknownKeys();
        root.reportUnknownKeys();
        YamlFile.throwIfFaulty(file, faults);
        return new RebalancePlanInput(new PlacementProblem(headroom, spread, level, nodes, blocks), migration);
    }

    private static List<StorageNode> nodes(ConfigSection root, int headroom, FailureDomain spread,
            Map<String, String> addresses) {
        List<StorageNode> nodes = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (ConfigSection section : root.nonEmptySections("nodes", MAX_NODES)) {
            String id = section.uniqueId(ids);
            String cell = spread == FailureDomain.CELL ? section.requiredText("cell") : section.text("cell", "");
            long disk = megabytes(section, "disk_mb");
            if (disk * (PlacementProblem.MILLION - headroom) < PlacementProblem.MILLION) {
                section.addFault("disk_mb", "leaves less than one megabyte besides the headroom");
            }
            nodes.add(new StorageNode(id, cell, disk, section.flag("drain", false)));
            if (section.address("address") != null) {
                addresses.put(id, section.text("address", ""));
            }
            section.text("address", ""); // makes the key known where it is absent
            section.reportUnknownKeys();
        }
        return nodes;
    }

    private static List<BlockReplicas> blocks(ConfigSection root, List<StorageNode> nodes) {
        Set<String> nodeIds = new HashSet<>();
        nodes.forEach(n -> nodeIds.add(n.id()));
        List<BlockReplicas> blocks = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (ConfigSection section : root.nonEmptySections("blocks", MAX_BLOCKS)) {
            String id = section.uniqueId(ids);
            long mb = megabytes(section, "mb");
            List<String> holders = section.texts("on");
            if (holders.isEmpty()) {
                section.addFault("on", "is absent or empty; a block without a complete copy can't be moved");
            }
            Set<String> seen = new HashSet<>();
            for (String node : holders) {
                if (!nodeIds.contains(node)) {
                    section.addFault("on", "names a node that is not in nodes: " + node);
                } else if (!seen.add(node)) {
                    section.addFault("on", "names a node twice: " + node);
                }
            }
            section.reportUnknownKeys();
            blocks.add(new BlockReplicas(id, mb, holders));
        }
        return blocks;
    }

    /** Returns whether a required key is there; its absence is a fault. */
    private static boolean isPresent(ConfigSection section, String key) {
        if (!section.has(key)) {
            section.addFault(key, "is absent");
        }
        return section.has(key);
    }

    private static long megabytes(ConfigSection section, String key) {
        return isPresent(section, key) ? section.integer(key, 1, 1, (int) PlacementProblem.MAX_MB)
                : section.integer(key, 1, 1, 1);
    }

    /** Returns a share in millionths. */
    private static int millionths(ConfigSection section, String key, int max, int defaultValue) {
        isPresent(section, key);
        return section.value(key, defaultValue, t -> {
            try {
                int millionths = new BigDecimal(t).movePointRight(6).intValueExact();
                if (millionths < 0 || millionths > max) {
                    throw new IllegalArgumentException();
                }
                return millionths;
            } catch (ArithmeticException e) {
                throw new IllegalArgumentException(e);
            }
        }, "must be a share from 0 to " + BigDecimal.valueOf(max, 6).stripTrailingZeros().toPlainString()
                + " with at most six decimals");
    }
}
