package wallmoor.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The least bytes by trying everything: all placements are numbered, and all legal moves walked from the first,
 * cheapest first. Shares nothing with the planner but the records. Without a block's rule of spread its copies may
 * share a node.
 */
final class BruteForce {
    private final PlacementProblem fleet;
    private final List<List<int[]>> places = new ArrayList<>();
    private final boolean[] drains;
    private final boolean[] bounded;
    private final boolean[] apart;
    private final boolean level;
    private final int nodes;

    private BruteForce(PlacementProblem fleet, List<PlacementConstraint> kept) {
        this.fleet = fleet;
        nodes = fleet.nodes().size();
        drains = new boolean[nodes];
        bounded = new boolean[nodes];
        apart = new boolean[fleet.blocks().size()];
        for (int i = 0; i < nodes; i++) {
            List<String> own = List.of(fleet.nodes().get(i).id());
            drains[i] = kept.contains(new PlacementConstraint(PlacementRule.DRAIN, own, List.of()));
            bounded[i] = kept.contains(new PlacementConstraint(PlacementRule.ROOM, own, List.of()));
        }
        for (int b = 0; b < apart.length; b++) {
            BlockReplicas block = fleet.blocks().get(b);
            apart[b] = block.holders().size() == 1
                    || kept.contains(new PlacementConstraint(PlacementRule.SPREAD, List.of(), List.of(block.id())));
            List<int[]> all = new ArrayList<>();
            list(all, new int[block.holders().size()], 0, 0, apart[b]);
            places.add(all);
        }
        level = kept.contains(new PlacementConstraint(PlacementRule.LEVEL, List.of(), List.of()));
    }

    /** Megabytes of the cheapest plan under these rules, or -1 where there is none. */
    static long least(PlacementProblem fleet, List<PlacementConstraint> kept) {
        return new BruteForce(fleet, kept).walk();
    }

    /** All rules of a fleet. */
    static List<PlacementConstraint> rules(PlacementProblem fleet) {
        List<PlacementConstraint> all = new ArrayList<>(
                List.of(new PlacementConstraint(PlacementRule.LEVEL, List.of(), List.of())));
        all.removeIf(r -> fleet.level() < 0);
        for (StorageNode n : fleet.nodes()) {
            all.add(new PlacementConstraint(PlacementRule.ROOM, List.of(n.id()), List.of()));
            if (n.draining()) {
                all.add(new PlacementConstraint(PlacementRule.DRAIN, List.of(n.id()), List.of()));
            }
        }
        fleet.blocks().forEach(b -> all.add(new PlacementConstraint(PlacementRule.SPREAD, List.of(), List.of(b.id()))));
        return all;
    }

    private void list(List<int[]> all, int[] own, int at, int from, boolean distinct) {
        if (at == own.length) {
            all.add(own.clone());
            return;
        }
        for (int n = from; n < nodes; n++) {
            own[at] = n;
            list(all, own, at + 1, distinct ? n + 1 : n, distinct);
        }
    }

    private int number(int block, int[] own) {
        int[] sorted = own.clone();
        Arrays.sort(sorted);
        for (int i = 0; i < places.get(block).size(); i++) {
            if (Arrays.equals(places.get(block).get(i), sorted)) {
                return i;
            }
        }
        return -1;
    }

    private long walk() {
        int count = places.size();
        int all = 1;
        int start = 0;
        for (int b = 0; b < count; b++) {
            int[] own = fleet.blocks().get(b).holders().stream()
                    .mapToInt(id -> fleet.nodes().stream().map(StorageNode::id).toList().indexOf(id)).toArray();
            start += number(b, own) * all;
            all *= places.get(b).size();
        }
        long[] cost = new long[all];
        Arrays.fill(cost, Long.MAX_VALUE);
        cost[start] = 0;
        var open = new PriorityQueue<long[]>((x, y) -> Long.compare(x[0], y[0]));
        open.add(new long[] {0, start});
        while (!open.isEmpty()) {
            long[] next = open.poll();
            int at = (int) next[1];
            if (next[0] > cost[at]) {
                continue;
            }
            int[][] placed = new int[count][];
            long[] used = new long[nodes];
            for (int b = 0, rest = at; b < count; b++) {
                placed[b] = places.get(b).get(rest % places.get(b).size());
                rest /= places.get(b).size();
                for (int n : placed[b]) {
                    used[n] += fleet.blocks().get(b).sizeMb();
                }
            }
            if (done(placed, used)) {
                return next[0];
            }
            for (int b = 0, unit = 1; b < count; unit *= places.get(b).size(), b++) {
                for (int c = 0; c < placed[b].length; c++) {
                    for (int to = 0; to < nodes; to++) {
                        if (may(placed[b], b, c, to, used)) {
                            int[] own = placed[b].clone();
                            own[c] = to;
                            int then = at + (number(b, own) - number(b, placed[b])) * unit;
                            long costs = next[0] + fleet.blocks().get(b).sizeMb();
                            if (costs < cost[then]) {
                                cost[then] = costs;
                                open.add(new long[] {costs, then});
                            }
                        }
                    }
                }
            }
        }
        return -1;
    }

    private boolean may(int[] own, int block, int copy, int to, long[] used) {
        if (own[copy] == to || drains[to] || (bounded[to] && over(to, used[to] + fleet.blocks().get(block).sizeMb()))) {
            return false;
        }
        for (int other = 0; other < own.length; other++) {
            if (other != copy && apart[block] && near(own[other], to)) {
                return false;
            }
        }
        return true;
    }

    private boolean near(int a, int b) {
        return a == b
                || (fleet.spread() == FailureDomain.CELL
                        && fleet.nodes().get(a).cell().equals(fleet.nodes().get(b).cell()));
    }

    private boolean over(int node, long mb) {
        return mb * PlacementProblem.MILLION > fleet.nodes().get(node).diskMb()
                * (PlacementProblem.MILLION - fleet.headroom());
    }

    private boolean done(int[][] placed, long[] used) {
        for (int i = 0; i < nodes; i++) {
            if ((drains[i] && used[i] > 0) || (bounded[i] && !drains[i] && over(i, used[i]))) {
                return false;
            }
            for (int j = 0; level && j < nodes; j++) {
                if (!fleet.nodes().get(i).draining() && !fleet.nodes().get(j).draining() && uneven(i, j, used)) {
                    return false;
                }
            }
        }
        for (int b = 0; b < placed.length; b++) {
            if (apart[b] && anyNear(placed[b])) {
                return false;
            }
        }
        return true;
    }

    /** Whether the first node is fuller than the second by more than the level. */
    private boolean uneven(int i, int j, long[] used) {
        long a = fleet.nodes().get(i).diskMb();
        long b = fleet.nodes().get(j).diskMb();
        // of the whole disk; a whole number in all fleets here
        long by = (long) fleet.level() / 1_000 * (PlacementProblem.MILLION - fleet.headroom()) / 1_000;
        return (used[i] * b - used[j] * a) * PlacementProblem.MILLION > by * a * b;
    }

    private boolean anyNear(int[] copies) {
        for (int c = 0; c < copies.length; c++) {
            for (int d = 0; d < c; d++) {
                if (near(copies[c], copies[d])) {
                    return true;
                }
            }
        }
        return false;
    }
}
