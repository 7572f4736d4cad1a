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
 * @param owners        by block, the nodes with a complete replica that queries may be sent to
 * @param sizesMb       by block
 * @param minCopies     by block, the replicas that must remain when one is dropped
 * @param migrations    by block: a block has one migration at a time
 * @param frozenBlocks  blocks of which no migration is begun
 * @param maxConcurrent migrations that copy at one time
 * @param target        what is planned for; null before the first
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

    /** The first version: no migration yet. */
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
     * The plan for another target, neither paused nor stopped. Migrations that have not begun are planned anew. Nodes
     * that the target lacks are taken for lost, with their replicas.
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
                throw new IncompatibleTargetException("block " + block + " has copies on " + entry.getValue()
                        + " alone, which the file does not have");
            }
            remainingOwners.put(block, remaining);
            remainingCopies.merge(block, remaining.size(), Math::min);
        }
        for (Migration m : migrations.values()) {
            if (isIrrevocable(m) && !(newTarget.hasNode(m.from()) && newTarget.hasNode(m.to()))) {
                throw new IncompatibleTargetException("the move of " + m.block() + " from " + m.from() + " to "
                        + m.to() + " is handed over and not ended; it needs both nodes in the file");
            }
        }
        return new MigrationPlan(remainingOwners, sizesMb, remainingCopies, begunMigrations(), frozenBlocks,
                newMaxConcurrent, false, false, newTarget);
    }

    private static boolean isIrrevocable(Migration m) {
        return !m.stage().isRevocable() && m.stage() != MigrationStage.BACK && m.stage() != MigrationStage.PLANNED;
    }

    /** The plan after an operator's command. */
    public MigrationPlan withCommand(OperatorCommand command) {
        return command == OperatorCommand.STOP ? withStopped() : withPaused(command == OperatorCommand.PAUSE);
    }

    /** Whether the target is reached as far as the plan knows; no node was asked for its actual disk space. */
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

    /** Nothing more is begun, and what can be rolled back is. */
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

    /** The document's body. */
    public String body() {
        return MigrationPlanCodec.body(this);
    }

    /** The document's fallback, for gatherers without a lease: owners are known, and nothing is migrated by it. */
    public String fallback() {
        return MigrationPlanCodec.fallback(this);
    }

    /** Upper bound of body and fallback together, in characters, while the present migrations are carried out. */
    public int maxEncodedLength() {
        return MigrationPlanCodec.maxEncodedLength(this);
    }

    /** Reads a body that the document's kind has validated. */
    public static MigrationPlan decode(RuleBody body) throws UnreadablePlanException {
        return MigrationPlanCodec.decode(body);
    }

    /** The placement problem that is left: blocks as they are placed now, on disks with the space reported. */
    PlacementProblem toProblem(Map<String, DiskSpace> spaceByNode) {
        List<StorageNode> nodes = target.nodes().stream().map(n -> new StorageNode(n.id(), n.cell(),
                plannableDiskMb(n.id(), spaceByNode.get(n.id())), n.draining())).toList();
        List<BlockReplicas> blocks = owners.entrySet().stream()
                .map(e -> new BlockReplicas(e.getKey(), sizesMb.get(e.getKey()), List.copyOf(e.getValue()))).toList();
        return new PlacementProblem(target.headroom(), target.spread(), target.level(), nodes, blocks);
    }

    /** The size of a disk on which blocks alone have as much usable space as they have on the node's. */
    private long plannableDiskMb(String node, DiskSpace space) {
        long unreserved = (long) PlacementProblem.MILLION - target.headroom();
        long usableMb = target.usableMb(node, space.diskMb()) - space.otherMb();
        long diskMb = Math.max(0, usableMb) * PlacementProblem.MILLION / unreserved;
        while (diskMb * unreserved / PlacementProblem.MILLION < Math.max(1, usableMb)) {
            diskMb++; // shares are rounded down twice
        }
        return diskMb;
    }
}
