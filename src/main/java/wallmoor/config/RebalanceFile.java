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
 * The file that {@code rebalance plan} reads: nodes, the blocks they hold, and what is asked of their placement. It is
 * YAML, read and checked whole; every fault is told with its key's path and its line.
 */
public final class RebalanceFile {
    /** What plans were measured with, several times over; a larger fleet is better planned in parts. */
    public static final int MAX_NODES = 1_000;
    public static final int MAX_BLOCKS = 50_000;
    /** Of so many blocks, each in some 300 characters. */
    private static final int MAX_BYTES = 16 << 20;
    private static final long DAY_MILLIS = 86_400_000;

    private RebalanceFile() {}

    /**
     * How the moves of a file are carried out.
     *
     * @param addresses of nodes, host:port; those without one can't be asked
     * @param atOnce    moves at once
     * @param longestQueryMillis a query ends within it; where gatherers agree on the plan, {@code settle} covers it and
     *                  the term
     */
    public record MigrationConfig(Map<String, String> addresses, int atOnce, double mbPerSecond, int chunkKb,
            long settleMillis,
            long longestQueryMillis, long patienceMillis, long retryMillis) {}

    /** All that a file says. */
    public record RebalancePlanInput(PlacementProblem problem, MigrationConfig migration) {}

    /**
     * Reads a file.
     *
     * @throws ConfigException with all faults in its message, one a line
     */
    public static PlacementProblem read(Path file) {
        return readPlanInput(file).problem();
    }

    /**
     * Reads a file, with how its moves are carried out.
     *
     * @throws ConfigException with all faults in its message, one a line
     */
    public static RebalancePlanInput readPlanInput(Path file) {
        var faults = new ArrayList<ConfigSection.Fault>();
        var root = new ConfigSection("", YamlFile.compose(file, MAX_BYTES), faults);
        int headroom = millionths(root, "headroom", PlacementProblem.MILLION - 1, 0);
        FailureDomain spread = present(root, "spread") ? root.value("spread", FailureDomain.CELL, t -> switch (t) {
            case "cell" -> FailureDomain.CELL;
            case "node" -> FailureDomain.NODE;
            default -> throw new IllegalArgumentException();
        }, "is neither cell nor node") : FailureDomain.CELL;
        int level = root.has("level") ? millionths(root, "level", PlacementProblem.MILLION, 0)
                : PlacementProblem.NO_LEVEL;
        root.text("level", ""); // known, also where it is absent
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
                section.addFault("disk_mb", "has not a megabyte beside its headroom");
            }
            nodes.add(new StorageNode(id, cell, disk, section.flag("drain", false)));
            if (section.address("address") != null) {
                addresses.put(id, section.text("address", ""));
            }
            section.text("address", ""); // known, also where it is absent
            section.reportUnknownKeys();
        }
        return nodes;
    }

    private static List<BlockReplicas> blocks(ConfigSection root, List<StorageNode> nodes) {
        Set<String> known = new HashSet<>();
        nodes.forEach(n -> known.add(n.id()));
        List<BlockReplicas> blocks = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (ConfigSection section : root.nonEmptySections("blocks", MAX_BLOCKS)) {
            String id = section.uniqueId(ids);
            long mb = megabytes(section, "mb");
            List<String> on = section.texts("on");
            if (on.isEmpty()) {
                section.addFault("on", "is absent or empty: a block without a whole copy can't be moved");
            }
            Set<String> own = new HashSet<>();
            for (String node : on) {
                if (!known.contains(node)) {
                    section.addFault("on", "names a node that is not there: " + node);
                } else if (!own.add(node)) {
                    section.addFault("on", "names a node twice: " + node);
                }
            }
            section.reportUnknownKeys();
            blocks.add(new BlockReplicas(id, mb, on));
        }
        return blocks;
    }

    private static boolean present(ConfigSection section, String key) {
        if (!section.has(key)) {
            section.addFault(key, "is absent");
        }
        return section.has(key);
    }

    private static long megabytes(ConfigSection section, String key) {
        return present(section, key) ? section.integer(key, 1, 1, (int) PlacementProblem.MOST_MB)
                : section.integer(key, 1, 1, 1);
    }

    /** A share as millionths. */
    private static int millionths(ConfigSection section, String key, int most, int defaultValue) {
        present(section, key);
        return section.value(key, defaultValue, t -> {
            try {
                int n = new BigDecimal(t).movePointRight(6).intValueExact();
                if (n < 0 || n > most) {
                    throw new IllegalArgumentException();
                }
                return n;
            } catch (ArithmeticException e) {
                throw new IllegalArgumentException(e);
            }
        }, "is no share from 0 to " + BigDecimal.valueOf(most, 6).stripTrailingZeros().toPlainString()
                + " with six decimals at most");
    }
}
