package wallmoor.maintenance;

import java.util.List;

/** Result of scheduling maintenance requests. */
public sealed interface SchedulingResult {
    /**
     * An order in which all requests can be met.
     *
     * @param slots      by their start; those that start together in the order of admission
     * @param endsAt     when the last one is done, in milliseconds since 1970; the present time without requests
     * @param lowerBound no order ends sooner, by the budgets, blocks and precedences; windows are left out
     */
    record Schedule(List<OutageSlot> slots, long endsAt, long lowerBound) implements SchedulingResult {
        /** Takes a copy of the list. */
        public Schedule {
            slots = List.copyOf(slots);
        }
    }

    /**
     * No order exists as the fleet is; there would be one if the machines out by themselves were back.
     *
     * @param conflict constraints that cannot be satisfied together as the fleet is
     * @param minimal  proven: no smaller set of constraints conflicts
     */
    record WaitsForRecovery(List<MaintenanceConstraint> conflict, boolean minimal) implements SchedulingResult {
        /** Takes a copy of the list. */
        public WaitsForRecovery {
            conflict = List.copyOf(conflict);
        }
    }

    /**
     * No order exists, even if all machines out by themselves were back.
     *
     * @param conflict constraints that cannot be satisfied together, whatever the others are
     * @param minimal  proven: no smaller set of constraints conflicts
     * @param proven   that no order exists; else none was found
     */
    record Infeasible(List<MaintenanceConstraint> conflict, boolean minimal, boolean proven)
            implements
                SchedulingResult {
        /** Takes a copy of the list. */
        public Infeasible {
            conflict = List.copyOf(conflict);
        }
    }

    /**
     * A machine's time out of service, in milliseconds since 1970.
     *
     * @param starts   when it begins to drain
     * @param free     when it is estimated to be idle: all parts have ended by then
     * @param back     when its work is estimated to be done
     * @param done     when it is past slow start and observed
     * @param out      machines out when it starts, itself included
     * @param capacity share of all nodes' capacity that serves then, in millionths
     * @param mustStay machines that are a block's only holder meanwhile
     */
    record OutageSlot(MaintenanceRequest request, long starts, long free, long back, long done, int out, int capacity,
            List<String> mustStay) {
        /** Takes a copy of the list. */
        public OutageSlot {
            mustStay = List.copyOf(mustStay);
        }

        OutageSlot withMustStay(List<String> machines) {
            return new OutageSlot(request, starts, free, back, done, out, capacity, machines);
        }
    }
}
