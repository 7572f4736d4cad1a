package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;
import wallmoor.decision.RouterApi.QueryClass;

/**
 * When the client of a query first asked for it. All first tries of a class wait alike, and a client that comes again has
 * only what is left of its class' time for all tries. So a marked repeat with another wait is one; and where repeats are
 * not marked, but many queries wait alike, those that wait shorter are. Where clients' waits just differ, each query
 * counts as a first try.
 */
final class FirstTries {
    /** Waits that differ by less than this share of the class's time for all tries are alike. */
    private static final double SAME = 0.02;
    /** So many queries must wait as the longest do for shorter waits to tell anything: two in five are first tries in a storm. */
    private static final double MANY = 0.2;
    private static final double STEP = 0.03;
    /** The longest wait comes down so slowly: first tries may be rare for a while. */
    private static final double DOWN = 0.005;

    private static final class Waits {
        double longest;
        final Smoothed alike = new Smoothed(STEP);
    }

    private final List<QueryClass> classes;
    private final boolean marked;
    private final List<Waits> waits = new ArrayList<>();

    /** Knows of no query yet; {@code marked} tells whether clients mark repeats. */
    FirstTries(List<QueryClass> classes, boolean marked) {
        this.classes = classes;
        this.marked = marked;
        classes.forEach(c -> waits.add(new Waits()));
    }

    /**
     * When the client of a query that arrives now first asked, in microseconds.
     *
     * @param left   how long its client will wait
     * @param repeat whether it is marked as one
     */
    long firstAsked(int index, long now, long left, boolean repeat) {
        Waits w = waits.get(index);
        long all = classes.get(index).giveUp();
        double longest = w.longest;
        boolean usual = longest == 0 || left > longest - SAME * all;
        boolean known = w.alike.or(1) > MANY;
        if (!repeat) {
            w.longest = usual ? Math.max(left, longest) : longest - DOWN * (longest - left);
            w.alike.add(usual ? 1 : 0);
        }
        if (usual || (marked ? !repeat : !known)) {
            return now;
        }
        return marked ? Math.min(now, now + left - all) : now - (long) (longest - left);
    }
}
