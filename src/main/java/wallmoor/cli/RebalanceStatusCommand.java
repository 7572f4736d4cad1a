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

/** Shows how far moves have come, as who carries them out said last, or as the gatherers agree. */
@Command(name = "status", mixinStandardHelpOptions = true, description = "Show how far the moves have come.",
        footer = "Exits 0 with a status, 2 where there is none.")
final class RebalanceStatusCommand implements Callable<Integer> {
    private static final long EVERY_MILLIS = 1_000;
    /** Who carries out says how far it is five times a second. */
    private static final long OLD_MILLIS = 3_000;

    @ArgGroup(exclusive = true, multiplicity = "1")
    private PlanLocation place;

    @Option(names = "--json", description = "Print one JSON object.")
    private boolean json;

    @Option(names = "--watch", description = "Print it each second until all is moved or stopped.")
    private boolean watch;

    @Override
    public Integer call() throws InterruptedException {
        while (true) {
            String progress = progress(place);
            Json.Obj status = read(progress);
            if (status == null) {
                return Commands.USAGE;
            }
            System.out.println(json ? progress : text(status));
            if (!watch || List.of("finished", "stopped").contains(status.text("phase"))) {
                return 0;
            }
            Thread.sleep(EVERY_MILLIS);
        }
    }

    /** What there is to show; null where there is nothing, which is said then. */
    private static String progress(PlanLocation place) throws InterruptedException {
        try {
            String progress = place.rules == null ? new DirectoryPlanStore(place.dir).readProgress()
                    : json(place.client("status").latest(PlanLocation.WAIT_MILLIS));
            if (progress == null) {
                System.err.println(
                        (place.rules == null ? place.dir + " holds no status" : "the gatherers agree on no plan")
                                + "; rebalance start makes one");
            }
            return progress;
        } catch (ConfigException | PlanStoreException e) {
            System.err.println(e.getMessage());
            return null;
        }
    }

    /** What the agreed plan says; how much of a copy is there, only its author and the nodes know. */
    private static String json(PlanControlClient.PlanVersion v) {
        if (v == null) {
            return null;
        }
        MigrationPlan s = v.plan();
        String phase = !s.migrations().isEmpty() ? s.paused() ? "paused" : "moving"
                : s.stopped() ? "stopped" : s.paused() ? "paused" : s.isTargetReached() ? "finished" : "planning";
        var to = new StringBuilder("{\"version\":").append(v.number()).append(",\"acts\":").append(v.active())
                .append(",\"phase\":\"").append(phase).append('"');
        Json.quote(to.append(",\"author\":"), v.author());
        to.append(",\"moves\":[");
        for (Migration c : s.migrations().values()) {
            Json.quote(to.append(to.charAt(to.length() - 1) == '[' ? "" : ",").append("{\"block\":"), c.block());
            Json.quote(to.append(",\"from\":"), c.from());
            Json.quote(to.append(",\"to\":"), c.to());
            to.append(",\"mb\":").append(c.sizeMb()).append(",\"wave\":").append(c.wave()).append(",\"stage\":\"")
                    .append(c.stage().name().toLowerCase(Locale.ROOT)).append("\"}");
        }
        return to.append("]}").toString();
    }

    private static Json.Obj read(String progress) {
        if (progress == null) {
            return null;
        }
        byte[] bytes = progress.getBytes(StandardCharsets.UTF_8);
        try {
            return Json.object(bytes, 0, bytes.length);
        } catch (Json.Malformed e) {
            return null; // a torn file after a loss of power; the next one is whole
        }
    }

    private static String text(Json.Obj s) {
        var to = new StringBuilder(s.text("phase")).append(", version ").append(s.get("version"));
        if (s.text("author") != null) { // what is agreed on, and no more
            to.append(" by ").append(s.text("author"))
                    .append(Boolean.FALSE.equals(s.get("acts")) ? ", waits to act" : "");
            moves(to, s);
            return to.toString();
        }
        to.append(", at most ").append((long) s.number("bytes_per_second", 0) / 1_000_000).append(" MB/s");
        long age = System.currentTimeMillis() - (long) s.number("at_ms", 0);
        boolean over = List.of("finished", "stopped").contains(s.text("phase"));
        if (age > OLD_MILLIS && !over) {
            to.append("; ").append(age / 1_000)
                    .append(" s old: nobody carries it out; rebalance start goes on with it");
        }
        for (String key : List.of("stuck", "given_up")) {
            if (!s.text(key).isEmpty()) {
                to.append('\n').append(key.replace('_', ' ')).append(": ").append(s.text(key));
            }
        }
        moves(to, s);
        return to.toString();
    }

    private static void moves(StringBuilder to, Json.Obj s) {
        for (Object o : s.list("moves")) {
            var m = (Json.Obj) o;
            to.append('\n').append(m.text("block")).append(" from ").append(m.text("from")).append(" to ")
                    .append(m.text("to"))
                    .append(", ").append(m.get("mb")).append(" MB, wave ").append(m.get("wave")).append(": ")
                    .append(m.text("stage"))
                    .append(m.text("stage").equals("copy") && m.get("there") != null
                            ? " " + Math.round(m.number("there", 0) * 100) + " %" : "")
                    .append(blank(m.text("waits")) ? "" : ", waits: " + m.text("waits"));
        }
    }

    private static boolean blank(String text) {
        return text == null || text.isEmpty();
    }

    /** Says what a move's stage means and what comes next. */
    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Say where a block's move is, what it waits for, and what may still be taken back.")
    static final class Explain implements Callable<Integer> {
        @ArgGroup(exclusive = true, multiplicity = "1")
        private PlanLocation place;

        @Parameters(paramLabel = "BLOCK", description = "The block's id.")
        private String block;

        @Override
        public Integer call() throws InterruptedException {
            Json.Obj status = read(progress(place));
            if (status == null) {
                return Commands.USAGE;
            }
            for (Object o : status.list("moves")) {
                var m = (Json.Obj) o;
                if (block.equals(m.text("block"))) {
                    System.out.println(sentence(m.text("stage"), m.text("from"), m.text("to"))
                            + (blank(m.text("waits")) ? "" : "\nwaits: " + m.text("waits")));
                    return 0;
                }
            }
            System.out.println("no move of " + block + " is out (" + status.text("phase") + ")"
                    + (blank(status.text("stuck")) ? "" : ": " + status.text("stuck")));
            return 0;
        }

        private static String sentence(String stage, String from, String to) {
            String back = "; stop takes it back";
            return switch (stage) {
                case "planned" -> "planned; begins when its wave does" + back;
                case "prepare" -> to + " is asked to keep room" + back;
                case "copy" -> to + " fetches chunks from " + from + ", which runs all queries" + back;
                case "confirm" -> "the chunks of " + from + " and " + to + " are compared by hash" + back;
                case "hand" -> from + " refuses what runs once; its chunks are compared a last time" + back;
                case "join" -> "both are owners; " + to + " is let run what runs once; it is carried to its end";
                case "settle" -> to + " is the owner; " + from + " keeps its copy for queries that began before";
                case "forget" -> from + " is to drop its copy, once " + to + " has said that it holds its own";
                default -> "given up: " + to + " throws its part away and " + from + " runs all as before";
            };
        }
    }
}
