package wallmoor.maintenance;

import java.util.List;

/**
 * Why a machine does not go on, or a rule that can't be kept together with others.
 *
 * @param machines that it is about: who is out (eight of them at most), who is pinned, who has parts out
 * @param blocks   that would have no holder
 * @param budget   the key of the operators' file, or empty
 */
public record MaintenanceConstraint(MaintenanceRule rule, List<String> machines, List<String> blocks, String budget) {
    public MaintenanceConstraint {
        machines = List.copyOf(machines);
        blocks = List.copyOf(blocks);
    }

    static MaintenanceConstraint of(MaintenanceRule rule, String... machines) {
        return new MaintenanceConstraint(rule, List.of(machines), List.of(), "");
    }

    static MaintenanceConstraint budget(MaintenanceRule rule, String budget) {
        return new MaintenanceConstraint(rule, List.of(), List.of(), budget);
    }

    /** As a line for people. */
    public String text() {
        var to = new StringBuilder(rule.word());
        if (!budget.isEmpty()) {
            to.append(' ').append(budget);
        }
        if (!blocks.isEmpty()) {
            to.append(" of ").append(String.join(", ", blocks));
        }
        if (!machines.isEmpty()) {
            to.append(": ").append(String.join(", ", machines));
        }
        return to.toString();
    }
}
