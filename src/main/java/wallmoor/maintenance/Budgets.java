package wallmoor.maintenance;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What operators allow. Times are milliseconds, shares are millionths.
 *
 * @param maxOut             most machines out at once, those out by themselves included
 * @param maxOutByCentre     the same for single data centres
 * @param minCapacity        least share of all nodes' capacity that serves
 * @param minGatherers       fewest gatherers that serve
 * @param windows            when work may be done
 * @param slowStartMillis    length of a node's slow start
 * @param slowStartShare     share of its capacity that a node has at its start; grows linearly to all of it
 * @param observationMillis  for how long a machine is observed after slow start, before the next goes
 * @param partTimeoutMillis  after so long without a report no part that was sent before is in flight: a lease plus the
 *                           longest part
 * @param drainTimeoutMillis after so long a machine that is not idle is given up
 * @param overdueMillis      how much longer than estimated a machine may be out, or in slow start
 */
public record Budgets(int maxOut, Map<String, Integer> maxOutByCentre, int minCapacity, int minGatherers,
        MaintenanceWindows windows, long slowStartMillis, int slowStartShare, long observationMillis,
        long partTimeoutMillis, long drainTimeoutMillis, long overdueMillis) {
    /** A complete share. */
    public static final int MILLION = 1_000_000;

    /** Takes a copy of the map. */
    public Budgets {
        maxOutByCentre = Collections.unmodifiableMap(new TreeMap<>(maxOutByCentre));
    }

    /** How long a machine is estimated to be out of service for a request. */
    public long outageMillis(MaintenanceRequest request) {
        return partTimeoutMillis + afterDrainMillis(request);
    }

    /** The part of an outage that follows the drain. */
    long afterDrainMillis(MaintenanceRequest request) {
        return request.workMillis() + slowStartMillis + observationMillis;
    }

    /** The share of its capacity that a node has now. */
    long capacityShare(Machine node) {
        if (node.phase() != Machine.MachinePhase.SERVING) {
            return 0;
        }
        return node.servingMillis() >= slowStartMillis ? MILLION
                : slowStartShare + (MILLION - slowStartShare) * Math.max(0, node.servingMillis()) / slowStartMillis;
    }

    /**
     * Daily maintenance windows, without daylight saving time.
     *
     * @param windows empty where work may always be done
     * @param offset  minutes that the place is ahead of UTC
     */
    public record MaintenanceWindows(List<DailyWindow> windows, int offset) {
        /** Work may always be done. */
        public static final MaintenanceWindows ANY = new MaintenanceWindows(List.of(), 0);
        private static final long MINUTE_MILLIS = 60_000;
        private static final int DAY_MINUTES = 1_440;
        private static final long DAY_MILLIS = DAY_MINUTES * MINUTE_MILLIS;
        private static final long NEVER = -1;

        /**
         * Minutes of the day, 0 to 1439; a window whose end is not after its begin ends the next day.
         */
        public record DailyWindow(int from, int to) {
            long lengthMillis() {
                return (to > from ? to - from : to - from + DAY_MINUTES) * MINUTE_MILLIS;
            }
        }

        /** Takes a copy of the list. */
        public MaintenanceWindows {
            windows = List.copyOf(windows);
        }

        /** The first time, from {@code at} on, that so long an outage begins and ends in one window; -1 for never. */
        public long nextStart(long at, long lengthMillis) {
            if (windows.isEmpty()) {
                return at;
            }
            long best = NEVER;
            for (DailyWindow window : windows) {
                if (lengthMillis <= window.lengthMillis()) {
                    long start = nextStart(window, at, lengthMillis);
                    best = best == NEVER || start < best ? start : best;
                }
            }
            return best;
        }

        /** In one window that is long enough: of yesterday, today, or tomorrow. */
        private long nextStart(DailyWindow window, long at, long lengthMillis) {
            long midnight = Math.floorDiv(at + offset * MINUTE_MILLIS, DAY_MILLIS) * DAY_MILLIS
                    - offset * MINUTE_MILLIS;
            long begin = midnight - DAY_MILLIS + window.from() * MINUTE_MILLIS;
            while (Math.max(at, begin) + lengthMillis > begin + window.lengthMillis()) {
                begin += DAY_MILLIS;
            }
            return Math.max(at, begin);
        }
    }
}
