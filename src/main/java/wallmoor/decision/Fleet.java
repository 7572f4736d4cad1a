package wallmoor.decision;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import wallmoor.decision.RouterApi.Layout;
import wallmoor.decision.RouterApi.LeafEntry;
import wallmoor.decision.RouterApi.LeafState;
import wallmoor.decision.State.Leaf;

/** The leaves that lists have named, found by id, by the tag of peer messages, and by the shards they hold. */
final class Fleet {
    private final Layout layout;
    private final Map<String, Leaf> byId = new LinkedHashMap<>();
    private final Map<Integer, Leaf> byTag = new LinkedHashMap<>();
    private final Map<Integer, List<Leaf>> holders = new LinkedHashMap<>();

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
        leaf.cell = e.cell();
        leaf.state = e.state();
        holders.clear();
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

    /** Drops a leaf that is gone once nothing is out there: new ones come all day, and none comes back as it was. */
    void forget(Leaf leaf) {
        if (leaf.out.isEmpty() && byId.remove(leaf.id, leaf)) {
            byTag.remove(PeerMessage.tagOf(leaf.id), leaf);
            holders.clear();
        }
    }

    /** The leaves that hold a shard. A list may be wrong: one in a cell that does not exist holds nothing. */
    List<Leaf> holders(int shard) {
        return holders.computeIfAbsent(shard, s -> byId.values().stream().filter(l -> holds(l, s)).toList());
    }

    private boolean holds(Leaf leaf, int shard) {
        return leaf.cell >= 0 && leaf.cell < layout.cells()
                && Math.floorMod(leaf.cell - shard, layout.cells()) < layout.reach();
    }
}
