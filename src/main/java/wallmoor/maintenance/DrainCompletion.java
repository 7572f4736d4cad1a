package wallmoor.maintenance;

import java.util.List;
import java.util.TreeSet;
import wallmoor.maintenance.Machine.MachinePhase;

/** Whether a draining machine is idle: by every gatherer's report, or after the time in which all parts end. */
final class DrainCompletion {
    private static final String UNKNOWN_GATHERER = "a gatherer that is not known";

    private DrainCompletion() {}

    /** Who has something in flight on a machine, or may have; empty where it is idle. */
    static List<String> busyFor(Machine machine, FleetSnapshot fleet, Budgets budgets) {
        if (machine.phase() != MachinePhase.DRAINING) {
            return List.of(machine.id()); // it may still get new work
        }
        var busy = new TreeSet<String>();
        boolean timedOut = machine.phaseMillis() >= budgets.partTimeoutMillis();
        for (GathererReport report : fleet.reports()) {
            boolean concerned = machine.isNode() || report.gatherer().equals(machine.id());
            boolean leaseExpired = report.silentMillis() >= budgets.partTimeoutMillis() && timedOut;
            if (concerned && !report.confirmsDrained(machine.id()) && !leaseExpired) {
                busy.add(report.gatherer());
            }
        }
        boolean allReported = machine.isNode() ? fleet.reports().size() >= fleet.expectedGatherers()
                : fleet.reports().stream().anyMatch(report -> report.gatherer().equals(machine.id()));
        if (!allReported && !timedOut) {
            busy.add(UNKNOWN_GATHERER);
        }
        if (!machine.isNode() && fleet.leader().equals(machine.id())) {
            busy.add(machine.id());
        }
        return List.copyOf(busy);
    }
}
