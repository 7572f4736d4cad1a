package wallmoor.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wallmoor.placement.PlacementModel.ReplicaMove;

/**
 * Wave scheduling: puts moves that are legal one after another into waves of moves that run concurrently. A block's
 * moves keep their order. A move that has to wait reserves its room on its target where there is some, and lets no
 * later one in where there is none: so the first of the moves left is always legal, and scheduling always ends.
 */
final class WaveScheduler {
    private final PlacementModel model;
    private final int[][] holders;
    private final long[] usedMb;
    private final List<Move> scheduled = new ArrayList<>();

    private WaveScheduler(PlacementModel model) {
        this.model = model;
        holders = model.initialHolders.clone();
        usedMb = model.initialUsedMb();
    }

    /** Schedules all moves, given in an order in which each is legal; waves count from 1. */
    static List<Move> schedule(PlacementModel model, List<ReplicaMove> moves) {
        var scheduler = new WaveScheduler(model);
        List<ReplicaMove> waiting = moves;
        for (int wave = 1; !waiting.isEmpty(); wave++) {
            waiting = scheduler.scheduleWave(wave, waiting);
        }
        return scheduler.scheduled;
    }

    /** Schedules the moves that can run in a wave, and returns those that wait. */
    private List<ReplicaMove> scheduleWave(int wave, List<ReplicaMove> waiting) {
        List<ReplicaMove> running = new ArrayList<>();
        List<ReplicaMove> later = new ArrayList<>();
        Set<Integer> seenBlocks = new HashSet<>();
        Set<Integer> closedTargets = new HashSet<>();
        long[] reservedMb = usedMb.clone(); // sources keep their bytes until the wave has ended
        for (ReplicaMove move : waiting) {
            long sizeMb = model.sizeMb[move.block()];
            boolean firstOfBlock = seenBlocks.add(move.block());
            int to = move.to();
            if (closedTargets.contains(to) || reservedMb[to] + sizeMb > model.capacityMb[to]) {
                closedTargets.add(to);
                later.add(move);
                continue;
            }
            reservedMb[to] += sizeMb;
            if (firstOfBlock && model.maySpread(move.block(), holders[move.block()], move.from(), to)) {
                running.add(move);
            } else {
                later.add(move);
            }
        }
        if (running.isEmpty()) {
            throw new IllegalStateException("steps that are not legal one after another");
        }
        running.forEach(move -> complete(move, wave));
        return later;
    }

    private void complete(ReplicaMove move, int wave) {
        int block = move.block();
        long sizeMb = model.sizeMb[block];
        usedMb[move.from()] -= sizeMb;
        usedMb[move.to()] += sizeMb;
        holders[block] = holdersAfter(holders[block], move);
        PlacementProblem problem = model.fleet;
        scheduled.add(new Move(problem.blocks().get(block).id(), problem.nodes().get(move.from()).id(),
                problem.nodes().get(move.to()).id(), sizeMb, wave));
    }

    /** A block's holders after one of its moves. */
    static int[] holdersAfter(int[] holders, ReplicaMove move) {
        int[] after = holders.clone();
        for (int i = 0; i < after.length; i++) {
            if (after[i] == move.from()) {
                after[i] = move.to();
                return after;
            }
        }
        throw new IllegalStateException("block " + move.block() + " is not on node " + move.from());
    }
}
