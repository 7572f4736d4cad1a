package wallmoor.maintenance;

import java.util.List;

/**
 * One instance of a rule. It states why a request does not proceed, or is part of a set that cannot be satisfied
 * together.
 *
 * @param machines the machines concerned: those that are out of service (at most eight), that must be done first, or
 *                 that have parts in flight
 * @param blocks   the blocks that would lose their last holder
 * @param budget   the key of the budget in the operators' file, or empty
 */
public record MaintenanceConstraint(MaintenanceRule rule, List<String> machines, List<String> blocks, String budget) {
    /** Copies the lists. */
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

    /** Returns the constraint that outages stay within the maintenance windows. */
    static MaintenanceConstraint windows() {
        return budget(MaintenanceRule.HOURS, "hours");
    }

    /** Returns the constraint that a request meets its deadline. */
    static MaintenanceConstraint deadline(MaintenanceRequest request) {
        return of(MaintenanceRule.BY, request.machine());
    }

    /** Returns the constraint that the first machine's request is done before the second machine's request begins. */
    static MaintenanceConstraint precedence(String first, String second) {
        return of(MaintenanceRule.PIN, first, second);
    }

    /** Returns a line of text for people. */
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
