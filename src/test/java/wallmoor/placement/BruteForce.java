package wallmoor.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Finds the fewest megabytes that a plan copies by exhaustive search: all placements are numbered, and all legal moves
 * are followed from the initial one, cheapest first. It shares only the records with the planner. The replicas of a
 * block without a spread constraint may share a node.
 */
final class BruteForce {
    private final PlacementProblem problem;
    private final List<List<int[]>> choicesByBlock = new ArrayList<>();
    private final boolean[] draining;
    private final boolean[] hasRoomLimit;
    private final boolean[] mustSpread;
    private final boolean hasLevel;
    private final int nodes;

    private BruteForce(PlacementProblem problem, List<PlacementConstraint> enforced) {
        this.problem = problem;
        nodes = problem.nodes().size();
        draining = new boolean[nodes];
        hasRoomLimit = new boolean[nodes];
        mustSpread = new boolean[problem.blocks().size()];
        for (int i = 0; i < nodes; i++) {
            List<String> own = List.of(problem.nodes().get(i).id());
            draining[i] = enforced.contains(new PlacementConstraint(PlacementRule.DRAIN, own, List.of()));
            hasRoomLimit[i] = enforced.contains(new PlacementConstraint(PlacementRule.ROOM, own, List.of()));
        }
        for (int b = 0; b < mustSpread.length; b++) {
            BlockReplicas block = problem.blocks().get(b);
            mustSpread[b] = block.holders().size() == 1
                    || enforced.contains(new PlacementConstraint(PlacementRule.SPREAD, List.of(), List.of(block.id())));
            List<int[]> all = new ArrayList<>();
            listChoices(all, new int[block.holders().size()], 0, 0, mustSpread[b]);
            choicesByBlock.add(all);
        }
        hasLevel = enforced.contains(new PlacementConstraint(PlacementRule.LEVEL, List.of(), List.of()));
    }

    /** Returns the megabytes that the cheapest plan under these constraints copies, or -1 if there is no plan. */
    static long minCopiedMb(PlacementProblem problem, List<PlacementConstraint> enforced) {
        return new BruteForce(problem, enforced).search();
    }

    /** Returns all constraints of a problem. */
    static List<PlacementConstraint> allConstraints(PlacementProblem problem) {
        List<PlacementConstraint> all = new ArrayList<>(
                List.of(new PlacementConstraint(PlacementRule.LEVEL, List.of(), List.of())));
        all.removeIf(r -> problem.level() < 0);
        for (StorageNode n : problem.nodes()) {
            all.add(new PlacementConstraint(PlacementRule.ROOM, List.of(n.id()), List.of()));
            if (n.draining()) {
                all.add(new PlacementConstraint(PlacementRule.DRAIN, List.of(n.id()), List.of()));
            }
        }
        problem.blocks()
                .forEach(b -> all.add(new PlacementConstraint(PlacementRule.SPREAD, List.of(), List.of(b.id()))));
        return all;
    }

    /** Lists all choices of nodes for the replicas of a block, in ascending order of nodes. */
    private void listChoices(List<int[]> all, int[] own, int position, int from, boolean distinct) {
        if (position == own.length) {
            all.add(own.clone());
            return;
        }
        for (int n = from; n < nodes; n++) {
            own[position] = n;
            listChoices(all, own, position + 1, distinct ? n + 1 : n, distinct);
        }
    }

    /** Returns the index of a block's holders in its list of choices, or -1. */
    private int choiceIndex(int block, int[] own) {
        int[] sorted = own.clone();
        Arrays.sort(sorted);
        for (int i = 0; i < choicesByBlock.get(block).size(); i++) {
            if (Arrays.equals(choicesByBlock.get(block).get(i), sorted)) {
                return i;
            }
        }
        return -1;
    }

    /** Searches the placements in the order of megabytes copied. */
    private long search() {
        int count = choicesByBlock.size();
        int placements = 1;
        int start = 0;
        for (int b = 0; b < count; b++) {
            int[] initial = problem.blocks().get(b).holders().stream()
                    .mapToInt(id -> problem.nodes().stream().map(StorageNode::id).toList().indexOf(id)).toArray();
            start += choiceIndex(b, initial) * placements;
            placements *= choicesByBlock.get(b).size();
        }
        long[] costMb = new long[placements];
        Arrays.fill(costMb, Long.MAX_VALUE);
        costMb[start] = 0;
        var open = new PriorityQueue<long[]>((x, y) -> Long.compare(x[0], y[0]));
        open.add(new long[] {0, start});
        while (!open.isEmpty()) {
            long[] next = open.poll();
            int current = (int) next[1];
            if (next[0] > costMb[current]) {
                continue;
            }
            int[][] holders = new int[count][];
            long[] usedMb = new long[nodes];
            for (int b = 0, rest = current; b < count; b++) {
                holders[b] = choicesByBlock.get(b).get(rest % choicesByBlock.get(b).size());
                rest /= choicesByBlock.get(b).size();
                for (int n : holders[b]) {
                    usedMb[n] += problem.blocks().get(b).sizeMb();
                }
            }
            if (isGoal(holders, usedMb)) {
                return next[0];
            }
            for (int b = 0, unit = 1; b < count; unit *= choicesByBlock.get(b).size(), b++) {
                for (int replica = 0; replica < holders[b].length; replica++) {
                    for (int to = 0; to < nodes; to++) {
                        if (isLegal(holders[b], b, replica, to, usedMb)) {
                            int[] moved = holders[b].clone();
                            moved[replica] = to;
                            int target = current + (choiceIndex(b, moved) - choiceIndex(b, holders[b])) * unit;
                            long newCostMb = next[0] + problem.blocks().get(b).sizeMb();
                            if (newCostMb < costMb[target]) {
                                costMb[target] = newCostMb;
                                open.add(new long[] {newCostMb, target});
                            }
                        }
                    }
                }
            }
        }
        return -1;
    }

    private boolean isLegal(int[] holders, int block, int replica, int to, long[] usedMb) {
        if (holders[replica] == to || draining[to]
                || (hasRoomLimit[to] && exceedsDisk(to, usedMb[to] + problem.blocks().get(block).sizeMb()))) {
            return false;
        }
        for (int other = 0; other < holders.length; other++) {
            if (other != replica && mustSpread[block] && shareDomain(holders[other], to)) {
                return false;
            }
        }
        return true;
    }

    private boolean shareDomain(int a, int b) {
        return a == b
                || (problem.spread() == FailureDomain.CELL
                        && problem.nodes().get(a).cell().equals(problem.nodes().get(b).cell()));
    }

    private boolean exceedsDisk(int node, long mb) {
        return mb * PlacementProblem.MILLION > problem.nodes().get(node).diskMb()
                * (PlacementProblem.MILLION - problem.headroom());
    }

    private boolean isGoal(int[][] holdersByBlock, long[] usedMb) {
        for (int i = 0; i < nodes; i++) {
            if ((draining[i] && usedMb[i] > 0) || (hasRoomLimit[i] && !draining[i] && exceedsDisk(i, usedMb[i]))) {
                return false;
            }
            for (int j = 0; hasLevel && j < nodes; j++) {
                if (!problem.nodes().get(i).draining() && !problem.nodes().get(j).draining()
                        && exceedsLevel(i, j, usedMb)) {
                    return false;
                }
            }
        }
        for (int b = 0; b < holdersByBlock.length; b++) {
            if (mustSpread[b] && anyShareDomain(holdersByBlock[b])) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the first node is fuller than the second by more than the level. */
    private boolean exceedsLevel(int i, int j, long[] usedMb) {
        long a = problem.nodes().get(i).diskMb();
        long b = problem.nodes().get(j).diskMb();
        // the level as a share of the whole disk; an integer in all problems of these tests
        long levelOfDisk = (long) problem.level() / 1_000 * (PlacementProblem.MILLION - problem.headroom()) / 1_000;
        return (usedMb[i] * b - usedMb[j] * a) * PlacementProblem.MILLION > levelOfDisk * a * b;
    }

    private boolean anyShareDomain(int[] holders) {
        for (int c = 0; c < holders.length; c++) {
            for (int d = 0; d < c; d++) {
                if (shareDomain(holders[c], holders[d])) {
                    return true;
                }
            }
        }
        return false;
    }
}
