package wallmoor.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wallmoor.placement.PlacementModel.ReplicaMove;

/**
 * Groups moves that are legal one after another into waves of moves that run concurrently. A block's moves keep their
 * order. A move that has to wait reserves space on its target if there is enough, and otherwise closes the target to
 * later moves of the wave. The first of the remaining moves is therefore always legal, and scheduling always ends.
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

    /** Schedules all moves, given in an order in which each is legal. Waves are numbered from 1. */
    static List<Move> schedule(PlacementModel model, List<ReplicaMove> moves) {
        var scheduler = new WaveScheduler(model);
        List<ReplicaMove> waiting = moves;
        for (int wave = 1; !waiting.isEmpty(); wave++) {
            waiting = scheduler.scheduleWave(wave, waiting);
        }
        return scheduler.scheduled;
    }

    /** Schedules the moves that can run in a wave, and returns the moves that must wait. */
    private List<ReplicaMove> scheduleWave(int wave, List<ReplicaMove> waiting) {
        List<ReplicaMove> running = new ArrayList<>();
        List<ReplicaMove> later = new ArrayList<>();
        Set<Integer> seenBlocks = new HashSet<>();
        Set<Integer> closedTargets = new HashSet<>();
        long[] reservedMb = usedMb.clone(); // a source frees its space only when the wave has ended
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
            if (firstOfBlock && model.satisfiesSpread(move.block(), holders[move.block()], move.from(), to)) {
                running.add(move);
            } else {
                later.add(move);
            }
        }
        if (running.isEmpty()) {
            throw new IllegalStateException("wave " + wave + ": none of the " + waiting.size()
                    + " waiting moves is legal; the moves must be legal one after another");
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
        PlacementProblem problem = model.problem;
        scheduled.add(new Move(problem.blocks().get(block).id(), problem.nodes().get(move.from()).id(),
                problem.nodes().get(move.to()).id(), sizeMb, wave));
    }

    /** Returns the holders of a block after one of its moves. */
    static int[] holdersAfter(int[] holders, ReplicaMove move) {
        int[] after = holders.clone();
        for (int i = 0; i < after.length; i++) {
            if (after[i] == move.from()) {
                after[i] = move.to();
                return after;
            }
        }
        throw new IllegalStateException("block " + move.block() + " has no replica on node " + move.from());
    }
}
