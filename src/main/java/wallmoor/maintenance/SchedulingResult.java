package wallmoor.maintenance;

import java.util.List;

/** What comes of planning. */
public sealed interface SchedulingResult {
    /**
     * An order in which all can go.
     *
     * @param slots by their beginning; those that begin together in the order they are asked in
     * @param endsAt  when the last is done, in milliseconds since 1970; {@code now} without wishes
     * @param lowerBound no order ends sooner, by the budgets, blocks and pins; hours are not reckoned in
     */
    record Schedule(List<OutageSlot> slots, long endsAt, long lowerBound) implements SchedulingResult {
        public Schedule {
            slots = List.copyOf(slots);
        }
    }

    /**
     * None as the fleet is; there would be one if what is out by itself were back.
     *
     * @param conflict can't be kept together as the fleet is
     */
    record WaitsForRecovery(List<MaintenanceConstraint> conflict, boolean minimal) implements SchedulingResult {
        public WaitsForRecovery {
            conflict = List.copyOf(conflict);
        }
    }

    /**
     * None, also with all back that is out by itself.
     *
     * @param conflict  rules that can't be kept together, whatever the others
     * @param minimal proven: no fewer rules do so
     * @param proven   that none exists; else none was found
     */
    record Infeasible(List<MaintenanceConstraint> conflict, boolean minimal,
            boolean proven) implements SchedulingResult {
        public Infeasible {
            conflict = List.copyOf(conflict);
        }
    }

    /**
     * A machine's time out of service, in milliseconds since 1970.
     *
     * @param free     when it is reckoned to be free: by then all parts are over
     * @param back     when its work is reckoned to be done
     * @param done     when it is warm and watched
     * @param out      machines out as it begins, it included
     * @param capacity that then serves, of all nodes', in millionths
     * @param mustStay    machines that hold a block alone meanwhile: were one of them lost, the block would be gone
     */
    record OutageSlot(MaintenanceRequest request, long starts, long free, long back, long done, int out, int capacity,
            List<String> mustStay) {
        public OutageSlot {
            mustStay = List.copyOf(mustStay);
        }
    }
}
