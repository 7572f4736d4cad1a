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
import wallmoor.placement.Answer;
import wallmoor.placement.Fleet;
import wallmoor.placement.Move;
import wallmoor.placement.PlanCheck;
import wallmoor.placement.Planner;
import wallmoor.placement.Reason;

/** Plans which blocks move where; the commands beside {@code plan} carry that out. */
@Command(name = "rebalance", mixinStandardHelpOptions = true,
        description = "Plan moves of blocks between nodes, by bytes and room, and carry them out.",
        subcommands = {RebalanceStart.class, RebalanceStatus.class, RebalanceWish.Pause.class,
            RebalanceWish.Resume.class,
            RebalanceWish.Stop.class, RebalanceStatus.Explain.class})
final class RebalanceCommand extends Parent {
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
        Fleet fleet;
        try {
            fleet = RebalanceFile.read(file);
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE;
        }
        Answer answer = Planner.plan(fleet);
        if (answer instanceof Answer.Plan plan) {
            List<String> faults = PlanCheck.faults(fleet, plan);
            if (!faults.isEmpty()) { // never seen; a plan that is not sound must not be carried out
                faults.forEach(f -> System.err.println("wallmoor: the plan is not sound, and not printed: " + f));
                return OWN_ERROR;
            }
        }
        System.out.println(json ? json(answer) : text(answer));
        return answer instanceof Answer.Plan ? 0 : NO_PLAN;
    }

    private static String text(Answer answer) {
        var text = new StringBuilder();
        if (answer instanceof Answer.Plan plan) {
            for (Move m : plan.moves()) {
                text.append("wave ").append(m.wave()).append(": ").append(m.block()).append(" from ").append(m.from())
                        .append(" to ").append(m.to()).append(", ").append(m.mb()).append(" MB\n");
            }
            return text.append(plan.mb()).append(" MB; no plan copies less than ").append(plan.boundMb()).append(" MB")
                    .toString();
        }
        if (answer instanceof Answer.Infeasible none) {
            text.append("no plan exists; together these can't be kept")
                    .append(none.smallest() ? ", and no fewer:" : ":");
            for (Reason r : none.because()) {
                text.append("\n  ").append(name(r)).append(' ')
                        .append(String.join(" ", r.nodes())).append(String.join(" ", r.blocks()));
            }
            return text.toString();
        }
        return "no plan was found, and none was shown not to exist: give more room, a wider level, or plan a part";
    }

    private static String json(Answer answer) {
        var to = new StringBuilder();
        if (answer instanceof Answer.Plan plan) {
            to.append("{\"feasible\":true,\"moves\":");
            list(to, plan.moves(), m -> {
                quoted(to.append("{\"block\":"), m.block());
                quoted(to.append(",\"from\":"), m.from());
                quoted(to.append(",\"to\":"), m.to());
                to.append(",\"mb\":").append(m.mb()).append(",\"wave\":").append(m.wave()).append('}');
            });
            to.append(",\"mb\":").append(plan.mb()).append(",\"bound_mb\":").append(plan.boundMb())
                    .append(",\"exact\":").append(plan.exact());
        } else if (answer instanceof Answer.Infeasible none) {
            to.append("{\"feasible\":false,\"because\":");
            list(to, none.because(), r -> {
                quoted(to.append("{\"rule\":"), name(r));
                list(to.append(",\"nodes\":"), r.nodes(), n -> quoted(to, n));
                list(to.append(",\"blocks\":"), r.blocks(), b -> quoted(to, b));
                to.append('}');
            });
            to.append(",\"smallest\":").append(none.smallest());
        } else if (answer instanceof Answer.NotFound not) {
            to.append("{\"feasible\":null,\"bound_mb\":").append(not.boundMb())
                    .append(",\"placements_seen\":").append(not.states());
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

    private static String name(Reason r) {
        return r.rule().name().toLowerCase(Locale.ROOT);
    }
}
