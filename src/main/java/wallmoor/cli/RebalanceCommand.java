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

/** Plans the moves of blocks between nodes; the subcommands other than {@code plan} execute them. */
@Command(name = "rebalance", mixinStandardHelpOptions = true,
        description = "Plan moves of blocks between nodes, by size and free space, and execute them.",
        subcommands = {RebalanceStartCommand.class, RebalanceStatusCommand.class, RebalanceControlCommand.Pause.class,
            RebalanceControlCommand.Resume.class,
            RebalanceControlCommand.Stop.class, RebalanceStatusCommand.Explain.class})
final class RebalanceCommand extends CommandGroup {
    private static final int INTERNAL_ERROR = 1;
    private static final int NO_PLAN = 3;

    RebalanceCommand() {
        super("plan, start, status, pause, resume, stop or explain");
    }

    @Command(name = "plan", mixinStandardHelpOptions = true,
            description = "Print the moves that copy the fewest bytes, in a safe order and in waves; nothing is moved.",
            footer = {"Exits 0 with a plan, 1 if the plan fails its verification, 2 on an invalid file, 3 without",
                "a plan: with \"feasible\":false none exists, and the conflicting rules are listed; with",
                "\"feasible\":null none was found within the limits of the search."})
    int plan(@Parameters(paramLabel = "FILE", description = "Nodes, blocks and rules, in YAML.") Path file,
            @Option(names = "--json", description = "Print one JSON object.") boolean json) {
        PlacementProblem problem;
        try {
            problem = RebalanceFile.read(file);
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE_ERROR;
        }
        PlacementResult result = PlacementPlanner.plan(problem);
        if (result instanceof PlacementResult.Plan plan) {
            List<String> violations = PlanVerifier.violations(problem, plan);
            if (!violations.isEmpty()) { // a bug of the planner; an invalid plan must not be executed
                violations.forEach(violation -> System.err
                        .println("wallmoor: the planner's result is invalid and is not printed: " + violation));
                return INTERNAL_ERROR;
            }
        }
        System.out.println(json ? json(result) : text(result));
        return result instanceof PlacementResult.Plan ? 0 : NO_PLAN;
    }

    private static String text(PlacementResult result) {
        var text = new StringBuilder();
        if (result instanceof PlacementResult.Plan plan) {
            for (Move move : plan.moves()) {
                text.append("wave ").append(move.wave()).append(": ").append(move.block()).append(" from ")
                        .append(move.from()).append(" to ").append(move.to()).append(", ").append(move.sizeMb())
                        .append(" MB\n");
            }
            return text.append(plan.copiedMb()).append(" MB; no plan copies less than ").append(plan.lowerBoundMb())
                    .append(" MB")
                    .toString();
        }
        if (result instanceof PlacementResult.Infeasible infeasible) {
            text.append("no plan exists; these constraints conflict")
                    .append(infeasible.minimal() ? ", and no fewer of them do:" : ":");
            for (PlacementConstraint constraint : infeasible.conflict()) {
                text.append("\n  ").append(ruleName(constraint)).append(' ')
                        .append(String.join(" ", constraint.nodes())).append(String.join(" ", constraint.blocks()));
            }
            return text.toString();
        }
        return "no plan was found, though one may exist: allow more space or a wider level,"
                + " or plan fewer blocks at once";
    }

    private static String json(PlacementResult result) {
        var json = new StringBuilder();
        if (result instanceof PlacementResult.Plan plan) {
            json.append("{\"feasible\":true,\"moves\":");
            appendList(json, plan.moves(), m -> {
                appendQuoted(json.append("{\"block\":"), m.block());
                appendQuoted(json.append(",\"from\":"), m.from());
                appendQuoted(json.append(",\"to\":"), m.to());
                json.append(",\"mb\":").append(m.sizeMb()).append(",\"wave\":").append(m.wave()).append('}');
            });
            json.append(",\"mb\":").append(plan.copiedMb()).append(",\"bound_mb\":").append(plan.lowerBoundMb())
                    .append(",\"exact\":").append(plan.optimal());
        } else if (result instanceof PlacementResult.Infeasible infeasible) {
            json.append("{\"feasible\":false,\"because\":");
            appendList(json, infeasible.conflict(), r -> {
                appendQuoted(json.append("{\"rule\":"), ruleName(r));
                appendList(json.append(",\"nodes\":"), r.nodes(), n -> appendQuoted(json, n));
                appendList(json.append(",\"blocks\":"), r.blocks(), b -> appendQuoted(json, b));
                json.append('}');
            });
            json.append(",\"smallest\":").append(infeasible.minimal());
        } else if (result instanceof PlacementResult.NotFound notFound) {
            json.append("{\"feasible\":null,\"bound_mb\":").append(notFound.lowerBoundMb())
                    .append(",\"placements_seen\":").append(notFound.placementsSeen());
        }
        return json.append('}').toString();
    }

    private static <T> void appendList(StringBuilder json, List<T> items, Consumer<T> each) {
        json.append('[');
        for (int i = 0; i < items.size(); i++) {
            json.append(i == 0 ? "" : ",");
            each.accept(items.get(i));
        }
        json.append(']');
    }

    private static void appendQuoted(StringBuilder json, String text) {
        Json.quote(json, text);
    }

    private static String ruleName(PlacementConstraint constraint) {
        return constraint.rule().name().toLowerCase(Locale.ROOT);
    }
}
