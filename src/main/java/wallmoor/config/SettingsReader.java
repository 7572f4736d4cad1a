package wallmoor.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import wallmoor.decision.CostModel;
import wallmoor.decision.Idempotency;
import wallmoor.decision.LoadMetric;
import wallmoor.decision.PlatformLimits;
import wallmoor.decision.PlatformRules;
import wallmoor.decision.QueryClass;
import wallmoor.decision.RoutingSettings;
import wallmoor.decision.ShardLayout;
import wallmoor.decision.Tenant;

/**
 * Reads the settings of the decision module from path=value pairs, as in the simulator's START; unknown keys are
 * ignored. The nested JSON of a real gatherer is flattened to the same paths, so that both are read in the same way.
 */
public final class SettingsReader {
    private static final Map<String, Idempotency> IDEMPOTENCY_BY_WORD = Map.of("free", Idempotency.IDEMPOTENT,
            "guarded", Idempotency.WITH_KEY, "single_shot", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, LoadMetric> METRIC_BY_COLUMN = Map.of("outstanding", LoadMetric.IN_FLIGHT,
            "backlog", LoadMetric.QUEUE, "utilization", LoadMetric.UTILIZATION, "recent_ms", LoadMetric.LATENCY_MS,
            "throughput", LoadMetric.QUERIES_PER_SECOND, "errors_per_s", LoadMetric.ERRORS_PER_SECOND);
    private static final Map<String, Boolean> WATCH_BY_DISCOVERY_WORD = Map.of("automatic", false, "subscribe", true);
    private static final Map<String, Boolean> BOOLEANS = Map.of("true", true, "false", false, "1", true, "0", false);

    private final Map<String, String> pairs;

    /** Creates a reader of these pairs. */
    public SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** Returns the settings; only the presence and the form of the values are checked. */
    public RoutingSettings settings() {
        var classes = new ArrayList<QueryClass>();
        for (int i = 0; i < integer("Classes.count"); i++) {
            classes.add(queryClass(i));
        }
        var tenants = new ArrayList<Tenant>();
        for (int i = 0; i < integer("Projects.count", 0); i++) {
            String prefix = "Projects." + i + ".";
            tenants.add(new Tenant(decimal(prefix + "AllowancePerS"), decimal(prefix + "Share", 0)));
        }
        return new RoutingSettings((int) integer("Instances"), (int) integer("Position"), (int) integer("Az", 0),
                integer("Round"), word("Discovery", WATCH_BY_DISCOVERY_WORD), List.copyOf(classes),
                List.copyOf(tenants),
                decimal("OverShareWorth", 1), "work".equals(pairs.get("WorthBy")),
                flag("Clients.MarksRetry", false), layout(), limits(), rules(), costs());
    }

    /** Returns the metrics in a load report, in order. */
    public List<LoadMetric> columns() {
        String columns = pairs.getOrDefault("LoadReport.Columns", "");
        if (columns.isEmpty()) {
            return List.of();
        }
        var metrics = new ArrayList<LoadMetric>();
        for (String column : columns.split(",")) {
            metrics.add(METRIC_BY_COLUMN.getOrDefault(column, LoadMetric.OTHER));
        }
        return List.copyOf(metrics);
    }

    private QueryClass queryClass(int index) {
        String prefix = "Classes." + index + ".";
        double completeShare = listed("Domain.NeedByClass", index, 1);
        return new QueryClass(decimal(prefix + "Worth"), decimal(prefix + "LateWorth", 0), integer(prefix + "Aim"),
                decimal(prefix + "AimStretch", 0), integer(prefix + "GiveUp"),
                word(prefix + "Repeat", IDEMPOTENCY_BY_WORD),
                integer(prefix + "DedupWindow", 0), completeShare,
                listed("Domain.FloorByClass", index, completeShare),
                listed("Domain.PartialEarns", index, 0), (int) listed("Domain.FollowUp", index, 0));
    }

    private ShardLayout layout() {
        return new ShardLayout((int) integer("Domain.Slabs"), (int) integer("Domain.Sets"),
                (int) integer("Domain.Reach"));
    }

    private PlatformLimits limits() {
        return new PlatformLimits(flag("Limits.Cancelling", false), flag("Limits.ParallelTries", false),
                flag("Limits.Probes", false), flag("Limits.Peers", false), flag("Limits.RetryAfter", false),
                integer("Limits.MaxRetryAfter", 0), (int) integer("Limits.MaxAttempts"),
                (int) integer("Limits.MaxOpen", Integer.MAX_VALUE), (int) integer("Domain.BundleMax", 1),
                integer("Limits.ConnectTimeout", 0));
    }

    private PlatformRules rules() {
        return new PlatformRules(integer("Contract.GraceToAnswer", 0), integer("Contract.DrainGrace"),
                decimal("Contract.ColdShare"), integer("Contract.Cold"), decimal("Contract.FallMultiple"),
                integer("Contract.OverloadFor"), integer("Contract.AskWithin", 0), integer("Contract.BudgetWindow", 0),
                decimal("Contract.MinExtra", 0), decimal("Contract.RepeatRatio", 0));
    }

    private CostModel costs() {
        double totalWeight = decimal("ObjectiveMix.Whole", 0);
        return new CostModel(decimal("Costs.CrossZone", 0), decimal("Costs.Waste", 0), decimal("Costs.LateFail", 0),
                decimal("Costs.Probe", 0), decimal("Costs.Peer", 0), totalWeight > 0
                        ? Math.max(0, decimal("ObjectiveMix.WorstClass", 0)) / totalWeight : 0);
    }

    private String required(String path) {
        String value = pairs.get(path);
        if (value == null) {
            throw new ConfigException(path, "lacks the required setting " + path);
        }
        return value;
    }

    private long integer(String path) {
        double value = decimal(path);
        if (value != Math.rint(value)) {
            throw new ConfigException(path, "needs an integer at " + path + ", not " + pairs.get(path));
        }
        return (long) value;
    }

    private long integer(String path, long defaultValue) {
        return isAbsent(path) ? defaultValue : integer(path);
    }

    private double decimal(String path) {
        return parse(path, required(path));
    }

    private double decimal(String path, double defaultValue) {
        return isAbsent(path) ? defaultValue : decimal(path);
    }

    /** Returns an item of a list of numbers joined by commas; the default where the item is absent or empty. */
    private double listed(String path, int index, double defaultValue) {
        String[] values = pairs.getOrDefault(path, "").split(",");
        return index < values.length && !values[index].isEmpty() ? parse(path, values[index]) : defaultValue;
    }

    private double parse(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException(path, "needs a number at " + path + ", not " + value);
        }
    }

    private boolean flag(String path, boolean defaultValue) {
        return isAbsent(path) ? defaultValue : word(path, BOOLEANS);
    }

    private <T> T word(String path, Map<String, T> words) {
        T found = words.get(required(path));
        if (found == null) {
            throw new ConfigException(path, "has an unknown value at " + path + ": " + pairs.get(path)
                    + "; allowed are " + new TreeSet<>(words.keySet()));
        }
        return found;
    }

    /** Returns whether a path has no value; the simulator writes {@code -} for none. */
    private boolean isAbsent(String path) {
        String value = pairs.get(path);
        return value == null || value.isEmpty() || value.equals("-");
    }
}
