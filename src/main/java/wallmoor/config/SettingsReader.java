package wallmoor.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
 * Turns settings, flattened to path=value pairs as in the simulator's START, into what the module takes; unknown keys
 * are passed over. The nested JSON of a real gatherer is flattened to the same paths, so that both read alike.
 */
public final class SettingsReader {
    private static final Map<String, Idempotency> EFFECTS = Map.of("free", Idempotency.IDEMPOTENT, "guarded",
            Idempotency.WITH_KEY,
            "single_shot", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, LoadMetric> FIGURES = Map.of("outstanding", LoadMetric.IN_FLIGHT,
            "backlog", LoadMetric.QUEUE, "utilization", LoadMetric.UTILIZATION, "recent_ms", LoadMetric.LATENCY_MS,
            "throughput", LoadMetric.QUERIES_PER_SECOND, "errors_per_s", LoadMetric.ERRORS_PER_SECOND);
    private static final Map<String, Boolean> DISCOVERY = Map.of("automatic", false, "subscribe", true);
    private static final Map<String, Boolean> BOOLEANS = Map.of("true", true, "false", false, "1", true, "0", false);

    private final Map<String, String> pairs;

    /** Reads from these pairs. */
    public SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** The settings, checked for presence and form. */
    public RoutingSettings settings() {
        var classes = new ArrayList<QueryClass>();
        for (int i = 0; i < whole("Classes.count"); i++) {
            classes.add(queryClass(i));
        }
        var tenants = new ArrayList<Tenant>();
        for (int i = 0; i < whole("Projects.count", 0); i++) {
            String at = "Projects." + i + ".";
            tenants.add(new Tenant(decimal(at + "AllowancePerS"), decimal(at + "Share", 0)));
        }
        return new RoutingSettings((int) whole("Instances"), (int) whole("Position"), (int) whole("Az", 0),
                whole("Round"), word("Discovery", DISCOVERY), List.copyOf(classes), List.copyOf(tenants),
                decimal("OverShareWorth", 1), "work".equals(pairs.get("WorthBy")),
                flag("Clients.MarksRetry", false), layout(), limits(), rules(), costs());
    }

    /** The figures in a load report, in order. */
    public List<LoadMetric> columns() {
        String columns = pairs.getOrDefault("LoadReport.Columns", "");
        if (columns.isEmpty()) {
            return List.of();
        }
        var figures = new ArrayList<LoadMetric>();
        for (String column : columns.split(",")) {
            figures.add(FIGURES.getOrDefault(column, LoadMetric.OTHER));
        }
        return List.copyOf(figures);
    }

    private QueryClass queryClass(int i) {
        String at = "Classes." + i + ".";
        double need = listed("Domain.NeedByClass", i, 1);
        return new QueryClass(decimal(at + "Worth"), decimal(at + "LateWorth", 0), whole(at + "Aim"),
                decimal(at + "AimStretch", 0), whole(at + "GiveUp"), word(at + "Repeat", EFFECTS),
                whole(at + "DedupWindow", 0), need, listed("Domain.FloorByClass", i, need),
                listed("Domain.PartialEarns", i, 0), (int) listed("Domain.FollowUp", i, 0));
    }

    private ShardLayout layout() {
        return new ShardLayout((int) whole("Domain.Slabs"), (int) whole("Domain.Sets"), (int) whole("Domain.Reach"));
    }

    private PlatformLimits limits() {
        return new PlatformLimits(flag("Limits.Cancelling", false), flag("Limits.ParallelTries", false),
                flag("Limits.Probes", false), flag("Limits.Peers", false), flag("Limits.RetryAfter", false),
                whole("Limits.MaxRetryAfter", 0), (int) whole("Limits.MaxAttempts"),
                (int) whole("Limits.MaxOpen", Integer.MAX_VALUE), (int) whole("Domain.BundleMax", 1),
                whole("Limits.ConnectTimeout", 0));
    }

    private PlatformRules rules() {
        return new PlatformRules(whole("Contract.GraceToAnswer", 0), whole("Contract.DrainGrace"),
                decimal("Contract.ColdShare"), whole("Contract.Cold"), decimal("Contract.FallMultiple"),
                whole("Contract.OverloadFor"), whole("Contract.AskWithin", 0), whole("Contract.BudgetWindow", 0),
                decimal("Contract.MinExtra", 0), decimal("Contract.RepeatRatio", 0));
    }

    private CostModel costs() {
        double whole = decimal("ObjectiveMix.Whole", 0);
        return new CostModel(decimal("Costs.CrossZone", 0), decimal("Costs.Waste", 0), decimal("Costs.LateFail", 0),
                decimal("Costs.Probe", 0), decimal("Costs.Peer", 0), whole > 0
                        ? Math.max(0, decimal("ObjectiveMix.WorstClass", 0)) / whole : 0);
    }

    private String required(String path) {
        String value = pairs.get(path);
        if (value == null) {
            throw new ConfigException(path, "lacks the required setting " + path);
        }
        return value;
    }

    private long whole(String path) {
        double value = decimal(path);
        if (value != Math.rint(value)) {
            throw new ConfigException(path, "has no whole number at " + path + ": " + pairs.get(path));
        }
        return (long) value;
    }

    private long whole(String path, long otherwise) {
        return absent(path) ? otherwise : whole(path);
    }

    private double decimal(String path) {
        return parse(path, required(path));
    }

    private double decimal(String path, double otherwise) {
        return absent(path) ? otherwise : decimal(path);
    }

    private double listed(String path, int i, double otherwise) {
        String[] values = pairs.getOrDefault(path, "").split(",");
        return i < values.length && !values[i].isEmpty() ? parse(path, values[i]) : otherwise;
    }

    private double parse(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException(path, "has no number at " + path + ": " + value);
        }
    }

    private boolean flag(String path, boolean otherwise) {
        return absent(path) ? otherwise : word(path, BOOLEANS);
    }

    private <T> T word(String path, Map<String, T> words) {
        T found = words.get(required(path));
        if (found == null) {
            throw new ConfigException(path, "has an unknown word at " + path + ": " + pairs.get(path));
        }
        return found;
    }

    private boolean absent(String path) {
        String value = pairs.get(path);
        return value == null || value.isEmpty() || value.equals("-");
    }
}
