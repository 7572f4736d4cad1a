package wallmoor.maintenance;

import java.util.List;
import java.util.TreeSet;
import wallmoor.maintenance.Machine.MachinePhase;

/** Whether a machine that drains is free: by every gatherer's own word, or after the time in which all parts end. */
final class DrainCompletion {
    private DrainCompletion() {}

    /** Who has something on a machine, or may have; empty where it is free. */
    static List<String> busyFor(Machine m, FleetSnapshot fleet, Budgets budgets) {
        if (m.phase() != MachinePhase.DRAINING) {
            return List.of(m.id()); // it may still get what is new
        }
        var busy = new TreeSet<String>();
        boolean over = m.phaseMillis() >= budgets.partTimeoutMillis();
        for (GathererReport w : fleet.reports()) {
            boolean concerns = m.isNode() || w.gatherer().equals(m.id());
            if (concerns && !w.confirmsDrained(m.id()) && !(w.silentMillis() >= budgets.partTimeoutMillis() && over)) {
                busy.add(w.gatherer());
            }
        }
        boolean all = m.isNode() ? fleet.reports().size() >= fleet.expectedGatherers()
                : fleet.reports().stream().anyMatch(w -> w.gatherer().equals(m.id()));
        if (!all && !over) {
            busy.add("a gatherer that is not known");
        }
        if (!m.isNode() && fleet.leader().equals(m.id())) {
            busy.add(m.id());
        }
        return List.copyOf(busy);
    }
}
