package wallmoor.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.config.ConfigException;
import wallmoor.config.SettingsReader;
import wallmoor.decision.Absent;
import wallmoor.decision.AttemptEndReason;
import wallmoor.decision.AttemptEnded;
import wallmoor.decision.LoadMetric;
import wallmoor.decision.PartArrived;
import wallmoor.decision.QueryArrived;
import wallmoor.decision.RoutingActions;
import wallmoor.decision.RoutingPolicy;
import wallmoor.decision.WorkerListEntry;
import wallmoor.decision.WorkerListKind;
import wallmoor.decision.WorkerStatus;

/** Hosts many roots in one process and speaks the simulator's wire for them. It decides nothing. */
public final class SimulatorAdapter {
    private static final Map<String, AttemptEndReason> OUTCOMES = Map.of("ok", AttemptEndReason.OK, "error",
            AttemptEndReason.ERROR,
            "full", AttemptEndReason.REJECTED, "timeout", AttemptEndReason.TIMEOUT, "connect_failed",
            AttemptEndReason.CONNECT_FAILED,
            "reset", AttemptEndReason.RESET, "cancelled", AttemptEndReason.CANCELLED, "moot",
            AttemptEndReason.NOT_STARTED);
    private static final Map<String, WorkerStatus> STATES = Map.of("up", WorkerStatus.UP, "draining",
            WorkerStatus.DRAINING,
            "removed", WorkerStatus.REMOVED);
    private static final Map<String, WorkerListKind> KINDS = Map.of("patch", WorkerListKind.CHANGES,
            "whole", WorkerListKind.COMPLETE, "stale_copy", WorkerListKind.CACHED, "broken",
            WorkerListKind.WATCH_FAILED);
    private static final int REPEAT_BIT = 2;
    private static final int HINT_BIT = 1;

    /** One hosted root. */
    private record HostedGatherer(int number, RoutingPolicy brain, List<LoadMetric> columns) {}

    private final BufferedReader in;
    private final PrintWriter out;
    private final PrintStream err;
    private final Map<Integer, HostedGatherer> roots = new HashMap<>();
    private final Map<Integer, List<WorkerListEntry>> sheets = new HashMap<>();
    private final Set<Integer> touched = new LinkedHashSet<>();
    private long lines;
    private long now;
    private String batch;
    private int current = -1;
    private int speaking = -1;

    /** Makes an adapter; stack traces of a failing module go to {@code err}. */
    public SimulatorAdapter(BufferedReader in, PrintWriter out, PrintStream err) {
        this.in = in;
        this.out = out;
        this.err = err;
    }

    /** Answers batches until the input ends. */
    public void run() throws IOException {
        for (MessageLine line = read(); line != null; line = read()) {
            if (line.name.isEmpty()) {
                continue;
            }
            if (line.name.equals("GO")) {
                endOfBatch();
            } else {
                try {
                    handle(line);
                } catch (WireFormatException e) {
                    throw e;
                } catch (RuntimeException e) {
                    bug(current, e);
                }
            }
        }
    }

    private MessageLine read() throws IOException {
        String text = in.readLine();
        lines++;
        return text == null ? null : new MessageLine(lines, text);
    }

    private void handle(MessageLine line) throws IOException {
        switch (line.name) {
            case "TURN" -> {
                now = line.longValue("AtTime");
                batch = line.text("round");
                touched.clear();
                current = -1;
                speaking = -1;
            }
            case "SWITCH_TO" -> current = line.intValue("I");
            case "INVENTORY" -> inventory(line);
            case "CRASH_NOW" -> {
                roots.remove(current);
                touched.remove(current);
            }
            case "START" -> start(line);
            default -> event(line);
        }
    }

    private void inventory(MessageLine line) throws IOException {
        int sheet = line.intValue("Sheet");
        int count = line.intValue("Elements");
        var entries = new ArrayList<WorkerListEntry>();
        for (int i = 0; i < count; i++) {
            MessageLine item = read();
            if (item == null || !item.name.equals("ITEM")) {
                throw line.malformed("Elements", "promises " + count + " ITEM lines, found " + i);
            }
            entries.add(new WorkerListEntry(item.text("Leaf"), item.intOr("Hall", 0), item.intOr("ClassOfHost", 0),
                    item.intValue("Position"), item.keyword("StageState", STATES), item.doubleOr("Size", 1),
                    item.timeOrAbsent("UpSince")));
        }
        sheets.put(sheet, List.copyOf(entries));
    }

    private void start(MessageLine line) {
        long seed = line.longValue("Prng");
        var reader = new SettingsReader(line.remainingPairs("Params"));
        int number = current;
        HostedGatherer root;
        try {
            root = new HostedGatherer(number, new RoutingPolicy(reader.settings(), seed, new Replies(number)),
                    reader.columns());
        } catch (ConfigException e) {
            throw line.malformed("Params", e.getMessage());
        } catch (IllegalArgumentException | NullPointerException e) {
            throw line.malformed("Params", "is refused: " + e.getMessage());
        }
        roots.put(number, root);
        touched.add(number);
        root.brain.onStart(now);
    }

    private void event(MessageLine line) {
        HostedGatherer root = roots.get(current);
        if (root == null) {
            return;
        }
        touched.add(current);
        RoutingPolicy brain = root.brain;
        switch (line.name) {
            case "PEERS_KNOWN" -> {
                WorkerListKind kind = line.keyword("Form", KINDS);
                line.optional("Gen");
                int sheet = line.intOr("Sheet", 0);
                List<WorkerListEntry> entries = kind == WorkerListKind.WATCH_FAILED ? List.of() : sheets.get(sheet);
                if (entries == null) {
                    throw line.malformed("Sheet", "names no INVENTORY: " + sheet);
                }
                brain.onWorkerList(now, kind, entries);
            }
            case "INCOMING" -> incoming(line, brain);
            case "RESOLVED" -> brain.onAttemptEnded(now, new AttemptEnded(line.text("Ticket"), line.intValue("Shot"),
                    line.text("Leaf"), line.keyword("How", OUTCOMES), line.longOr("CostTime", 0),
                    line.flag("Complete"), line.loadReport("Load", root.columns)));
            case "HANGUP" -> brain.onClientDisconnected(now, line.text("Ticket"));
            case "WAKE" -> brain.onTimer(now, line.text("Nonce"));
            case "SAMPLED" -> {} // no probe is ever sent
            case "PEER" -> {
                int from = line.intValue("Neighbour");
                String hex = line.optional("Contents");
                try {
                    brain.onPeerMessage(now, from, hex == null ? new byte[0] : HexFormat.of().parseHex(hex));
                } catch (IllegalArgumentException e) {
                    throw line.malformed("Contents", "is not hex: " + hex);
                }
            }
            case "FLOWING" -> {} // no class streams here
            default -> throw line.malformed("name", "is no known message");
        }
    }

    private void incoming(MessageLine line, RoutingPolicy brain) {
        String id = line.text("Ticket");
        int queryClass = line.intOr("Priority", 0);
        int tenant = line.intOr("Realm", 0);
        String key = line.optional("PartitionKey");
        long deadline = line.longValue("Deadline");
        long hint = line.longOr("WorkHint", Absent.VALUE);
        long number = line.longValue("Query");
        int shard = line.intValue("SegmentNo");
        double amount = line.doubleOr("ShareOrCount", shard < 0 ? 0 : 1);
        int attrs = line.intOr("Attrs", 0);
        if ((attrs & HINT_BIT) == 0) {
            hint = Absent.VALUE;
        }
        if (shard < 0) {
            brain.onQueryArrived(now,
                    new QueryArrived(id, number, queryClass, tenant, key, deadline, hint, (int) amount,
                            (attrs & REPEAT_BIT) != 0));
        } else {
            brain.onPartArrived(now, new PartArrived(id, number, shard, amount, hint));
        }
    }

    private void endOfBatch() {
        for (int number : touched) {
            HostedGatherer root = roots.get(number);
            if (root != null) {
                try {
                    root.brain.onRoundEnd(now);
                } catch (RuntimeException e) {
                    bug(number, e);
                }
            }
        }
        out.print("OK " + batch + "\n");
        out.flush();
    }

    private void bug(int number, RuntimeException e) {
        e.printStackTrace(err);
        new Replies(number).say("BUG " + (e + "").replaceAll("\\s+", " "));
    }

    /** Writes one root's actions. */
    private final class Replies implements RoutingActions {
        private final int number;

        Replies(int number) {
            this.number = number;
        }

        void say(String line) {
            if (speaking != number) {
                speaking = number;
                out.print("SOURCE " + number + "\n");
            }
            out.print(line + "\n");
        }

        @Override
        // there it begins at once
        public void startAttempt(String part, String leaf, long giveUpAfter, long beginWithin) {
            say("ASSIGN " + part + " " + leaf + " " + giveUpAfter);
        }

        @Override
        public void cancelAttempt(String part, int attempt) {
            say("STOP_ATTEMPT " + part + " " + attempt);
        }

        @Override
        public void answer(String query, boolean whole) {
            say("ANSWER " + query + (whole ? " 1" : " 0"));
        }

        @Override
        public void reject(String query, long comeBackAfter) {
            say("BOUNCE " + query + " " + comeBackAfter);
        }

        @Override
        public void fail(String query) {
            say("GIVE_UP " + query);
        }

        @Override
        public void scheduleTimer(long in, String token) {
            say("SLEEP " + in + " " + token);
        }

        @Override
        public void closeIdleConnections(String leaf) {
            say("DROP_CONNS " + leaf);
        }

        @Override
        public void broadcast(byte[] contents) {
            say("PUBLISH -1 " + (contents.length == 0 ? "-" : HexFormat.of().formatHex(contents)));
        }

        @Override
        public void watchWorkerList() {
            say("STREAM_CHANGES 1");
        }

        @Override
        public void log(String line) {
            say("WRITE_LOG " + line);
        }
    }
}
