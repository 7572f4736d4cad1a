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
import wallmoor.decision.Brain;
import wallmoor.decision.RouterApi;
import wallmoor.decision.RouterApi.AttemptEnded;
import wallmoor.decision.RouterApi.LeafEntry;
import wallmoor.decision.RouterApi.LeafState;
import wallmoor.decision.RouterApi.ListKind;
import wallmoor.decision.RouterApi.LoadFigure;
import wallmoor.decision.RouterApi.Outcome;
import wallmoor.decision.RouterApi.PartArrived;
import wallmoor.decision.RouterApi.QueryArrived;

/** Hosts many roots in one process and speaks the simulator's wire for them. It decides nothing. */
public final class Adapter {
    private static final Map<String, Outcome> OUTCOMES = Map.of("ok", Outcome.OK, "error", Outcome.ERROR,
            "full", Outcome.FULL, "timeout", Outcome.TIMEOUT, "connect_failed", Outcome.CONNECT_FAILED,
            "reset", Outcome.RESET, "cancelled", Outcome.CANCELLED, "moot", Outcome.MOOT);
    private static final Map<String, LeafState> STATES = Map.of("up", LeafState.UP, "draining", LeafState.DRAINING,
            "removed", LeafState.REMOVED);
    private static final Map<String, ListKind> KINDS = Map.of("patch", ListKind.CHANGES,
            "whole", ListKind.WHOLE, "stale_copy", ListKind.STALE, "broken", ListKind.BROKEN);
    private static final int REPEAT_BIT = 2;
    private static final int HINT_BIT = 1;

    /** One hosted root. */
    private record Root(int number, Brain brain, List<LoadFigure> columns) {}

    private final BufferedReader in;
    private final PrintWriter out;
    private final PrintStream err;
    private final Map<Integer, Root> roots = new HashMap<>();
    private final Map<Integer, List<LeafEntry>> sheets = new HashMap<>();
    private final Set<Integer> touched = new LinkedHashSet<>();
    private long lines;
    private long now;
    private String batch;
    private int current = -1;
    private int speaking = -1;

    /** Makes an adapter; stack traces of a failing module go to {@code err}. */
    public Adapter(BufferedReader in, PrintWriter out, PrintStream err) {
        this.in = in;
        this.out = out;
        this.err = err;
    }

    /** Answers batches until the input ends. */
    public void run() throws IOException {
        for (Line line = read(); line != null; line = read()) {
            if (line.name.isEmpty()) {
                continue;
            }
            if (line.name.equals("GO")) {
                endOfBatch();
            } else {
                try {
                    handle(line);
                } catch (WireException e) {
                    throw e;
                } catch (RuntimeException e) {
                    bug(current, e);
                }
            }
        }
    }

    private Line read() throws IOException {
        String text = in.readLine();
        lines++;
        return text == null ? null : new Line(lines, text);
    }

    private void handle(Line line) throws IOException {
        switch (line.name) {
            case "TURN" -> {
                now = line.whole("AtTime");
                batch = line.text("round");
                touched.clear();
                current = -1;
                speaking = -1;
            }
            case "SWITCH_TO" -> current = line.small("I");
            case "INVENTORY" -> inventory(line);
            case "CRASH_NOW" -> {
                roots.remove(current);
                touched.remove(current);
            }
            case "START" -> start(line);
            default -> event(line);
        }
    }

    private void inventory(Line line) throws IOException {
        int sheet = line.small("Sheet");
        int count = line.small("Elements");
        var entries = new ArrayList<LeafEntry>();
        for (int i = 0; i < count; i++) {
            Line item = read();
            if (item == null || !item.name.equals("ITEM")) {
                throw line.bad("Elements", "promises " + count + " ITEM lines, found " + i);
            }
            entries.add(new LeafEntry(item.text("Leaf"), item.smallOr("Hall", 0), item.smallOr("ClassOfHost", 0),
                    item.small("Position"), item.word("StageState", STATES), item.decimalOr("Size", 1),
                    item.timeOrAbsent("UpSince")));
        }
        sheets.put(sheet, List.copyOf(entries));
    }

    private void start(Line line) {
        long seed = line.whole("Prng");
        var reader = new SettingsReader(line.pairs("Params"));
        int number = current;
        Root root;
        try {
            root = new Root(number, new Brain(reader.settings(), seed, new Replies(number)), reader.columns());
        } catch (ConfigException e) {
            throw line.bad("Params", e.getMessage());
        } catch (IllegalArgumentException | NullPointerException e) {
            throw line.bad("Params", "is refused: " + e.getMessage());
        }
        roots.put(number, root);
        touched.add(number);
        root.brain.onStart(now);
    }

    private void event(Line line) {
        Root root = roots.get(current);
        if (root == null) {
            return;
        }
        touched.add(current);
        Brain brain = root.brain;
        switch (line.name) {
            case "PEERS_KNOWN" -> {
                ListKind kind = line.word("Form", KINDS);
                line.optional("Gen");
                int sheet = line.smallOr("Sheet", 0);
                List<LeafEntry> entries = kind == ListKind.BROKEN ? List.of() : sheets.get(sheet);
                if (entries == null) {
                    throw line.bad("Sheet", "names no INVENTORY: " + sheet);
                }
                brain.onList(now, kind, entries);
            }
            case "INCOMING" -> incoming(line, brain);
            case "RESOLVED" -> brain.onOutcome(now, new AttemptEnded(line.text("Ticket"), line.small("Shot"),
                    line.text("Leaf"), line.word("How", OUTCOMES), line.wholeOr("CostTime", 0),
                    line.flag("Complete"), line.load("Load", root.columns)));
            case "HANGUP" -> brain.onHangup(now, line.text("Ticket"));
            case "WAKE" -> brain.onTimer(now, line.text("Nonce"));
            case "SAMPLED" -> {} // no probe is ever sent
            case "PEER" -> {
                int from = line.small("Neighbour");
                String hex = line.optional("Contents");
                try {
                    brain.onPeer(now, from, hex == null ? new byte[0] : HexFormat.of().parseHex(hex));
                } catch (IllegalArgumentException e) {
                    throw line.bad("Contents", "is not hex: " + hex);
                }
            }
            case "FLOWING" -> {} // no class streams here
            default -> throw line.bad("name", "is no known message");
        }
    }

    private void incoming(Line line, Brain brain) {
        String id = line.text("Ticket");
        int queryClass = line.smallOr("Priority", 0);
        int tenant = line.smallOr("Realm", 0);
        String key = line.optional("PartitionKey");
        long deadline = line.whole("Deadline");
        long hint = line.wholeOr("WorkHint", RouterApi.ABSENT);
        long number = line.whole("Query");
        int shard = line.small("SegmentNo");
        double amount = line.decimalOr("ShareOrCount", shard < 0 ? 0 : 1);
        int attrs = line.smallOr("Attrs", 0);
        if ((attrs & HINT_BIT) == 0) {
            hint = RouterApi.ABSENT;
        }
        if (shard < 0) {
            brain.onQuery(now, new QueryArrived(id, number, queryClass, tenant, key, deadline, hint, (int) amount,
                    (attrs & REPEAT_BIT) != 0));
        } else {
            brain.onPart(now, new PartArrived(id, number, shard, amount, hint));
        }
    }

    private void endOfBatch() {
        for (int number : touched) {
            Root root = roots.get(number);
            if (root != null) {
                try {
                    root.brain.onEndOfRound(now);
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
    private final class Replies implements RouterApi.Actions {
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
        public void assign(String part, String leaf, long giveUpAfter, long beginWithin) { // there it begins at once
            say("ASSIGN " + part + " " + leaf + " " + giveUpAfter);
        }

        @Override
        public void cancel(String part, int attempt) {
            say("STOP_ATTEMPT " + part + " " + attempt);
        }

        @Override
        public void answer(String query, boolean whole) {
            say("ANSWER " + query + (whole ? " 1" : " 0"));
        }

        @Override
        public void refuse(String query, long comeBackAfter) {
            say("BOUNCE " + query + " " + comeBackAfter);
        }

        @Override
        public void fail(String query) {
            say("GIVE_UP " + query);
        }

        @Override
        public void timer(long in, String token) {
            say("SLEEP " + in + " " + token);
        }

        @Override
        public void closeIdle(String leaf) {
            say("DROP_CONNS " + leaf);
        }

        @Override
        public void tellPeers(byte[] contents) {
            say("PUBLISH -1 " + (contents.length == 0 ? "-" : HexFormat.of().formatHex(contents)));
        }

        @Override
        public void subscribe() {
            say("STREAM_CHANGES 1");
        }

        @Override
        public void log(String line) {
            say("WRITE_LOG " + line);
        }
    }
}
