package wallmoor.maintenance;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the operators allow. Times are milliseconds.
 *
 * @param maxOut       most machines out at once, those that are out by themselves included
 * @param maxOutByCentre      the same for single data centres
 * @param minCapacity least share of all nodes' capacity that serves, in millionths
 * @param minGatherers fewest gatherers that serve
 * @param windows        when work may be; empty for always
 * @param slowStartMillis         a node that served for less since its start is cold
 * @param slowStartShare       share of its capacity that a node has at its start, in millionths; it grows to all of it
 *                             in
 *   {@code cold}
 * @param observationMillis       watched for so long after it is warm, before the next goes
 * @param partTimeoutMillis        after so long without a word no part is out that was sent before: a lease and the
 *                                 longest part
 * @param drainTimeoutMillis        a machine that is not free after so long is given up
 * @param overdueMillis         a machine may be out, and cold, for so much longer than reckoned before it is overdue
 */
public record Budgets(int maxOut, Map<String, Integer> maxOutByCentre, int minCapacity, int minGatherers,
        MaintenanceWindows windows,
        long slowStartMillis,
        int slowStartShare, long observationMillis, long partTimeoutMillis, long drainTimeoutMillis,
        long overdueMillis) {
    /** Shares are in millionths. */
    public static final int MILLION = 1_000_000;

    public Budgets {
        maxOutByCentre = Collections.unmodifiableMap(new TreeMap<>(maxOutByCentre));
    }

    /** How long a machine is reckoned to be out of service for a wish. */
    public long outageMillis(MaintenanceRequest wish) {
        return partTimeoutMillis + wish.workMillis() + slowStartMillis + observationMillis;
    }

    /** What a node gives now, in millionths of its capacity. */
    long capacityShare(Machine m) {
        if (m.phase() != Machine.MachinePhase.SERVING) {
            return 0;
        }
        return m.servingMillis() >= slowStartMillis ? MILLION
                : slowStartShare + (MILLION - slowStartShare) * Math.max(0, m.servingMillis()) / slowStartMillis;
    }

    /**
     * Windows of the day, and the offset from UTC they are meant in; no daylight saving time.
     *
     * @param windows in minutes of the day; one whose end is not after its begin ends the next day
     * @param offset  minutes that the place is ahead of UTC
     */
    public record MaintenanceWindows(List<DailyWindow> windows, int offset) {
        /** No bounds. */
        public static final MaintenanceWindows ANY = new MaintenanceWindows(List.of(), 0);
        private static final long MINUTE = 60_000;
        private static final long DAY = 1_440 * MINUTE;

        /** From and to, in minutes of the day, 0 to 1439. */
        public record DailyWindow(int from, int to) {
            long length() {
                return (to > from ? to - from : to - from + 1_440) * MINUTE;
            }
        }

        public MaintenanceWindows {
            windows = List.copyOf(windows);
        }

        /** The first time from {@code at} on that something so long may begin and end in one window, or -1. */
        public long nextStart(long at, long length) {
            if (windows.isEmpty()) {
                return at;
            }
            long best = -1;
            for (DailyWindow w : windows) {
                if (length <= w.length()) {
                    long day = Math.floorDiv(at + offset * MINUTE, DAY) * DAY - offset * MINUTE;
                    for (long begin = day - DAY + w.from() * MINUTE; begin <= day + DAY
                            + w.from() * MINUTE; begin += DAY) {
                        long from = Math.max(at, begin);
                        if (from + length <= begin + w.length() && (best < 0 || from < best)) {
                            best = from;
                        }
                    }
                }
            }
            return best;
        }
    }
}
