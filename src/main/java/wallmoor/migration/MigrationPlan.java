package wallmoor.migration;

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
import wallmoor.placement.BlockReplicas;
import wallmoor.placement.PlacementPlanner;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.PlacementResult;
import wallmoor.rules.FieldValue;
import wallmoor.rules.RuleBody;

/**
 * What the document {@code plan} says: who owns which block, and which moves are out. {@code versions.Kinds.PLAN}
 * checks its fields.
 *
 * @param owners of each block: whole copies that queries may be sent to
 * @param sizesMb     of each block
 * @param minCopies of each block that must be there before one is taken away
 * @param migrations  by block: a block moves once at a time
 * @param frozenBlocks blocks that no move is begun of
 * @param target   what is planned for; null before the first
 */
public record MigrationPlan(SortedMap<String, SortedSet<String>> owners, SortedMap<String, Long> sizesMb,
        SortedMap<String, Integer> minCopies,
        SortedMap<String, Migration> migrations, SortedSet<String> frozenBlocks, int maxConcurrent, boolean paused,
        boolean stopped,
        PlacementTarget target) {
    private static final String OWNERS = "owners.";
    private static final String MB = "mb.";
    private static final String COPIES = "copies.";

    public MigrationPlan {
        var kept = new TreeMap<String, SortedSet<String>>();
        owners.forEach((b, on) -> kept.put(b, Collections.unmodifiableSortedSet(new TreeSet<>(on))));
        owners = Collections.unmodifiableSortedMap(kept);
        sizesMb = Collections.unmodifiableSortedMap(new TreeMap<>(sizesMb));
        minCopies = Collections.unmodifiableSortedMap(new TreeMap<>(minCopies));
        migrations = Collections.unmodifiableSortedMap(new TreeMap<>(migrations));
        frozenBlocks = Collections.unmodifiableSortedSet(new TreeSet<>(frozenBlocks));
    }

    /** Nothing moved yet. */
    public static MigrationPlan initial(PlacementProblem fleet, int atOnce) {
        var owners = new TreeMap<String, SortedSet<String>>();
        var mb = new TreeMap<String, Long>();
        var copies = new TreeMap<String, Integer>();
        for (BlockReplicas b : fleet.blocks()) {
            owners.put(b.id(), new TreeSet<>(b.holders()));
            mb.put(b.id(), b.sizeMb());
            copies.put(b.id(), b.holders().size());
        }
        return new MigrationPlan(owners, mb, copies, new TreeMap<>(), new TreeSet<>(), atOnce, false, false,
                PlacementTarget.of(fleet));
    }

    /**
     * With another goal, running again; its moves are planned anew. Nodes that the goal does not have are gone, and
     * what they held.
     *
     * @throws IllegalArgumentException where a block's only copies are gone, or a node that a move can't end without
     */
    public MigrationPlan retargeted(PlacementTarget next, int most) {
        var own = new TreeMap<String, SortedSet<String>>();
        var needed = new TreeMap<>(minCopies);
        owners.forEach((b, on) -> {
            var left = new TreeSet<>(on);
            left.removeIf(n -> !next.hasNode(n));
            if (left.isEmpty()) {
                throw new IllegalArgumentException(
                        "block " + b + " has copies on " + on + " alone, which the file does not have");
            }
            own.put(b, left);
            needed.merge(b, left.size(), Math::min);
        });
        migrations.values().stream()
                .filter(c -> !c.stage().isRevocable() && c.stage() != MigrationStage.BACK
                        && c.stage() != MigrationStage.PLANNED
                        && !(next.hasNode(c.from()) && next.hasNode(c.to())))
                .findFirst().ifPresent(c -> {
                    throw new IllegalArgumentException(
                            "the move of " + c.block() + " from " + c.from() + " to " + c.to()
                                    + " is handed over and not ended; it needs both nodes in the file");
                });
        return new MigrationPlan(own, sizesMb, needed, unbegun(false), frozenBlocks, most, false, false, next);
    }

    /** As an operator wants it. */
    public MigrationPlan withCommand(MigrationCoordinator.OperatorCommand wish) {
        return wish == MigrationCoordinator.OperatorCommand.STOP ? withStopped()
                : withPaused(wish == MigrationCoordinator.OperatorCommand.PAUSE);
    }

    /**
     * Characters of its body and fallback together, at the most that they come to while its moves are carried out: each
     * may be fenced, be at the stage with the longest name, and have its target beside its source as an owner.
     */
    public int maxEncodedLength() {
        int more = (paused ? 1 : 0) + (stopped ? 2 : 0); // false is longer than true
        for (Migration c : migrations.values()) {
            more += c.maxEncodedLength() - c.encode().length();
            if (!owners.getOrDefault(c.block(), Collections.emptySortedSet()).contains(c.to())) {
                var owner = new StringBuilder(",");
                Json.quote(owner, c.to());
                more += 2 * owner.length();
            }
        }
        return body().length() + fallback().length() + more;
    }

    /** Whether nothing has to move any more, as far as the plan says: no node was asked what room it has. */
    public boolean isTargetReached() {
        if (target == null || !migrations.isEmpty()) {
            return false;
        }
        var rooms = new TreeMap<String, DiskSpace>();
        target.nodes().forEach(n -> rooms.put(n.id(), new DiskSpace(n.diskMb(), 0, 0)));
        return PlacementPlanner.plan(fleet(rooms)) instanceof PlacementResult.Plan plan && plan.moves().isEmpty();
    }

    MigrationPlan withPaused(boolean pause) {
        return new MigrationPlan(owners, sizesMb, minCopies, migrations, frozenBlocks, maxConcurrent, pause, stopped,
                target);
    }

    /** Nothing more is begun, and what may be taken back is. */
    MigrationPlan withStopped() {
        var next = unbegun(false);
        next.replaceAll((b, c) -> c.stage().isRevocable() ? c.withStage(MigrationStage.BACK) : c);
        return new MigrationPlan(owners, sizesMb, minCopies, next, frozenBlocks, maxConcurrent, paused, true, target);
    }

    /** With other moves and owners. */
    MigrationPlan withMigrations(SortedMap<String, Migration> others, SortedMap<String, SortedSet<String>> own) {
        return new MigrationPlan(own, sizesMb, minCopies, others, frozenBlocks, maxConcurrent, paused, stopped, target);
    }

    /** Its moves, with those that are not begun or without. */
    SortedMap<String, Migration> unbegun(boolean kept) {
        var left = new TreeMap<>(migrations);
        left.values().removeIf(c -> !kept && c.stage() == MigrationStage.PLANNED);
        return left;
    }

    /** Reads a body that its kind has checked. @throws IllegalArgumentException where a move or the goal is none */
    public static MigrationPlan decode(RuleBody body) {
        var owners = new TreeMap<String, SortedSet<String>>();
        var mb = new TreeMap<String, Long>();
        var copies = new TreeMap<String, Integer>();
        body.fields().forEach((field, value) -> {
            if (field.startsWith(OWNERS)) {
                owners.put(field.substring(OWNERS.length()), ((FieldValue.Names) value).value());
            } else if (field.startsWith(MB)) {
                mb.put(field.substring(MB.length()), (long) ((FieldValue.Amount) value).value());
            } else if (field.startsWith(COPIES)) {
                copies.put(field.substring(COPIES.length()), (int) ((FieldValue.Amount) value).value());
            }
        });
        var moves = new TreeMap<String, Migration>();
        for (String text : names(body, "moves")) {
            Migration c = Migration.decode(text);
            moves.put(c.block(), c);
        }
        String goal = body.text("goal");
        return new MigrationPlan(owners, mb, copies, moves, names(body, "frozen"),
                (int) body.amount("moves_at_once", 0),
                body.flag("paused", false), body.flag("stopped", false),
                goal == null ? null : PlacementTarget.decode(goal));
    }

    private static SortedSet<String> names(RuleBody body, String field) {
        return body.fields().get(field) instanceof FieldValue.Names n ? n.value() : Collections.emptySortedSet();
    }

    /** As a document's body. */
    public String body() {
        return json(migrations.values(), paused);
    }

    /** As a document's fallback: the owners are known, and nothing is moved by one that can't be sure. */
    public String fallback() {
        return json(List.of(), true);
    }

    private String json(Collection<Migration> some, boolean pause) {
        var to = new StringBuilder("{");
        owners.forEach((b, on) -> names(field(to, OWNERS + b), on));
        sizesMb.forEach((b, n) -> field(to, MB + b).append(n));
        minCopies.forEach((b, n) -> field(to, COPIES + b).append(n));
        var texts = new ArrayList<String>();
        some.forEach(c -> texts.add(c.encode()));
        names(field(to, "moves"), texts);
        names(field(to, "frozen"), frozenBlocks);
        field(to, "moves_at_once").append(maxConcurrent);
        field(to, "paused").append(pause);
        field(to, "stopped").append(stopped);
        if (target != null) {
            Json.quote(field(to, "goal"), target.encode());
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
    PlacementProblem fleet(Map<String, DiskSpace> rooms) {
        var nodes = target.nodes().stream().map(n -> {
            DiskSpace r = rooms.get(n.id());
            // what is not ours is as if the disk were smaller
            long usable = target.usableMb(n.id(), r.diskMb()) - r.otherMb();
            long disk = Math.max(0, usable) * PlacementProblem.MILLION / (PlacementProblem.MILLION - target.headroom());
            while (disk * (PlacementProblem.MILLION - target.headroom()) / PlacementProblem.MILLION < Math.max(1,
                    usable)) {
                disk++; // shares are rounded down twice
            }
            return new wallmoor.placement.StorageNode(n.id(), n.cell(), disk, n.draining());
        }).toList();
        var blocks = owners.entrySet().stream()
                .map(e -> new BlockReplicas(e.getKey(), sizesMb.get(e.getKey()), List.copyOf(e.getValue()))).toList();
        return new PlacementProblem(target.headroom(), target.spread(), target.level(), nodes, blocks);
    }
}
