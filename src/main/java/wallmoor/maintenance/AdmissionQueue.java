package wallmoor.maintenance;

import java.util.HashSet;
import java.util.Set;

/**
 * Machines asked in the order's order whether they go now. One that waits for what all share holds up those behind it
 * that would use it, so that it is not passed for ever; one that waits for a block, a pin or an hour is passed.
 */
final class AdmissionQueue {
    private final OutageLedger book;
    private final Set<String> centres = new HashSet<>();
    private boolean all;
    private final boolean[] kinds = new boolean[Machine.MachineRole.values().length];

    AdmissionQueue(OutageLedger book) {
        this.book = book;
    }

    /** Whether nobody behind goes either. */
    boolean isBlocked() {
        return all;
    }

    /** Whether one ahead keeps this one back. */
    boolean isHeldBack(Machine m) {
        return all || kinds[m.role().ordinal()] || centres.contains(m.centre());
    }

    /** Whether this one goes now; it is then out. */
    boolean tryAdmit(int place, Machine m) {
        if (isHeldBack(m) || book.isOut(place)) {
            return false;
        }
        if (book.fits(place)) {
            book.takeOut(place);
            return true;
        }
        for (MaintenanceConstraint r : book.violations(place, true)) {
            waitsFor(r.rule(), m);
        }
        return false;
    }

    private void waitsFor(MaintenanceRule rule, Machine m) {
        all |= rule == MaintenanceRule.AT_ONCE;
        if (rule == MaintenanceRule.CENTRE) {
            centres.add(m.centre());
        }
        if (rule == MaintenanceRule.CAPACITY || rule == MaintenanceRule.GATHERERS || rule == MaintenanceRule.VOTERS) {
            kinds[m.role().ordinal()] = true;
        }
    }
}
