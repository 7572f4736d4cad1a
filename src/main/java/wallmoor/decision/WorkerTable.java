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
import java.util.function.Predicate;

/** The workers that lists have named, found by id, by the tag of gossip messages, and by the shards they hold. */
final class WorkerTable {
    /** With more shards in a cell than this, forgetting all answers costs less than finding those of one cell. */
    private static final int MAX_SHARDS_PER_CELL = 64;

    private final ShardLayout layout;
    private final Map<String, TrackedWorker> byId = new LinkedHashMap<>();
    private final Map<Integer, TrackedWorker> byTag = new LinkedHashMap<>();
    /** The workers of each cell, in the order in which they were entered, as {@link #byId} has them. */
    private final Map<Integer, TreeMap<Long, TrackedWorker>> byCell = new HashMap<>();
    private final IdentityHashMap<TrackedWorker, Long> entryNumbers = new IdentityHashMap<>();
    /** The holders of each shard that was asked for, until a change concerns them. */
    private final Map<Integer, List<TrackedWorker>> holders = new HashMap<>();
    private long entered;

    WorkerTable(ShardLayout layout) {
        this.layout = layout;
    }

    /** All workers, in the order in which they were first named. */
    Collection<TrackedWorker> workers() {
        return byId.values();
    }

    /** The worker of a tag, if a list has named it. */
    Optional<TrackedWorker> byTag(int tag) {
        return Optional.ofNullable(byTag.get(tag));
    }

    /** Takes in an entry of a list, and returns its worker. */
    TrackedWorker update(WorkerListEntry entry) {
        TrackedWorker worker = byId.computeIfAbsent(entry.worker(), TrackedWorker::new);
        if (entry.status() == WorkerStatus.REMOVED) {
            worker.status = entry.status();
            removeIfUnused(worker);
            return worker;
        }
        byTag.putIfAbsent(GossipMessage.workerTag(entry.worker()), worker);
        worker.zone = entry.zone();
        worker.status = entry.status();
        worker.size = entry.size() > 0 ? entry.size() : 1;
        if (!entryNumbers.containsKey(worker)) {
            entryNumbers.put(worker, entered++);
            putInCell(worker, entry.cell());
        } else if (worker.cell != entry.cell()) {
            takeFromCell(worker);
            putInCell(worker, entry.cell());
        }
        return worker;
    }

    /** What a complete list does not name is gone. */
    void retainOnly(List<WorkerListEntry> completeList) {
        Set<String> named = new HashSet<>();
        completeList.forEach(e -> named.add(e.worker()));
        List<TrackedWorker> gone = byId.values().stream().filter(w -> !named.contains(w.id)).toList();
        gone.forEach(w -> w.status = WorkerStatus.REMOVED);
        gone.forEach(this::removeIfUnused);
    }

    /** The sizes of those workers of which this holds. A loop: a stream's classes would be made at each start. */
    DoubleSummaryStatistics relativeSizes(Predicate<TrackedWorker> which) {
        var sizes = new DoubleSummaryStatistics();
        for (TrackedWorker worker : workers()) {
            if (which.test(worker)) {
                sizes.accept(worker.size);
            }
        }
        return sizes;
    }

    /** Drops a removed worker once nothing is in flight there: new ones come all day, and none comes back as it was. */
    void removeIfUnused(TrackedWorker worker) {
        if (worker.inFlight.isEmpty() && byId.remove(worker.id, worker)) {
            byTag.remove(GossipMessage.workerTag(worker.id), worker);
            if (entryNumbers.containsKey(worker)) {
                takeFromCell(worker);
                entryNumbers.remove(worker);
            }
        }
    }

    /** The workers that hold a shard. A list may be wrong: one in a cell that does not exist holds nothing. */
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

    private void putInCell(TrackedWorker worker, int cell) {
        worker.cell = cell;
        byCell.computeIfAbsent(cell, c -> new TreeMap<>()).put(entryNumbers.get(worker), worker);
        forgetHolders(cell);
    }

    private void takeFromCell(TrackedWorker worker) {
        byCell.get(worker.cell).remove(entryNumbers.get(worker));
        byCell.computeIfPresent(worker.cell, (c, workers) -> workers.isEmpty() ? null : workers);
        forgetHolders(worker.cell);
    }

    /** Who holds the shards of a cell is to be found anew. A change of status alone moves no shard. */
    private void forgetHolders(int cell) {
        if (exists(cell) && layout.shards() <= layout.cells() * MAX_SHARDS_PER_CELL) {
            for (int j = 0; j < layout.cellsPerShard(); j++) {
                for (int s = Math.floorMod(cell - j, layout.cells()); s < layout.shards(); s += layout.cells()) {
                    holders.remove(s);
                }
            }
        } else {
            holders.clear();
        }
    }

    private boolean exists(int cell) {
        return cell >= 0 && cell < layout.cells();
    }
}
