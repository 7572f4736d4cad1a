package wallmoor.migration;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.migration.MigrationCoordinator.OperatorCommand;
import wallmoor.placement.BlockReplicas;
import wallmoor.placement.PlacementPlanner;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.PlacementResult;
import wallmoor.placement.StorageNode;
import wallmoor.rules.RuleBody;

/**
 * One version of the replicated document {@code plan}: who owns which block, and the migrations in progress. Immutable;
 * each change is a new version. {@link MigrationPlanCodec} has its stored form.
 *
 * @param owners        nodes with a complete replica that queries may be sent to, by block
 * @param sizesMb       size in megabytes, by block
 * @param minCopies     replicas that must remain when one is dropped, by block
 * @param migrations    migration in progress, by block; a block has one at a time
 * @param frozenBlocks  blocks of which no migration is begun
 * @param maxConcurrent maximum of migrations that copy at the same time
 * @param paused        whether no migration is begun, and only fenced ones copy
 * @param stopped       whether no migration is begun, and revocable ones are rolled back
 * @param target        placement that migrations are planned for; null before the first one is set
 */
public record MigrationPlan(SortedMap<String, SortedSet<String>> owners, SortedMap<String, Long> sizesMb,
        SortedMap<String, Integer> minCopies, SortedMap<String, Migration> migrations, SortedSet<String> frozenBlocks,
        int maxConcurrent, boolean paused, boolean stopped, PlacementTarget target) {
    /** Takes copies of the collections. */
    public MigrationPlan {
        var copiedOwners = new TreeMap<String, SortedSet<String>>();
        owners.forEach((block, nodes) -> copiedOwners.put(block,
                Collections.unmodifiableSortedSet(new TreeSet<>(nodes))));
        owners = Collections.unmodifiableSortedMap(copiedOwners);
        sizesMb = Collections.unmodifiableSortedMap(new TreeMap<>(sizesMb));
        minCopies = Collections.unmodifiableSortedMap(new TreeMap<>(minCopies));
        migrations = Collections.unmodifiableSortedMap(new TreeMap<>(migrations));
        frozenBlocks = Collections.unmodifiableSortedSet(new TreeSet<>(frozenBlocks));
    }

    /** Returns the first version of the plan, without migrations. */
    public static MigrationPlan initial(PlacementProblem problem, int maxConcurrent) {
        var owners = new TreeMap<String, SortedSet<String>>();
        var sizesMb = new TreeMap<String, Long>();
        var minCopies = new TreeMap<String, Integer>();
        for (BlockReplicas block : problem.blocks()) {
            owners.put(block.id(), new TreeSet<>(block.holders()));
            sizesMb.put(block.id(), block.sizeMb());
            minCopies.put(block.id(), block.holders().size());
        }
        return new MigrationPlan(owners, sizesMb, minCopies, new TreeMap<>(), new TreeSet<>(), maxConcurrent, false,
                false, PlacementTarget.of(problem));
    }

    /**
     * Returns the plan for another target, neither paused nor stopped. Migrations that have not begun are dropped and
     * planned again. Nodes that the target lacks count as lost, with their replicas.
     *
     * @throws IncompatibleTargetException where a block would lose its last replica, or a migration past its point of
     *                                     no return would lose a node
     */
    public MigrationPlan retargeted(PlacementTarget newTarget, int newMaxConcurrent)
            throws IncompatibleTargetException {
        var remainingOwners = new TreeMap<String, SortedSet<String>>();
        var remainingCopies = new TreeMap<>(minCopies);
        for (Map.Entry<String, SortedSet<String>> entry : owners.entrySet()) {
            String block = entry.getKey();
            var remaining = new TreeSet<>(entry.getValue());
            remaining.removeIf(node -> !newTarget.hasNode(node));
            if (remaining.isEmpty()) {
                throw new IncompatibleTargetException("block " + block + " has replicas only on " + entry.getValue()
                        + ", and the file has none of these nodes");
            }
            remainingOwners.put(block, remaining);
            remainingCopies.merge(block, remaining.size(), Math::min);
        }
        for (Migration m : migrations.values()) {
            if (isIrrevocable(m) && !(newTarget.hasNode(m.from()) && newTarget.hasNode(m.to()))) {
                throw new IncompatibleTargetException("the move of " + m.block() + " from " + m.from() + " to "
                        + m.to() + " can no longer be rolled back and has not finished: the file must have both nodes");
            }
        }
        return new MigrationPlan(remainingOwners, sizesMb, remainingCopies, begunMigrations(), frozenBlocks,
                newMaxConcurrent, false, false, newTarget);
    }

    private static boolean isIrrevocable(Migration m) {
        return !m.stage().isRevocable() && m.stage() != MigrationStage.BACK && m.stage() != MigrationStage.PLANNED;
    }

    /** Returns the plan after an operator's command. */
    public MigrationPlan withCommand(OperatorCommand command) {
        return command == OperatorCommand.STOP ? withStopped() : withPaused(command == OperatorCommand.PAUSE);
    }

    /**
     * Returns whether no migration is left to plan, computed from the disk sizes in the target; the space that nodes
     * report is not considered.
     */
    public boolean isTargetReached() {
        if (target == null || !migrations.isEmpty()) {
            return false;
        }
        var space = new TreeMap<String, DiskSpace>();
        target.nodes().forEach(n -> space.put(n.id(), new DiskSpace(n.diskMb(), 0, 0)));
        return PlacementPlanner.plan(toProblem(space)) instanceof PlacementResult.Plan plan && plan.moves().isEmpty();
    }

    MigrationPlan withPaused(boolean newPaused) {
        return new MigrationPlan(owners, sizesMb, minCopies, migrations, frozenBlocks, maxConcurrent, newPaused,
                stopped, target);
    }

    /** Returns the stopped plan: no migration is begun any more, and each revocable one is rolled back. */
    MigrationPlan withStopped() {
        SortedMap<String, Migration> remaining = begunMigrations();
        remaining.replaceAll((block, m) -> m.stage().isRevocable() ? m.withStage(MigrationStage.BACK) : m);
        return new MigrationPlan(owners, sizesMb, minCopies, remaining, frozenBlocks, maxConcurrent, paused, true,
                target);
    }

    MigrationPlan withMigrations(SortedMap<String, Migration> newMigrations,
            SortedMap<String, SortedSet<String>> newOwners) {
        return new MigrationPlan(newOwners, sizesMb, minCopies, newMigrations, frozenBlocks, maxConcurrent, paused,
                stopped, target);
    }

    private SortedMap<String, Migration> begunMigrations() {
        var begun = new TreeMap<>(migrations);
        begun.values().removeIf(m -> m.stage() == MigrationStage.PLANNED);
        return begun;
    }

    /** Returns the document's body. */
    public String body() {
        return MigrationPlanCodec.body(this);
    }

    /** Returns the document's fallback, for gatherers without a lease: it has the owners, but no migrations. */
    public String fallback() {
        return MigrationPlanCodec.fallback(this);
    }

    /**
     * Returns an upper bound of the length of body and fallback together, in characters, while the present migrations
     * are carried out.
     */
    public int maxEncodedLength() {
        return MigrationPlanCodec.maxEncodedLength(this);
    }

    /** Decodes a body that {@code rules.DocumentSchemas.PLAN} has validated. */
    public static MigrationPlan decode(RuleBody body) throws UnreadablePlanException {
        return MigrationPlanCodec.decode(body);
    }

    /**
     * Returns the placement problem that remains: the blocks on their present owners, and the nodes with the disk space
     * that they reported.
     */
    PlacementProblem toProblem(Map<String, DiskSpace> spaceByNode) {
        List<StorageNode> nodes = target.nodes().stream().map(n -> new StorageNode(n.id(), n.cell(),
                plannableDiskMb(n.id(), spaceByNode.get(n.id())), n.draining())).toList();
        List<BlockReplicas> blocks = owners.entrySet().stream()
                .map(e -> new BlockReplicas(e.getKey(), sizesMb.get(e.getKey()), List.copyOf(e.getValue()))).toList();
        return new PlacementProblem(target.headroom(), target.spread(), target.level(), nodes, blocks);
    }

    /** Returns the size of a disk without other data that has as much usable space as the node's disk. */
    private long plannableDiskMb(String node, DiskSpace space) {
        long unreserved = (long) PlacementProblem.MILLION - target.headroom();
        long usableMb = target.usableMb(node, space.diskMb()) - space.otherMb();
        long diskMb = Math.max(0, usableMb) * PlacementProblem.MILLION / unreserved;
        while (diskMb * unreserved / PlacementProblem.MILLION < Math.max(1, usableMb)) {
            diskMb++; // this division and the one above round down
        }
        return diskMb;
    }
}
