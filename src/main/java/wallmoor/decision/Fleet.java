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
import wallmoor.decision.RouterApi.Layout;
import wallmoor.decision.RouterApi.LeafEntry;
import wallmoor.decision.RouterApi.LeafState;
import wallmoor.decision.State.Leaf;

/** The leaves that lists have named, found by id, by the tag of peer messages, and by the shards they hold. */
final class Fleet {
    /** With more shards in a cell than this, forgetting all answers costs less than finding those of one cell. */
    private static final int MOST_SHARDS_A_CELL = 64;

    private final Layout layout;
    private final Map<String, Leaf> byId = new LinkedHashMap<>();
    private final Map<Integer, Leaf> byTag = new LinkedHashMap<>();
    /** The leaves of each cell, in the order in which they were entered, as {@link #byId} has them. */
    private final Map<Integer, TreeMap<Long, Leaf>> byCell = new HashMap<>();
    private final Map<Leaf, Long> order = new IdentityHashMap<>();
    private final Map<Integer, List<Leaf>> holders = new HashMap<>();
    private long entered;

    Fleet(Layout layout) {
        this.layout = layout;
    }

    Collection<Leaf> leaves() {
        return byId.values();
    }

    /** The leaf of a tag, if a list has named it. */
    Optional<Leaf> tagged(int tag) {
        return Optional.ofNullable(byTag.get(tag));
    }

    /** Takes in an entry of a list; a leaf new here is made by {@code maker}. */
    Leaf enter(LeafEntry e, Function<String, Leaf> maker) {
        Leaf leaf = byId.computeIfAbsent(e.leaf(), maker);
        if (e.state() == LeafState.REMOVED) {
            leaf.state = e.state();
            forget(leaf);
            return leaf;
        }
        byTag.putIfAbsent(PeerMessage.tagOf(e.leaf()), leaf);
        leaf.zone = e.zone();
        leaf.state = e.state();
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
    void keepOnly(List<LeafEntry> whole) {
        Set<String> named = new HashSet<>();
        whole.forEach(e -> named.add(e.leaf()));
        List<Leaf> gone = byId.values().stream().filter(l -> !named.contains(l.id)).toList();
        gone.forEach(l -> l.state = LeafState.REMOVED);
        gone.forEach(this::forget);
    }

    /** The sizes of those leaves of which this holds. A loop: a stream's classes would be made at each start. */
    DoubleSummaryStatistics sizes(Predicate<Leaf> which) {
        var sizes = new DoubleSummaryStatistics();
        for (Leaf leaf : leaves()) {
            if (which.test(leaf)) {
                sizes.accept(leaf.size);
            }
        }
        return sizes;
    }

    /** Drops a leaf that is gone once nothing is out there: new ones come all day, and none comes back as it was. */
    void forget(Leaf leaf) {
        if (leaf.out.isEmpty() && byId.remove(leaf.id, leaf)) {
            byTag.remove(PeerMessage.tagOf(leaf.id), leaf);
            if (order.containsKey(leaf)) {
                unplace(leaf);
                order.remove(leaf);
            }
        }
    }

    private void place(Leaf leaf, int cell) {
        leaf.cell = cell;
        byCell.computeIfAbsent(cell, c -> new TreeMap<>()).put(order.get(leaf), leaf);
        changed(cell);
    }

    private void unplace(Leaf leaf) {
        byCell.get(leaf.cell).remove(order.get(leaf));
        byCell.computeIfPresent(leaf.cell, (c, leaves) -> leaves.isEmpty() ? null : leaves);
        changed(leaf.cell);
    }

    /** Who holds the shards of a cell is to be found anew. A change of state alone moves no shard. */
    private void changed(int cell) {
        if (exists(cell) && layout.shards() <= layout.cells() * MOST_SHARDS_A_CELL) {
            for (int j = 0; j < layout.reach(); j++) {
                for (int s = Math.floorMod(cell - j, layout.cells()); s < layout.shards(); s += layout.cells()) {
                    holders.remove(s);
                }
            }
        } else {
            holders.clear();
        }
    }

    /** The leaves that hold a shard. A list may be wrong: one in a cell that does not exist holds nothing. */
    List<Leaf> holders(int shard) {
        return holders.computeIfAbsent(shard, s -> {
            var found = new TreeMap<Long, Leaf>();
            for (int j = 0; j < layout.reach(); j++) {
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
