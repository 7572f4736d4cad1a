package wallmoor.maintenance;

import java.util.List;
import java.util.TreeSet;
import wallmoor.maintenance.Machine.Phase;

/** Whether a machine that drains is free: by every gatherer's own word, or after the time in which all parts end. */
final class Busy {
    private Busy() {}

    /** Who has something on a machine, or may have; empty where it is free. */
    static List<String> with(Machine m, Fleet fleet, Budgets budgets) {
        if (m.phase() != Phase.DRAINING) {
            return List.of(m.id()); // it may still get what is new
        }
        var busy = new TreeSet<String>();
        boolean over = m.phaseFor() >= budgets.parts();
        for (GathererReport w : fleet.words()) {
            boolean concerns = m.node() || w.gatherer().equals(m.id());
            if (concerns && !w.frees(m.id()) && !(w.silentFor() >= budgets.parts() && over)) {
                busy.add(w.gatherer());
            }
        }
        boolean all = m.node() ? fleet.words().size() >= fleet.gatherers()
                : fleet.words().stream().anyMatch(w -> w.gatherer().equals(m.id()));
        if (!all && !over) {
            busy.add("a gatherer that is not known");
        }
        if (!m.node() && fleet.leader().equals(m.id())) {
            busy.add(m.id());
        }
        return List.copyOf(busy);
    }
}
