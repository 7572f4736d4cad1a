package wallmoor.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wallmoor.placement.PlacementModel.ReplicaMove;

/**
 * Puts steps that are legal one after another into waves of moves that run at once. A block's steps keep their order.
 * A step that has to wait keeps its room on its node where there is some, and lets nobody in before it where there is
 * none: so whatever comes early, the first of the steps left is always legal, and the waves never come to a stop.
 */
final class WaveScheduler {
    private WaveScheduler() {}

    static List<Move> schedule(PlacementModel model, List<ReplicaMove> steps) {
        int[][] holders = model.initialHolders.clone();
        long[] used = model.initialUsedMb();
        List<Move> moves = new ArrayList<>();
        List<ReplicaMove> left = steps;
        for (int wave = 1; !left.isEmpty(); wave++) {
            List<ReplicaMove> taken = new ArrayList<>();
            List<ReplicaMove> later = new ArrayList<>();
            Set<Integer> blocks = new HashSet<>();
            Set<Integer> closed = new HashSet<>();
            long[] atOnce = used.clone();
            for (ReplicaMove s : left) {
                long mb = model.sizeMb[s.block()];
                boolean first = blocks.add(s.block());
                if (closed.contains(s.to()) || atOnce[s.to()] + mb > model.capacityMb[s.to()]) {
                    closed.add(s.to());
                    later.add(s);
                } else {
                    atOnce[s.to()] += mb;
                    (first && model.maySpread(s.block(), holders[s.block()], s.from(), s.to()) ? taken : later).add(s);
                }
            }
            if (taken.isEmpty()) {
                throw new IllegalStateException("steps that are not legal one after another");
            }
            for (ReplicaMove s : taken) {
                used[s.from()] -= model.sizeMb[s.block()];
                used[s.to()] += model.sizeMb[s.block()];
                holders[s.block()] = holdersAfter(holders[s.block()], s);
                moves.add(new Move(model.fleet.blocks().get(s.block()).id(), model.fleet.nodes().get(s.from()).id(),
                        model.fleet.nodes().get(s.to()).id(), model.sizeMb[s.block()], wave));
            }
            left = later;
        }
        return moves;
    }

    /** The holders after a step. */
    static int[] holdersAfter(int[] holders, ReplicaMove s) {
        int[] after = holders.clone();
        for (int i = 0; i < after.length; i++) {
            if (after[i] == s.from()) {
                after[i] = s.to();
                return after;
            }
        }
        throw new IllegalStateException("block " + s.block() + " is not on node " + s.from());
    }
}
