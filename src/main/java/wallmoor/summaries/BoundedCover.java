package wallmoor.summaries;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.BinaryOperator;
import java.util.function.ToDoubleBiFunction;

/**
 * A bounded number of pieces, boxes or spans, round all that was added. While rows are taken it keeps more of them than
 * are told in the end: the two that cost least to join are joined only when there are too many.
 */
final class BoundedCover<T> {
    /** So many times the bound while rows come: joining costs the square of it, and is done once in so many rows. */
    private static final int WORKING = 8;

    private final int most;
    private final BiPredicate<T, T> holds;
    private final BinaryOperator<T> join;
    private final ToDoubleBiFunction<T, T> cost;
    private List<T> pieces;

    private BoundedCover(int most, List<T> pieces, BiPredicate<T, T> holds, BinaryOperator<T> join,
            ToDoubleBiFunction<T, T> cost) {
        this.most = most;
        this.pieces = new ArrayList<>(pieces);
        this.holds = holds;
        this.join = join;
        this.cost = cost;
    }

    static BoundedCover<Box> boxes(int most, List<Box> first) {
        return new BoundedCover<>(most, first, Box::holds, Box::with, (a, b) -> a.with(b).size() - a.size() - b.size());
    }

    static BoundedCover<TimeSpan> spans(int most, List<TimeSpan> first) {
        return new BoundedCover<>(most, first, (a, b) -> a.from() <= b.from() && b.to() <= a.to(), TimeSpan::with,
                (a, b) -> Math.max(a.from(), b.from()) - (double) Math.min(a.to(), b.to()));
    }

    void add(T piece) {
        for (T p : pieces) {
            if (holds.test(p, piece)) {
                return;
            }
        }
        pieces.add(piece);
        if (pieces.size() > WORKING * most) {
            pieces = reduced(WORKING * most / 2);
        }
    }

    /** At most {@code bound} pieces round all: each time the two that cost least are joined. */
    List<T> reduced(int bound) {
        var left = new ArrayList<>(pieces);
        int count = left.size();
        if (count <= Math.max(1, bound)) {
            return left;
        }
        var near = new int[count]; // of each piece the one it costs least to join with, and that cost
        var least = new double[count];
        for (int i = 0; i < count; i++) {
            nearest(left, i, near, least);
        }
        for (int alive = count; alive > Math.max(1, bound); alive--) {
            int one = -1;
            for (int i = 0; i < count; i++) {
                one = left.get(i) != null && (one < 0 || least[i] < least[one]) ? i : one;
            }
            int two = near[one];
            left.set(one, join.apply(left.get(one), left.get(two)));
            left.set(two, null);
            for (int i = 0; i < count; i++) {
                if (left.get(i) == null) {
                    continue;
                }
                if (i == one || near[i] == one || near[i] == two) {
                    nearest(left, i, near, least);
                } else {
                    double c = cost.applyAsDouble(left.get(i), left.get(one));
                    if (c < least[i]) {
                        least[i] = c;
                        near[i] = one;
                    }
                }
            }
        }
        left.removeIf(p -> p == null);
        return left;
    }

    private void nearest(List<T> left, int i, int[] near, double[] least) {
        near[i] = -1;
        for (int j = 0; j < left.size(); j++) {
            if (j != i && left.get(j) != null) {
                double c = cost.applyAsDouble(left.get(i), left.get(j));
                if (near[i] < 0 || c < least[i]) {
                    least[i] = c;
                    near[i] = j;
                }
            }
        }
    }

    List<T> told() {
        return reduced(most);
    }
}
