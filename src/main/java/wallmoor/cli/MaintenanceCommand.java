package wallmoor.cli;

import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wallmoor.config.ConfigException;
import wallmoor.config.MaintenanceFile;
import wallmoor.json.Json;
import wallmoor.maintenance.MaintenanceCodec;
import wallmoor.maintenance.MaintenanceConstraint;
import wallmoor.maintenance.MaintenancePlanner;
import wallmoor.maintenance.SchedulingResult;
import wallmoor.maintenance.SchedulingResult.OutageSlot;

/** Plans in which order machines are taken out for work. */
@Command(name = "maintenance", mixinStandardHelpOptions = true,
        description = "Plan in which order machines are taken out for work.")
final class MaintenanceCommand extends CommandGroup {
    private static final int NO_PLAN = 3;
    private static final double MILLION = 1e6;

    MaintenanceCommand() {
        super("plan");
    }

    @Command(name = "plan", mixinStandardHelpOptions = true,
            description = "Print the order, when each machine goes, and what is left meanwhile; nothing is taken out.",
            footer = {"Exits 0 with an order, 2 on a faulty file, 3 without an order: with \"feasible\":false none is "
                    + "possible,",
                "and the blocks, machines and budgets that stand against it are named; with \"feasible\":\"waits\" "
                        + "there is",
                "none until what is out by itself is back."})
    int plan(@Parameters(paramLabel = "FILE", description = "Machines, blocks, budgets and wishes, in YAML.") Path file,
            @Option(names = "--json", description = "Print one JSON object.") boolean json) {
        MaintenanceFile.MaintenancePlanInput whole;
        try {
            whole = MaintenanceFile.read(file);
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE;
        }
        SchedulingResult answer = MaintenancePlanner.plan(whole.at(), whole.requests(), whole.fleet(), whole.budgets());
        System.out.println(json ? json(whole.at(), answer) : text(whole.at(), answer));
        return answer instanceof SchedulingResult.Schedule ? 0 : NO_PLAN;
    }

    private static String text(long at, SchedulingResult answer) {
        var to = new StringBuilder();
        if (answer instanceof SchedulingResult.Schedule order) {
            for (OutageSlot s : order.slots()) {
                to.append(time(s.starts())).append(' ').append(s.request().machine())
                        .append(" drains; may be worked on from ")
                        .append(time(s.free())).append(", back by ").append(time(s.back())).append(", done at ")
                        .append(time(s.done())).append("; ").append(s.out()).append(" out, capacity left ")
                        .append(s.capacity() / MILLION);
                to.append(s.mustStay().isEmpty() ? "\n" : "; must stay: " + String.join(", ", s.mustStay()) + "\n");
            }
            return to.append("takes ").append((order.endsAt() - at) / 1_000).append(" s; no order takes less than ")
                    .append((order.lowerBound() - at) / 1_000).append(" s").toString();
        }
        if (answer instanceof SchedulingResult.WaitsForRecovery waits) {
            return reasons(
                    to.append("no order until what is out by itself is back; as it is, these can't be kept together:"),
                    waits.conflict()).toString();
        }
        var no = (SchedulingResult.Infeasible) answer;
        to.append(no.proven() ? "no order exists; these can't be kept together"
                : "no order was found that keeps all of these");
        return reasons(to.append(no.minimal() ? ", and no fewer:" : ":"), no.conflict()).toString();
    }

    private static StringBuilder reasons(StringBuilder to, List<MaintenanceConstraint> because) {
        because.forEach(r -> to.append("\n  ").append(r.text()));
        return to;
    }

    private static String json(long at, SchedulingResult answer) {
        var to = new StringBuilder();
        if (answer instanceof SchedulingResult.Schedule order) {
            to.append("{\"feasible\":true,\"order\":[");
            for (OutageSlot s : order.slots()) {
                Json.quote(to.append(to.charAt(to.length() - 1) == '[' ? "" : ",").append("{\"wish\":"),
                        s.request().id());
                Json.quote(to.append(",\"machine\":"), s.request().machine());
                Json.quote(to.append(",\"starts\":"), time(s.starts()));
                Json.quote(to.append(",\"free\":"), time(s.free()));
                Json.quote(to.append(",\"back\":"), time(s.back()));
                Json.quote(to.append(",\"done\":"), time(s.done()));
                to.append(",\"out\":").append(s.out()).append(",\"capacity\":").append(s.capacity() / MILLION);
                MaintenanceCodec.names(to.append(",\"must_stay\":"), s.mustStay()).append('}');
            }
            return to.append("],\"seconds\":").append((order.endsAt() - at) / 1_000).append(",\"bound_seconds\":")
                    .append((order.lowerBound() - at) / 1_000).append('}').toString();
        }
        if (answer instanceof SchedulingResult.WaitsForRecovery waits) {
            return MaintenanceCodec.reasons(to.append("{\"feasible\":\"waits\",\"because\":"), waits.conflict())
                    .append(",\"smallest\":")
                    .append(waits.minimal()).append('}').toString();
        }
        var no = (SchedulingResult.Infeasible) answer;
        return MaintenanceCodec.reasons(to.append("{\"feasible\":false,\"because\":"), no.conflict())
                .append(",\"smallest\":")
                .append(no.minimal()).append(",\"proven\":").append(no.proven()).append('}').toString();
    }

    private static String time(long at) {
        return Instant.ofEpochMilli(at).toString();
    }
}
