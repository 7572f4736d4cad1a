package wallmoor.maintenance;

import java.util.List;

/** The result of scheduling maintenance requests. */
public sealed interface SchedulingResult {
    /**
     * A schedule that meets all requests.
     *
     * @param slots      the outages by their start; those that start together are in the order of admission
     * @param endsAt     when the last request is done, in milliseconds since 1970; the current time without requests
     * @param lowerBound time before which no schedule can end, by the budgets, blocks and precedences; windows are
     *                   ignored
     */
    record Schedule(List<OutageSlot> slots, long endsAt, long lowerBound) implements SchedulingResult {
        /** Copies the list. */
        public Schedule {
            slots = List.copyOf(slots);
        }
    }

    /**
     * No schedule was found for the fleet as it is; there is one if the machines with unplanned outages return.
     *
     * @param conflict constraints that cannot be satisfied together by the fleet as it is
     * @param minimal  whether it is proven that no smaller set of constraints conflicts
     */
    record WaitsForRecovery(List<MaintenanceConstraint> conflict, boolean minimal) implements SchedulingResult {
        /** Copies the list. */
        public WaitsForRecovery {
            conflict = List.copyOf(conflict);
        }
    }

    /**
     * No schedule was found, even if all machines with unplanned outages return.
     *
     * @param conflict constraints that cannot be satisfied together, regardless of the other constraints
     * @param minimal  whether it is proven that no smaller set of constraints conflicts
     * @param proven   whether it is proven that no schedule exists; otherwise none was found
     */
    record Infeasible(List<MaintenanceConstraint> conflict, boolean minimal, boolean proven)
            implements
                SchedulingResult {
        /** Copies the list. */
        public Infeasible {
            conflict = List.copyOf(conflict);
        }
    }

    /**
     * The planned outage of a machine. Times are in milliseconds since 1970.
     *
     * @param starts   when the machine begins to drain
     * @param free     when the machine is estimated to be idle, as all its parts have ended
     * @param back     when the work is estimated to be done
     * @param done     when the machine is past slow start and its observation period
     * @param out      number of machines out of service when it starts, this one included
     * @param capacity share of the total node capacity that serves then, in millionths
     * @param mustStay machines that are the only holder of a block during the outage
     */
    record OutageSlot(MaintenanceRequest request, long starts, long free, long back, long done, int out, int capacity,
            List<String> mustStay) {
        /** Copies the list. */
        public OutageSlot {
            mustStay = List.copyOf(mustStay);
        }

        OutageSlot withMustStay(List<String> machines) {
            return new OutageSlot(request, starts, free, back, done, out, capacity, machines);
        }
    }
}
