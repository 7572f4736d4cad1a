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

/** The known workers, indexed by id, by the tag of gossip messages, and by the shards that they hold. */
final class WorkerTable {
    /** Number of shards per cell above which clearing all cached holders costs less than removing those of one cell. */
    private static final int MAX_SHARDS_PER_CELL = 64;

    private final ShardLayout layout;
    private final Map<String, TrackedWorker> byId = new LinkedHashMap<>();
    private final Map<Integer, TrackedWorker> byTag = new LinkedHashMap<>();
    /** The workers of each cell by sequence number, which is their order in {@link #byId}. */
    private final Map<Integer, TreeMap<Long, TrackedWorker>> byCell = new HashMap<>();
    private final IdentityHashMap<TrackedWorker, Long> sequenceNumbers = new IdentityHashMap<>();
    /** Cache of the workers that hold each shard, until a change affects them. */
    private final Map<Integer, List<TrackedWorker>> holders = new HashMap<>();
    private long nextSequenceNumber;

    WorkerTable(ShardLayout layout) {
        this.layout = layout;
    }

    /** Returns all workers, in the order in which they were first listed. */
    Collection<TrackedWorker> workers() {
        return byId.values();
    }

    /** Returns the worker with this tag, if one has been listed. */
    Optional<TrackedWorker> byTag(int tag) {
        return Optional.ofNullable(byTag.get(tag));
    }

    /** Applies an entry of a worker list and returns its worker. */
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
        if (!sequenceNumbers.containsKey(worker)) {
            sequenceNumbers.put(worker, nextSequenceNumber++);
            addToCell(worker, entry.cell());
        } else if (worker.cell != entry.cell()) {
            removeFromCell(worker);
            addToCell(worker, entry.cell());
        }
        return worker;
    }

    /** Removes the workers that a complete list does not contain. */
    void retainOnly(List<WorkerListEntry> completeList) {
        Set<String> listedIds = new HashSet<>();
        completeList.forEach(entry -> listedIds.add(entry.worker()));
        List<TrackedWorker> removed = byId.values().stream().filter(w -> !listedIds.contains(w.id)).toList();
        removed.forEach(w -> w.status = WorkerStatus.REMOVED);
        removed.forEach(this::removeIfUnused);
    }

    /**
     * Returns statistics of the sizes of matching workers. This is a loop because a stream would load its classes at
     * each start.
     */
    DoubleSummaryStatistics sizeStatistics(Predicate<TrackedWorker> filter) {
        var sizes = new DoubleSummaryStatistics();
        for (TrackedWorker worker : workers()) {
            if (filter.test(worker)) {
                sizes.accept(worker.size);
            }
        }
        return sizes;
    }

    /**
     * Removes a worker that left the list once nothing is in flight there. New workers replace old ones continuously,
     * and a worker that comes back starts with new state.
     */
    void removeIfUnused(TrackedWorker worker) {
        if (worker.inFlight.isEmpty() && byId.remove(worker.id, worker)) {
            byTag.remove(GossipMessage.workerTag(worker.id), worker);
            if (sequenceNumbers.containsKey(worker)) {
                removeFromCell(worker);
                sequenceNumbers.remove(worker);
            }
        }
    }

    /** Returns the workers that hold a shard. A worker listed in a cell that does not exist holds none. */
    List<TrackedWorker> holders(int shard) {
        return holders.computeIfAbsent(shard, s -> {
            var workersInOrder = new TreeMap<Long, TrackedWorker>();
            for (int j = 0; j < layout.cellsPerShard(); j++) {
                int cell = Math.floorMod(s + j, layout.cells());
                workersInOrder.putAll(byCell.getOrDefault(cell, new TreeMap<>()));
            }
            return List.copyOf(workersInOrder.values());
        });
    }

    private void addToCell(TrackedWorker worker, int cell) {
        worker.cell = cell;
        byCell.computeIfAbsent(cell, c -> new TreeMap<>()).put(sequenceNumbers.get(worker), worker);
        invalidateHolders(cell);
    }

    private void removeFromCell(TrackedWorker worker) {
        byCell.get(worker.cell).remove(sequenceNumbers.get(worker));
        byCell.computeIfPresent(worker.cell, (c, workers) -> workers.isEmpty() ? null : workers);
        invalidateHolders(worker.cell);
    }

    /** Invalidates the cached holders of the shards of a cell. A change of status alone moves no shard. */
    private void invalidateHolders(int cell) {
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
