package wallmoor.maintenance;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;
import wallmoor.maintenance.Machine.MachineRole;

/**
 * Admits machines in the sequence of the order. A machine that waits for a shared resource blocks the machines behind
 * it that use the same resource (head-of-line blocking prevents its starvation). A machine that waits for a block, a
 * predecessor or a window is skipped.
 */
final class AdmissionQueue {
    private final OutageLedger ledger;
    private final Set<String> blockedCentres = new HashSet<>();
    private final Set<MachineRole> blockedRoles = EnumSet.noneOf(MachineRole.class);
    private boolean allBlocked;

    AdmissionQueue(OutageLedger ledger) {
        this.ledger = ledger;
    }

    /** Returns whether all remaining machines are blocked. */
    boolean isBlocked() {
        return allBlocked;
    }

    /** Returns whether a machine ahead in the order blocks this machine. */
    boolean isHeldBack(Machine machine) {
        return allBlocked || blockedRoles.contains(machine.role()) || blockedCentres.contains(machine.centre());
    }

    /** Admits a machine if no constraint prevents it, and marks it as out of service in the ledger. */
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
                // not a shared resource: the machines behind are not blocked
            }
        }
    }
}
