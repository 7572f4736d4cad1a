package wallmoor.maintenance;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;
import wallmoor.maintenance.Machine.MachineRole;

/**
 * Admits machines in the order's sequence. A machine that waits for a shared resource blocks those behind it that would
 * use the same (head-of-line blocking, so that it is not starved); one that waits for a block, a predecessor or a
 * window is passed.
 */
final class AdmissionQueue {
    private final OutageLedger ledger;
    private final Set<String> blockedCentres = new HashSet<>();
    private final Set<MachineRole> blockedRoles = EnumSet.noneOf(MachineRole.class);
    private boolean allBlocked;

    AdmissionQueue(OutageLedger ledger) {
        this.ledger = ledger;
    }

    /** Whether no machine behind is admitted either. */
    boolean isBlocked() {
        return allBlocked;
    }

    /** Whether a machine ahead blocks this one. */
    boolean isHeldBack(Machine machine) {
        return allBlocked || blockedRoles.contains(machine.role()) || blockedCentres.contains(machine.centre());
    }

    /** Admits a machine if it may go now; it then counts as out. */
    boolean tryAdmit(int machineIndex, Machine machine) {
        if (isHeldBack(machine) || ledger.isOut(machineIndex)) {
            return false;
        }
        if (ledger.fits(machineIndex)) {
            ledger.takeOut(machineIndex);
            return true;
        }
        ledger.firstViolations(machineIndex).forEach(constraint -> block(constraint.rule(), machine));
        return false;
    }

    private void block(MaintenanceRule rule, Machine machine) {
        switch (rule) {
            case AT_ONCE -> allBlocked = true;
            case CENTRE -> blockedCentres.add(machine.centre());
            case CAPACITY, GATHERERS, VOTERS -> blockedRoles.add(machine.role());
            default -> {
                // no shared resource: it is passed
            }
        }
    }
}
