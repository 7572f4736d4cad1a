package wallmoor.summaries;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.BinaryOperator;
import java.util.function.ToDoubleBiFunction;

/**
 * A bounded number of boxes or time spans (pieces) that together cover everything added. While rows are added, it
 * holds more pieces than the final cover has; those that cost least to join are joined only when there are too many.
 */
final class BoundedCover<T> {
    /**
     * Pieces held while rows are added, as a multiple of the bound. Joining takes time quadratic in the number of
     * pieces and runs once in many rows.
     */
    private static final int WORKING_SET_FACTOR = 8;

    private final int maxPieces;
    private final BiPredicate<T, T> contains;
    private final BinaryOperator<T> join;
    private final ToDoubleBiFunction<T, T> cost;
    private List<T> pieces;

    private BoundedCover(int maxPieces, List<T> pieces, BiPredicate<T, T> contains, BinaryOperator<T> join,
            ToDoubleBiFunction<T, T> cost) {
        this.maxPieces = maxPieces;
        this.pieces = new ArrayList<>(pieces);
        this.contains = contains;
        this.join = join;
        this.cost = cost;
    }

    static BoundedCover<Box> boxes(int maxPieces, List<Box> initial) {
        return new BoundedCover<>(maxPieces, initial, Box::contains, Box::union,
                (a, b) -> a.union(b).size() - a.size() - b.size());
    }

    static BoundedCover<TimeSpan> spans(int maxPieces, List<TimeSpan> initial) {
        return new BoundedCover<>(maxPieces, initial, (a, b) -> a.from() <= b.from() && b.to() <= a.to(),
                TimeSpan::union, (a, b) -> Math.max(a.from(), b.from()) - (double) Math.min(a.to(), b.to()));
    }

    void add(T piece) {
        for (T p : pieces) {
            if (contains.test(p, piece)) {
                return;
            }
        }
        pieces.add(piece);
        if (pieces.size() > WORKING_SET_FACTOR * maxPieces) {
            pieces = reduced(WORKING_SET_FACTOR * maxPieces / 2);
        }
    }

    /** Returns at most {@code bound} pieces that cover all, by repeatedly joining the two that cost least to join. */
    List<T> reduced(int bound) {
        var remaining = new ArrayList<>(pieces);
        int count = remaining.size();
        if (count <= Math.max(1, bound)) {
            return remaining;
        }
        var nearest = new int[count]; // for each piece, the index of the one that costs least to join with it
        var joinCost = new double[count]; // the cost of joining a piece with its nearest
        for (int i = 0; i < count; i++) {
            updateNearest(remaining, i, nearest, joinCost);
        }
        for (int alive = count; alive > Math.max(1, bound); alive--) {
            int first = -1;
            for (int i = 0; i < count; i++) {
                first = remaining.get(i) != null && (first < 0 || joinCost[i] < joinCost[first]) ? i : first;
            }
            int second = nearest[first];
            remaining.set(first, join.apply(remaining.get(first), remaining.get(second)));
            remaining.set(second, null);
            for (int i = 0; i < count; i++) {
                if (remaining.get(i) == null) {
                    continue;
                }
                if (i == first || nearest[i] == first || nearest[i] == second) {
                    updateNearest(remaining, i, nearest, joinCost);
                } else {
                    double c = cost.applyAsDouble(remaining.get(i), remaining.get(first));
                    if (c < joinCost[i]) {
                        joinCost[i] = c;
                        nearest[i] = first;
                    }
                }
            }
        }
        remaining.removeIf(p -> p == null);
        return remaining;
    }

    private void updateNearest(List<T> remaining, int i, int[] nearest, double[] joinCost) {
        nearest[i] = -1;
        for (int j = 0; j < remaining.size(); j++) {
            if (j != i && remaining.get(j) != null) {
                double c = cost.applyAsDouble(remaining.get(i), remaining.get(j));
                if (nearest[i] < 0 || c < joinCost[i]) {
                    joinCost[i] = c;
                    nearest[i] = j;
                }
            }
        }
    }

    /** Returns the pieces of the final cover. */
    List<T> cover() {
        return reduced(maxPieces);
    }
}
