package wallmoor.maintenance;

import java.util.HashSet;
import java.util.Set;

/**
 * Machines asked in the order's order whether they go now. One that waits for what all share holds up those behind it
 * that would use it, so that it is not passed for ever; one that waits for a block, a pin or an hour is passed.
 */
final class Line {
    private final OutageLedger book;
    private final Set<String> centres = new HashSet<>();
    private boolean all;
    private final boolean[] kinds = new boolean[Machine.Kind.values().length];

    Line(OutageLedger book) {
        this.book = book;
    }

    /** Whether nobody behind goes either. */
    boolean shut() {
        return all;
    }

    /** Whether one ahead keeps this one back. */
    boolean keptBack(Machine m) {
        return all || kinds[m.kind().ordinal()] || centres.contains(m.centre());
    }

    /** Whether this one goes now; it is then out. */
    boolean goes(int place, Machine m) {
        if (keptBack(m) || book.isOut(place)) {
            return false;
        }
        if (book.fits(place)) {
            book.take(place);
            return true;
        }
        for (Reason r : book.why(place, true)) {
            waitsFor(r.rule(), m);
        }
        return false;
    }

    private void waitsFor(Rule rule, Machine m) {
        all |= rule == Rule.AT_ONCE;
        if (rule == Rule.CENTRE) {
            centres.add(m.centre());
        }
        if (rule == Rule.CAPACITY || rule == Rule.GATHERERS || rule == Rule.VOTERS) {
            kinds[m.kind().ordinal()] = true;
        }
    }
}
