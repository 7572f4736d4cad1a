package wallmoor.maintenance;

import java.util.List;
import java.util.TreeSet;
import wallmoor.maintenance.Machine.MachinePhase;

/** Decides whether a draining machine is idle, by the gatherers' reports or after the part timeout. */
final class DrainCompletion {
    private static final String UNKNOWN_GATHERER = "a gatherer that is not known";

    private DrainCompletion() {}

    /**
     * Returns what prevents a machine from counting as idle: the gatherers that have, or may have, something in flight
     * on it, or the machine itself while it does not drain or leads the gatherers. Empty if the machine is idle.
     */
    static List<String> drainBlockers(Machine machine, FleetSnapshot fleet, Budgets budgets) {
        if (machine.phase() != MachinePhase.DRAINING) {
            return List.of(machine.id()); // it can still receive new work
        }
        var blockers = new TreeSet<String>();
        boolean timedOut = machine.phaseMillis() >= budgets.partTimeoutMillis();
        for (GathererReport report : fleet.reports()) {
            boolean isRelevant = machine.isNode() || report.gatherer().equals(machine.id());
            boolean leaseExpired = report.silentMillis() >= budgets.partTimeoutMillis() && timedOut;
            if (isRelevant && !report.confirmsDrained(machine.id()) && !leaseExpired) {
                blockers.add(report.gatherer());
            }
        }
        boolean allReported = machine.isNode() ? fleet.reports().size() >= fleet.expectedGatherers()
                : fleet.reports().stream().anyMatch(report -> report.gatherer().equals(machine.id()));
        if (!allReported && !timedOut) {
            blockers.add(UNKNOWN_GATHERER);
        }
        if (!machine.isNode() && fleet.leader().equals(machine.id())) {
            blockers.add(machine.id());
        }
        return List.copyOf(blockers);
    }
}
