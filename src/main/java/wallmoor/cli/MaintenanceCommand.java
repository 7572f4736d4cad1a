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

/** Plans the order in which machines are taken out of service for maintenance. */
@Command(name = "maintenance", mixinStandardHelpOptions = true,
        description = "Plan the order in which machines are taken out of service for maintenance.")
final class MaintenanceCommand extends CommandGroup {
    private static final int NO_PLAN = 3;
    private static final double PARTS_PER_MILLION = 1e6;

    MaintenanceCommand() {
        super("plan");
    }

    @Command(name = "plan", mixinStandardHelpOptions = true,
            description = "Print the order, the time of each outage and the capacity left during it; nothing is taken "
                    + "out.",
            footer = {"Exits 0 with an order, 2 on an invalid file, 3 without an order: with \"feasible\":false none "
                    + "is possible,",
                "and the conflicting blocks, machines and budgets are listed; with \"feasible\":\"waits\" "
                        + "there is",
                "none until the unplanned outages have ended."})
    int plan(@Parameters(paramLabel = "FILE", description = "Machines, blocks, budgets and wishes, in YAML.") Path file,
            @Option(names = "--json", description = "Print one JSON object.") boolean json) {
        MaintenanceFile.MaintenancePlanInput input;
        try {
            input = MaintenanceFile.read(file);
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE_ERROR;
        }
        SchedulingResult result = MaintenancePlanner.plan(input.at(), input.requests(), input.fleet(), input.budgets());
        System.out.println(json ? json(input.at(), result) : text(input.at(), result));
        return result instanceof SchedulingResult.Schedule ? 0 : NO_PLAN;
    }

    private static String text(long startMillis, SchedulingResult result) {
        var to = new StringBuilder();
        if (result instanceof SchedulingResult.Schedule schedule) {
            for (OutageSlot slot : schedule.slots()) {
                to.append(timestamp(slot.starts())).append(' ').append(slot.request().machine())
                        .append(" drains; may be worked on from ")
                        .append(timestamp(slot.free())).append(", back by ").append(timestamp(slot.back()))
                        .append(", done at ").append(timestamp(slot.done())).append("; ").append(slot.out())
                        .append(" out, capacity left ")
                        .append(slot.capacity() / PARTS_PER_MILLION);
                to.append(slot.mustStay().isEmpty() ? "\n"
                        : "; must stay: " + String.join(", ", slot.mustStay()) + "\n");
            }
            return to.append("takes ").append((schedule.endsAt() - startMillis) / 1_000)
                    .append(" s; no order takes less than ")
                    .append((schedule.lowerBound() - startMillis) / 1_000).append(" s").toString();
        }
        if (result instanceof SchedulingResult.WaitsForRecovery waits) {
            return appendConstraints(
                    to.append("no order until the unplanned outages have ended;"
                            + " until then these constraints conflict:"),
                    waits.conflict()).toString();
        }
        var infeasible = (SchedulingResult.Infeasible) result;
        to.append(infeasible.proven() ? "no order exists; these constraints conflict"
                : "no order was found that satisfies all of these constraints");
        return appendConstraints(to.append(infeasible.minimal() ? ", and no fewer of them do:" : ":"),
                infeasible.conflict()).toString();
    }

    private static StringBuilder appendConstraints(StringBuilder to, List<MaintenanceConstraint> conflict) {
        conflict.forEach(c -> to.append("\n  ").append(c.text()));
        return to;
    }

    private static String json(long startMillis, SchedulingResult result) {
        var to = new StringBuilder();
        if (result instanceof SchedulingResult.Schedule schedule) {
            to.append("{\"feasible\":true,\"order\":[");
            for (OutageSlot slot : schedule.slots()) {
                Json.quote(to.append(to.charAt(to.length() - 1) == '[' ? "" : ",").append("{\"wish\":"),
                        slot.request().id());
                Json.quote(to.append(",\"machine\":"), slot.request().machine());
                Json.quote(to.append(",\"starts\":"), timestamp(slot.starts()));
                Json.quote(to.append(",\"free\":"), timestamp(slot.free()));
                Json.quote(to.append(",\"back\":"), timestamp(slot.back()));
                Json.quote(to.append(",\"done\":"), timestamp(slot.done()));
                to.append(",\"out\":").append(slot.out())
                        .append(",\"capacity\":").append(slot.capacity() / PARTS_PER_MILLION);
                MaintenanceCodec.names(to.append(",\"must_stay\":"), slot.mustStay()).append('}');
            }
            return to.append("],\"seconds\":").append((schedule.endsAt() - startMillis) / 1_000)
                    .append(",\"bound_seconds\":")
                    .append((schedule.lowerBound() - startMillis) / 1_000).append('}').toString();
        }
        if (result instanceof SchedulingResult.WaitsForRecovery waits) {
            return MaintenanceCodec.reasons(to.append("{\"feasible\":\"waits\",\"because\":"), waits.conflict())
                    .append(",\"smallest\":")
                    .append(waits.minimal()).append('}').toString();
        }
        var infeasible = (SchedulingResult.Infeasible) result;
        return MaintenanceCodec.reasons(to.append("{\"feasible\":false,\"because\":"), infeasible.conflict())
                .append(",\"smallest\":")
                .append(infeasible.minimal()).append(",\"proven\":").append(infeasible.proven()).append('}').toString();
    }

    private static String timestamp(long epochMillis) {
        return Instant.ofEpochMilli(epochMillis).toString();
    }
}
