package wallmoor.maintenance;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the operators allow. Times are milliseconds.
 *
 * @param atOnce       most machines out at once, those that are out by themselves included
 * @param centres      the same for single data centres
 * @param capacityKept least share of all nodes' capacity that serves, in millionths
 * @param gatherersKept fewest gatherers that serve
 * @param hours        when work may be; empty for always
 * @param cold         a node that served for less since its start is cold
 * @param coldShare       share of its capacity that a node has at its start, in millionths; it grows to all of it in
 *   {@code cold}
 * @param warmUp       watched for so long after it is warm, before the next goes
 * @param parts        after so long without a word no part is out that was sent before: a lease and the longest part
 * @param drain        a machine that is not free after so long is given up
 * @param late         a machine may be out, and cold, for so much longer than reckoned before it is overdue
 */
public record Budgets(int atOnce, Map<String, Integer> centres, int capacityKept, int gatherersKept, Hours hours,
        long cold,
        int coldShare, long warmUp, long parts, long drain, long late) {
    /** Shares are in millionths. */
    public static final int MILLION = 1_000_000;

    public Budgets {
        centres = Collections.unmodifiableMap(new TreeMap<>(centres));
    }

    /** How long a machine is reckoned to be out of service for a wish. */
    public long whole(Wish wish) {
        return parts + wish.lasts() + cold + warmUp;
    }

    /** What a node gives now, in millionths of its capacity. */
    long warmth(Machine m) {
        if (m.phase() != Machine.Phase.SERVING) {
            return 0;
        }
        return m.servedFor() >= cold ? MILLION : coldShare + (MILLION - coldShare) * Math.max(0, m.servedFor()) / cold;
    }

    /**
     * Windows of the day, and the offset from UTC they are meant in; no daylight saving time.
     *
     * @param windows in minutes of the day; one whose end is not after its begin ends the next day
     * @param offset  minutes that the place is ahead of UTC
     */
    public record Hours(List<Window> windows, int offset) {
        /** No bounds. */
        public static final Hours ANY = new Hours(List.of(), 0);
        private static final long MINUTE = 60_000;
        private static final long DAY = 1_440 * MINUTE;

        /** From and to, in minutes of the day, 0 to 1439. */
        public record Window(int from, int to) {
            long length() {
                return (to > from ? to - from : to - from + 1_440) * MINUTE;
            }
        }

        public Hours {
            windows = List.copyOf(windows);
        }

        /** The first time from {@code at} on that something so long may begin and end in one window, or -1. */
        public long next(long at, long length) {
            if (windows.isEmpty()) {
                return at;
            }
            long best = -1;
            for (Window w : windows) {
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
