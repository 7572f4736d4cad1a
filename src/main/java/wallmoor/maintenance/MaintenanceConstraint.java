package wallmoor.maintenance;

import java.util.List;

/**
 * One instance of a rule: why a request does not proceed, or a constraint that cannot be satisfied together with
 * others.
 *
 * @param machines that it concerns: those that are out (eight at most), that come before, or that have parts in flight
 * @param blocks   that would lose their last holder
 * @param budget   key in the operators' file, or empty
 */
public record MaintenanceConstraint(MaintenanceRule rule, List<String> machines, List<String> blocks, String budget) {
    /** Takes copies of the lists. */
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

    /** The maintenance windows. */
    static MaintenanceConstraint windows() {
        return budget(MaintenanceRule.HOURS, "hours");
    }

    /** The deadline of a request. */
    static MaintenanceConstraint deadline(MaintenanceRequest request) {
        return of(MaintenanceRule.BY, request.machine());
    }

    /** That one machine's request is done before another's begins. */
    static MaintenanceConstraint precedence(String first, String second) {
        return of(MaintenanceRule.PIN, first, second);
    }

    /** A line for people. */
    public String text() {
        var line = new StringBuilder(rule.word());
        if (!budget.isEmpty()) {
            line.append(' ').append(budget);
        }
        if (!blocks.isEmpty()) {
            line.append(" of ").append(String.join(", ", blocks));
        }
        if (!machines.isEmpty()) {
            line.append(": ").append(String.join(", ", machines));
        }
        return line.toString();
    }
}
