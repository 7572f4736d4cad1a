package wallmoor.cli;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wallmoor.config.ConfigException;
import wallmoor.json.Json;
import wallmoor.migration.Migration;
import wallmoor.migration.MigrationPlan;
import wallmoor.migration.http.DirectoryPlanStore;
import wallmoor.migration.http.PlanControlClient;
import wallmoor.migration.http.PlanStoreException;

/** Shows the progress of moves: as the process that executes them last reported, or as the agreed plan has it. */
@Command(name = "status", mixinStandardHelpOptions = true, description = "Show the progress of the moves.",
        footer = "Exits 0 with a status, 2 if there is none.")
final class RebalanceStatusCommand implements Callable<Integer> {
    private static final long WATCH_INTERVAL_MILLIS = 1_000;
    /** Age of a report above which nothing executes the plan: a running process reports five times a second. */
    private static final long STALE_AFTER_MILLIS = 3_000;

    @ArgGroup(exclusive = true, multiplicity = "1")
    private PlanLocation location;

    @Option(names = "--json", description = "Print one JSON object.")
    private boolean json;

    @Option(names = "--watch", description = "Print the status every second until all moves are finished or stopped.")
    private boolean watch;

    @Override
    public Integer call() throws InterruptedException {
        while (true) {
            String progress = progress(location);
            Json.Obj status = parse(progress);
            if (status == null) {
                return Commands.USAGE_ERROR;
            }
            System.out.println(json ? progress : text(status));
            if (!watch || List.of("finished", "stopped").contains(status.text("phase"))) {
                return 0;
            }
            Thread.sleep(WATCH_INTERVAL_MILLIS);
        }
    }

    /** Returns the status as JSON, or prints why there is none and returns null. */
    private static String progress(PlanLocation location) throws InterruptedException {
        try {
            String progress = location.controlAddresses == null
                    ? new DirectoryPlanStore(location.directory).readProgress()
                    : toJson(location.client("status").latest(PlanLocation.LEADER_WAIT_MILLIS));
            if (progress == null) {
                System.err.println(
                        (location.controlAddresses == null ? location.directory + " contains no status"
                                : "the gatherers have no plan") + "; run rebalance start first");
            }
            return progress;
        } catch (ConfigException | PlanStoreException e) {
            System.err.println(e.getMessage());
            return null;
        }
    }

    /**
     * Returns the status that the agreed plan holds. It lacks the copied share of a block, which only the process that
     * executes the plan and the nodes know.
     */
    private static String toJson(PlanControlClient.PlanVersion version) {
        if (version == null) {
            return null;
        }
        MigrationPlan plan = version.plan();
        String phase = !plan.migrations().isEmpty() ? plan.paused() ? "paused" : "moving"
                : plan.stopped() ? "stopped"
                        : plan.paused() ? "paused" : plan.isTargetReached() ? "finished" : "planning";
        var to = new StringBuilder("{\"version\":").append(version.number()).append(",\"acts\":")
                .append(version.active())
                .append(",\"phase\":\"").append(phase).append('"');
        Json.quote(to.append(",\"author\":"), version.author());
        to.append(",\"moves\":[");
        for (Migration migration : plan.migrations().values()) {
            Json.quote(to.append(to.charAt(to.length() - 1) == '[' ? "" : ",").append("{\"block\":"),
                    migration.block());
            Json.quote(to.append(",\"from\":"), migration.from());
            Json.quote(to.append(",\"to\":"), migration.to());
            to.append(",\"mb\":").append(migration.sizeMb()).append(",\"wave\":").append(migration.wave())
                    .append(",\"stage\":\"")
                    .append(migration.stage().name().toLowerCase(Locale.ROOT)).append("\"}");
        }
        return to.append("]}").toString();
    }

    private static Json.Obj parse(String progress) {
        if (progress == null) {
            return null;
        }
        byte[] bytes = progress.getBytes(StandardCharsets.UTF_8);
        try {
            return Json.object(bytes, 0, bytes.length);
        } catch (Json.Malformed e) {
            return null; // truncated by a power loss; the next report replaces it
        }
    }

    private static String text(Json.Obj status) {
        var to = new StringBuilder(status.text("phase")).append(", version ").append(status.get("version"));
        if (status.text("author") != null) { // the status comes from the agreed plan
            to.append(" by ").append(status.text("author"))
                    .append(Boolean.FALSE.equals(status.get("acts")) ? ", not in force yet" : "");
            appendMoves(to, status);
            return to.toString();
        }
        to.append(", at most ").append((long) status.number("bytes_per_second", 0) / 1_000_000).append(" MB/s");
        long ageMillis = System.currentTimeMillis() - (long) status.number("at_ms", 0);
        boolean isOver = List.of("finished", "stopped").contains(status.text("phase"));
        if (ageMillis > STALE_AFTER_MILLIS && !isOver) {
            to.append("; ").append(ageMillis / 1_000)
                    .append(" s old: no process executes the plan; continue it with rebalance start");
        }
        for (String key : List.of("stuck", "given_up")) {
            if (!status.text(key).isEmpty()) {
                to.append('\n').append(key.replace('_', ' ')).append(": ").append(status.text(key));
            }
        }
        appendMoves(to, status);
        return to.toString();
    }

    private static void appendMoves(StringBuilder to, Json.Obj status) {
        for (Object item : status.list("moves")) {
            var move = (Json.Obj) item;
            to.append('\n').append(move.text("block")).append(" from ").append(move.text("from")).append(" to ")
                    .append(move.text("to"))
                    .append(", ").append(move.get("mb")).append(" MB, wave ").append(move.get("wave")).append(": ")
                    .append(move.text("stage"))
                    .append(move.text("stage").equals("copy") && move.get("there") != null
                            ? " " + Math.round(move.number("there", 0) * 100) + " %" : "")
                    .append(isBlank(move.text("waits")) ? "" : ", waits: " + move.text("waits"));
        }
    }

    private static boolean isBlank(String text) {
        return text == null || text.isEmpty();
    }

    /** Explains the stage of a block's move and what it waits for. */
    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Print the stage of a block's move, what it waits for, and whether stop can still roll it "
                    + "back.")
    static final class Explain implements Callable<Integer> {
        @ArgGroup(exclusive = true, multiplicity = "1")
        private PlanLocation location;

        @Parameters(paramLabel = "BLOCK", description = "The block's id.")
        private String block;

        @Override
        public Integer call() throws InterruptedException {
            Json.Obj status = parse(progress(location));
            if (status == null) {
                return Commands.USAGE_ERROR;
            }
            for (Object item : status.list("moves")) {
                var move = (Json.Obj) item;
                if (block.equals(move.text("block"))) {
                    System.out.println(describeStage(move.text("stage"), move.text("from"), move.text("to"))
                            + (isBlank(move.text("waits")) ? "" : "\nwaits: " + move.text("waits")));
                    return 0;
                }
            }
            System.out.println("no move of block " + block + " is in progress (" + status.text("phase") + ")"
                    + (isBlank(status.text("stuck")) ? "" : ": " + status.text("stuck")));
            return 0;
        }

        private static String describeStage(String stage, String from, String to) {
            String canRollBack = "; stop rolls it back";
            return switch (stage) {
                case "planned" -> "planned; begins with its wave" + canRollBack;
                case "prepare" -> to + " is asked to reserve space" + canRollBack;
                case "copy" -> to + " fetches chunks from " + from + ", which runs all queries" + canRollBack;
                case "confirm" -> "the chunks of " + from + " and " + to + " are compared by hash" + canRollBack;
                case "hand" -> from + " refuses queries that must run only once; its chunks are compared a last time"
                        + canRollBack;
                case "join" -> "both are owners; " + to + " starts to run queries that must run only once; "
                        + "the move can only be completed";
                case "settle" -> to + " is the owner; " + from + " keeps its copy for queries that began earlier";
                case "forget" -> from + " drops its copy as soon as " + to + " confirms that it has its own";
                default -> "given up: " + to + " deletes its partial copy and " + from + " runs all queries as before";
            };
        }
    }
}
