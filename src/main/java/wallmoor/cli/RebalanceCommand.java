package wallmoor.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wallmoor.config.ConfigException;
import wallmoor.config.RebalanceFile;
import wallmoor.json.Json;
import wallmoor.placement.Move;
import wallmoor.placement.PlacementConstraint;
import wallmoor.placement.PlacementPlanner;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.PlacementResult;
import wallmoor.placement.PlanVerifier;

/** Plans which blocks move where; the commands beside {@code plan} carry that out. */
@Command(name = "rebalance", mixinStandardHelpOptions = true,
        description = "Plan moves of blocks between nodes, by bytes and room, and carry them out.",
        subcommands = {RebalanceStartCommand.class, RebalanceStatusCommand.class, RebalanceControlCommand.Pause.class,
            RebalanceControlCommand.Resume.class,
            RebalanceControlCommand.Stop.class, RebalanceStatusCommand.Explain.class})
final class RebalanceCommand extends CommandGroup {
    private static final int OWN_ERROR = 1;
    private static final int NO_PLAN = 3;

    RebalanceCommand() {
        super("plan, start, status, pause, resume, stop or explain");
    }

    @Command(name = "plan", mixinStandardHelpOptions = true,
            description = "Print the moves that copy the least, in a safe order and in waves; nothing is moved.",
            footer = {"Exits 0 with a plan, 2 on a faulty file, 3 without a plan: with \"feasible\":false none",
                "exists, and the rules that stand against it are named; with \"feasible\":null none was found",
                "within the search's bounds."})
    int plan(@Parameters(paramLabel = "FILE", description = "Nodes, blocks and rules, in YAML.") Path file,
            @Option(names = "--json", description = "Print one JSON object.") boolean json) {
        PlacementProblem fleet;
        try {
            fleet = RebalanceFile.read(file);
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE;
        }
        PlacementResult answer = PlacementPlanner.plan(fleet);
        if (answer instanceof PlacementResult.Plan plan) {
            List<String> faults = PlanVerifier.violations(fleet, plan);
            if (!faults.isEmpty()) { // never seen; a plan that is not sound must not be carried out
                faults.forEach(f -> System.err.println("wallmoor: the plan is not sound, and not printed: " + f));
                return OWN_ERROR;
            }
        }
        System.out.println(json ? json(answer) : text(answer));
        return answer instanceof PlacementResult.Plan ? 0 : NO_PLAN;
    }

    private static String text(PlacementResult answer) {
        var text = new StringBuilder();
        if (answer instanceof PlacementResult.Plan plan) {
            for (Move m : plan.moves()) {
                text.append("wave ").append(m.wave()).append(": ").append(m.block()).append(" from ").append(m.from())
                        .append(" to ").append(m.to()).append(", ").append(m.sizeMb()).append(" MB\n");
            }
            return text.append(plan.copiedMb()).append(" MB; no plan copies less than ").append(plan.lowerBoundMb())
                    .append(" MB")
                    .toString();
        }
        if (answer instanceof PlacementResult.Infeasible none) {
            text.append("no plan exists; together these can't be kept")
                    .append(none.minimal() ? ", and no fewer:" : ":");
            for (PlacementConstraint r : none.conflict()) {
                text.append("\n  ").append(name(r)).append(' ')
                        .append(String.join(" ", r.nodes())).append(String.join(" ", r.blocks()));
            }
            return text.toString();
        }
        return "no plan was found, and none was shown not to exist: give more room, a wider level, or plan a part";
    }

    private static String json(PlacementResult answer) {
        var to = new StringBuilder();
        if (answer instanceof PlacementResult.Plan plan) {
            to.append("{\"feasible\":true,\"moves\":");
            list(to, plan.moves(), m -> {
                quoted(to.append("{\"block\":"), m.block());
                quoted(to.append(",\"from\":"), m.from());
                quoted(to.append(",\"to\":"), m.to());
                to.append(",\"mb\":").append(m.sizeMb()).append(",\"wave\":").append(m.wave()).append('}');
            });
            to.append(",\"mb\":").append(plan.copiedMb()).append(",\"bound_mb\":").append(plan.lowerBoundMb())
                    .append(",\"exact\":").append(plan.optimal());
        } else if (answer instanceof PlacementResult.Infeasible none) {
            to.append("{\"feasible\":false,\"because\":");
            list(to, none.conflict(), r -> {
                quoted(to.append("{\"rule\":"), name(r));
                list(to.append(",\"nodes\":"), r.nodes(), n -> quoted(to, n));
                list(to.append(",\"blocks\":"), r.blocks(), b -> quoted(to, b));
                to.append('}');
            });
            to.append(",\"smallest\":").append(none.minimal());
        } else if (answer instanceof PlacementResult.NotFound not) {
            to.append("{\"feasible\":null,\"bound_mb\":").append(not.lowerBoundMb())
                    .append(",\"placements_seen\":").append(not.placementsSeen());
        }
        return to.append('}').toString();
    }

    private static <T> void list(StringBuilder to, List<T> items, Consumer<T> each) {
        to.append('[');
        for (int i = 0; i < items.size(); i++) {
            to.append(i == 0 ? "" : ",");
            each.accept(items.get(i));
        }
        to.append(']');
    }

    private static void quoted(StringBuilder to, String text) {
        Json.quote(to, text);
    }

    private static String name(PlacementConstraint r) {
        return r.rule().name().toLowerCase(Locale.ROOT);
    }
}
