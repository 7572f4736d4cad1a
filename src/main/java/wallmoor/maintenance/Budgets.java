package wallmoor.maintenance;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The limits that operators set for maintenance. Times are in milliseconds, shares in millionths.
 *
 * @param maxOut             maximum number of machines out of service at once, including unplanned outages
 * @param maxOutByCentre     the same maximum for individual data centres
 * @param minCapacity        minimum share of the total node capacity that serves
 * @param minGatherers       minimum number of gatherers that serve
 * @param windows            when work is allowed
 * @param slowStartMillis    duration of a node's slow start
 * @param slowStartShare     share of its capacity that a node has at the beginning of slow start; it grows linearly to
 *                           the full capacity
 * @param observationMillis  how long a machine is observed after slow start before the next machine goes
 * @param partTimeoutMillis  time without a report after which no part sent earlier is in flight: a lease plus the
 *                           longest part
 * @param drainTimeoutMillis time after which the request of a machine that does not become idle is given up
 * @param overdueMillis      how much longer than estimated a machine may be out of service or in slow start
 */
public record Budgets(int maxOut, Map<String, Integer> maxOutByCentre, int minCapacity, int minGatherers,
        MaintenanceWindows windows, long slowStartMillis, int slowStartShare, long observationMillis,
        long partTimeoutMillis, long drainTimeoutMillis, long overdueMillis) {
    /** A share of 100 %, in millionths. */
    public static final int MILLION = 1_000_000;

    /** Copies the map. */
    public Budgets {
        maxOutByCentre = Collections.unmodifiableMap(new TreeMap<>(maxOutByCentre));
    }

    /** Returns the estimated time that a request takes its machine out of service. */
    public long outageMillis(MaintenanceRequest request) {
        return partTimeoutMillis + afterDrainMillis(request);
    }

    /** Returns the estimated time from the end of the drain to the end of the outage. */
    long afterDrainMillis(MaintenanceRequest request) {
        return request.workMillis() + slowStartMillis + observationMillis;
    }

    /** Returns the share of its capacity that a node has now, in millionths. */
    long capacityShare(Machine node) {
        if (node.phase() != Machine.MachinePhase.SERVING) {
            return 0;
        }
        return node.servingMillis() >= slowStartMillis ? MILLION
                : slowStartShare + (MILLION - slowStartShare) * Math.max(0, node.servingMillis()) / slowStartMillis;
    }

    /**
     * Daily maintenance windows. Daylight saving time is not supported.
     *
     * @param windows the windows; empty if work is always allowed
     * @param offset  offset of the local time from UTC, in minutes
     */
    public record MaintenanceWindows(List<DailyWindow> windows, int offset) {
        /** No windows: work is always allowed. */
        public static final MaintenanceWindows ANY = new MaintenanceWindows(List.of(), 0);
        private static final long MINUTE_MILLIS = 60_000;
        private static final int DAY_MINUTES = 1_440;
        private static final long DAY_MILLIS = DAY_MINUTES * MINUTE_MILLIS;
        private static final long NEVER = -1;

        /**
         * A window that is open every day.
         *
         * @param from when it opens, as a minute of the day from 0 to 1439
         * @param to   when it closes, as a minute of the day; on the next day if not after {@code from}
         */
        public record DailyWindow(int from, int to) {
            long lengthMillis() {
                return (to > from ? to - from : to - from + DAY_MINUTES) * MINUTE_MILLIS;
            }
        }

        /** Copies the list. */
        public MaintenanceWindows {
            windows = List.copyOf(windows);
        }

        /**
         * Returns the earliest time from {@code at} on when an outage of this length fits into one window, in
         * milliseconds since 1970, or -1 if no window is long enough.
         */
        public long nextStart(long at, long lengthMillis) {
            if (windows.isEmpty()) {
                return at;
            }
            long earliest = NEVER;
            for (DailyWindow window : windows) {
                if (lengthMillis <= window.lengthMillis()) {
                    long start = nextStart(window, at, lengthMillis);
                    earliest = earliest == NEVER || start < earliest ? start : earliest;
                }
            }
            return earliest;
        }

        /**
         * Returns the earliest start in one window that is long enough, beginning with the window of the day before.
         */
        private long nextStart(DailyWindow window, long at, long lengthMillis) {
            long midnight = Math.floorDiv(at + offset * MINUTE_MILLIS, DAY_MILLIS) * DAY_MILLIS
                    - offset * MINUTE_MILLIS;
            long opensAt = midnight - DAY_MILLIS + window.from() * MINUTE_MILLIS;
            while (Math.max(at, opensAt) + lengthMillis > opensAt + window.lengthMillis()) {
                opensAt += DAY_MILLIS;
            }
            return Math.max(at, opensAt);
        }
    }
}
