package wallmoor.moves;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import wallmoor.json.Json;
import wallmoor.placement.Answer;
import wallmoor.placement.Block;
import wallmoor.placement.Fleet;
import wallmoor.placement.Planner;
import wallmoor.versions.Body;
import wallmoor.versions.Value;

/**
 * What the document {@code plan} says: who owns which block, and which moves are out. {@code versions.Kinds.PLAN}
 * checks its fields.
 *
 * @param owners of each block: whole copies that queries may be sent to
 * @param mb     of each block
 * @param copies of each block that must be there before one is taken away
 * @param moves  by block: a block moves once at a time
 * @param frozen blocks that no move is begun of
 * @param goal   what is planned for; null before the first
 */
public record State(SortedMap<String, SortedSet<String>> owners, SortedMap<String, Long> mb,
        SortedMap<String, Integer> copies,
        SortedMap<String, Carry> moves, SortedSet<String> frozen, int atOnce, boolean paused, boolean stopped,
        Goal goal) {
    private static final String OWNERS = "owners.";
    private static final String MB = "mb.";
    private static final String COPIES = "copies.";

    public State {
        var kept = new TreeMap<String, SortedSet<String>>();
        owners.forEach((b, on) -> kept.put(b, Collections.unmodifiableSortedSet(new TreeSet<>(on))));
        owners = Collections.unmodifiableSortedMap(kept);
        mb = Collections.unmodifiableSortedMap(new TreeMap<>(mb));
        copies = Collections.unmodifiableSortedMap(new TreeMap<>(copies));
        moves = Collections.unmodifiableSortedMap(new TreeMap<>(moves));
        frozen = Collections.unmodifiableSortedSet(new TreeSet<>(frozen));
    }

    /** Nothing moved yet. */
    public static State of(Fleet fleet, int atOnce) {
        var owners = new TreeMap<String, SortedSet<String>>();
        var mb = new TreeMap<String, Long>();
        var copies = new TreeMap<String, Integer>();
        for (Block b : fleet.blocks()) {
            owners.put(b.id(), new TreeSet<>(b.on()));
            mb.put(b.id(), b.mb());
            copies.put(b.id(), b.on().size());
        }
        return new State(owners, mb, copies, new TreeMap<>(), new TreeSet<>(), atOnce, false, false, Goal.of(fleet));
    }

    /**
     * With another goal, running again; its moves are planned anew. Nodes that the goal does not have are gone, and
     * what they held.
     *
     * @throws IllegalArgumentException where a block's only copies are gone, or a node that a move can't end without
     */
    public State aim(Goal next, int most) {
        var own = new TreeMap<String, SortedSet<String>>();
        var needed = new TreeMap<>(copies);
        owners.forEach((b, on) -> {
            var left = new TreeSet<>(on);
            left.removeIf(n -> !next.has(n));
            if (left.isEmpty()) {
                throw new IllegalArgumentException(
                        "block " + b + " has copies on " + on + " alone, which the file does not have");
            }
            own.put(b, left);
            needed.merge(b, left.size(), Math::min);
        });
        moves.values().stream().filter(c -> !c.stage().early() && c.stage() != Stage.BACK && c.stage() != Stage.PLANNED
                && !(next.has(c.from()) && next.has(c.to()))).findFirst().ifPresent(c -> {
                    throw new IllegalArgumentException(
                            "the move of " + c.block() + " from " + c.from() + " to " + c.to()
                                    + " is handed over and not ended; it needs both nodes in the file");
                });
        return new State(own, mb, needed, unbegun(false), frozen, most, false, false, next);
    }

    /** As an operator wants it. */
    public State wished(Mover.Wish wish) {
        return wish == Mover.Wish.STOP ? stopping() : pausing(wish == Mover.Wish.PAUSE);
    }

    /**
     * Characters of its body and fallback together, at the most that they come to while its moves are carried out: each
     * may be fenced, be at the stage with the longest name, and have its target beside its source as an owner.
     */
    public int most() {
        int more = (paused ? 1 : 0) + (stopped ? 2 : 0); // false is longer than true
        for (Carry c : moves.values()) {
            more += c.longest() - c.text().length();
            if (!owners.getOrDefault(c.block(), Collections.emptySortedSet()).contains(c.to())) {
                var owner = new StringBuilder(",");
                Json.quote(owner, c.to());
                more += 2 * owner.length();
            }
        }
        return body().length() + fallback().length() + more;
    }

    /** Whether nothing has to move any more, as far as the plan says: no node was asked what room it has. */
    public boolean reached() {
        if (goal == null || !moves.isEmpty()) {
            return false;
        }
        var rooms = new TreeMap<String, Room>();
        goal.nodes().forEach(n -> rooms.put(n.id(), new Room(n.diskMb(), 0, 0)));
        return Planner.plan(fleet(rooms)) instanceof Answer.Plan plan && plan.moves().isEmpty();
    }

    State pausing(boolean pause) {
        return new State(owners, mb, copies, moves, frozen, atOnce, pause, stopped, goal);
    }

    /** Nothing more is begun, and what may be taken back is. */
    State stopping() {
        var next = unbegun(false);
        next.replaceAll((b, c) -> c.stage().early() ? c.at(Stage.BACK) : c);
        return new State(owners, mb, copies, next, frozen, atOnce, paused, true, goal);
    }

    /** With other moves and owners. */
    State with(SortedMap<String, Carry> others, SortedMap<String, SortedSet<String>> own) {
        return new State(own, mb, copies, others, frozen, atOnce, paused, stopped, goal);
    }

    /** Its moves, with those that are not begun or without. */
    SortedMap<String, Carry> unbegun(boolean kept) {
        var left = new TreeMap<>(moves);
        left.values().removeIf(c -> !kept && c.stage() == Stage.PLANNED);
        return left;
    }

    /** Reads a body that its kind has checked. @throws IllegalArgumentException where a move or the goal is none */
    public static State read(Body body) {
        var owners = new TreeMap<String, SortedSet<String>>();
        var mb = new TreeMap<String, Long>();
        var copies = new TreeMap<String, Integer>();
        body.fields().forEach((field, value) -> {
            if (field.startsWith(OWNERS)) {
                owners.put(field.substring(OWNERS.length()), ((Value.Names) value).value());
            } else if (field.startsWith(MB)) {
                mb.put(field.substring(MB.length()), (long) ((Value.Amount) value).value());
            } else if (field.startsWith(COPIES)) {
                copies.put(field.substring(COPIES.length()), (int) ((Value.Amount) value).value());
            }
        });
        var moves = new TreeMap<String, Carry>();
        for (String text : names(body, "moves")) {
            Carry c = Carry.read(text);
            moves.put(c.block(), c);
        }
        String goal = body.text("goal");
        return new State(owners, mb, copies, moves, names(body, "frozen"), (int) body.amount("moves_at_once", 0),
                body.flag("paused", false), body.flag("stopped", false), goal == null ? null : Goal.read(goal));
    }

    private static SortedSet<String> names(Body body, String field) {
        return body.fields().get(field) instanceof Value.Names n ? n.value() : Collections.emptySortedSet();
    }

    /** As a document's body. */
    public String body() {
        return json(moves.values(), paused);
    }

    /** As a document's fallback: the owners are known, and nothing is moved by one that can't be sure. */
    public String fallback() {
        return json(List.of(), true);
    }

    private String json(Collection<Carry> some, boolean pause) {
        var to = new StringBuilder("{");
        owners.forEach((b, on) -> names(field(to, OWNERS + b), on));
        mb.forEach((b, n) -> field(to, MB + b).append(n));
        copies.forEach((b, n) -> field(to, COPIES + b).append(n));
        var texts = new ArrayList<String>();
        some.forEach(c -> texts.add(c.text()));
        names(field(to, "moves"), texts);
        names(field(to, "frozen"), frozen);
        field(to, "moves_at_once").append(atOnce);
        field(to, "paused").append(pause);
        field(to, "stopped").append(stopped);
        if (goal != null) {
            Json.quote(field(to, "goal"), goal.text());
        }
        return to.append('}').toString();
    }

    private static StringBuilder field(StringBuilder to, String name) {
        Json.quote(to.append(to.length() == 1 ? "" : ","), name);
        return to.append(':');
    }

    private static void names(StringBuilder to, Collection<String> names) {
        to.append('[');
        Consumer<String> each = n -> Json.quote(to.append(to.charAt(to.length() - 1) == '[' ? "" : ","), n);
        names.forEach(each);
        to.append(']');
    }

    /** Blocks as they lie, on nodes as large as they are now. */
    Fleet fleet(Map<String, Room> rooms) {
        var nodes = goal.nodes().stream().map(n -> {
            Room r = rooms.get(n.id());
            // what is not ours is as if the disk were smaller
            long usable = goal.usable(n.id(), r.diskMb()) - r.otherMb();
            long disk = Math.max(0, usable) * Fleet.MILLION / (Fleet.MILLION - goal.headroom());
            while (disk * (Fleet.MILLION - goal.headroom()) / Fleet.MILLION < Math.max(1, usable)) {
                disk++; // shares are rounded down twice
            }
            return new wallmoor.placement.Node(n.id(), n.cell(), disk, n.drain());
        }).toList();
        var blocks = owners.entrySet().stream()
                .map(e -> new Block(e.getKey(), mb.get(e.getKey()), List.copyOf(e.getValue()))).toList();
        return new Fleet(goal.headroom(), goal.spread(), goal.level(), nodes, blocks);
    }
}
