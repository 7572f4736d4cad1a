package wallmoor.decision;

import java.util.Collection;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import wallmoor.decision.State.TrackedWorker;

/** The leaves that lists have named, found by id, by the tag of peer messages, and by the shards they hold. */
final class WorkerTable {
    /** With more shards in a cell than this, forgetting all answers costs less than finding those of one cell. */
    private static final int MOST_SHARDS_A_CELL = 64;

    private final ShardLayout layout;
    private final Map<String, TrackedWorker> byId = new LinkedHashMap<>();
    private final Map<Integer, TrackedWorker> byTag = new LinkedHashMap<>();
    /** The leaves of each cell, in the order in which they were entered, as {@link #byId} has them. */
    private final Map<Integer, TreeMap<Long, TrackedWorker>> byCell = new HashMap<>();
    private final Map<TrackedWorker, Long> order = new IdentityHashMap<>();
    private final Map<Integer, List<TrackedWorker>> holders = new HashMap<>();
    private long entered;

    WorkerTable(ShardLayout layout) {
        this.layout = layout;
    }

    Collection<TrackedWorker> workers() {
        return byId.values();
    }

    /** The leaf of a tag, if a list has named it. */
    Optional<TrackedWorker> byTag(int tag) {
        return Optional.ofNullable(byTag.get(tag));
    }

    /** Takes in an entry of a list; a leaf new here is made by {@code maker}. */
    TrackedWorker update(WorkerListEntry e, Function<String, TrackedWorker> maker) {
        TrackedWorker leaf = byId.computeIfAbsent(e.worker(), maker);
        if (e.status() == WorkerStatus.REMOVED) {
            leaf.status = e.status();
            removeIfUnused(leaf);
            return leaf;
        }
        byTag.putIfAbsent(GossipMessage.workerTag(e.worker()), leaf);
        leaf.zone = e.zone();
        leaf.status = e.status();
        leaf.size = e.size() > 0 ? e.size() : 1;
        if (!order.containsKey(leaf)) {
            order.put(leaf, entered++);
            place(leaf, e.cell());
        } else if (leaf.cell != e.cell()) {
            unplace(leaf);
            place(leaf, e.cell());
        }
        return leaf;
    }

    /** What a whole list does not name is gone. */
    void retainOnly(List<WorkerListEntry> whole) {
        Set<String> named = new HashSet<>();
        whole.forEach(e -> named.add(e.worker()));
        List<TrackedWorker> gone = byId.values().stream().filter(l -> !named.contains(l.id)).toList();
        gone.forEach(l -> l.status = WorkerStatus.REMOVED);
        gone.forEach(this::removeIfUnused);
    }

    /** The sizes of those leaves of which this holds. A loop: a stream's classes would be made at each start. */
    DoubleSummaryStatistics relativeSizes(Predicate<TrackedWorker> which) {
        var sizes = new DoubleSummaryStatistics();
        for (TrackedWorker leaf : workers()) {
            if (which.test(leaf)) {
                sizes.accept(leaf.size);
            }
        }
        return sizes;
    }

    /** Drops a leaf that is gone once nothing is out there: new ones come all day, and none comes back as it was. */
    void removeIfUnused(TrackedWorker leaf) {
        if (leaf.inFlight.isEmpty() && byId.remove(leaf.id, leaf)) {
            byTag.remove(GossipMessage.workerTag(leaf.id), leaf);
            if (order.containsKey(leaf)) {
                unplace(leaf);
                order.remove(leaf);
            }
        }
    }

    private void place(TrackedWorker leaf, int cell) {
        leaf.cell = cell;
        byCell.computeIfAbsent(cell, c -> new TreeMap<>()).put(order.get(leaf), leaf);
        changed(cell);
    }

    private void unplace(TrackedWorker leaf) {
        byCell.get(leaf.cell).remove(order.get(leaf));
        byCell.computeIfPresent(leaf.cell, (c, leaves) -> leaves.isEmpty() ? null : leaves);
        changed(leaf.cell);
    }

    /** Who holds the shards of a cell is to be found anew. A change of state alone moves no shard. */
    private void changed(int cell) {
        if (exists(cell) && layout.shards() <= layout.cells() * MOST_SHARDS_A_CELL) {
            for (int j = 0; j < layout.cellsPerShard(); j++) {
                for (int s = Math.floorMod(cell - j, layout.cells()); s < layout.shards(); s += layout.cells()) {
                    holders.remove(s);
                }
            }
        } else {
            holders.clear();
        }
    }

    /** The leaves that hold a shard. A list may be wrong: one in a cell that does not exist holds nothing. */
    List<TrackedWorker> holders(int shard) {
        return holders.computeIfAbsent(shard, s -> {
            var found = new TreeMap<Long, TrackedWorker>();
            for (int j = 0; j < layout.cellsPerShard(); j++) {
                int cell = Math.floorMod(s + j, layout.cells());
                found.putAll(byCell.getOrDefault(cell, new TreeMap<>()));
            }
            return List.copyOf(found.values());
        });
    }

    private boolean exists(int cell) {
        return cell >= 0 && cell < layout.cells();
    }
}
