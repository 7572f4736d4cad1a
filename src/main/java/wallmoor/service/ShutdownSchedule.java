package wallmoor.service;

import java.util.List;
import wallmoor.decision.QueryClass;

/**
 * The times of a graceful shutdown, from SIGTERM on. SIGKILL follows after the longest client timeout, of which at most
 * 3 s count, and a hand-over time.
 *
 * @param handOverMillis the time during which queries are still accepted
 * @param finishMillis   the time after that within which all queries are answered
 */
record ShutdownSchedule(long handOverMillis, long finishMillis) {
    /** The time for which clients are still sent to this process by others. */
    static final long MIN_HAND_OVER_MILLIS = 700;
    private static final long MAX_CLIENT_TIMEOUT_MILLIS = 3_000;
    /** Reserved for the exit of the program itself. */
    private static final long EXIT_RESERVE_MILLIS = 150;
    /** The minimum time reserved to answer the queries that arrive last. */
    private static final long MIN_FINISH_MILLIS = 200;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Returns the schedule of a gatherer with these query classes: queries are accepted for as long as possible. */
    static ShutdownSchedule of(List<QueryClass> classes) {
        long clientTimeoutMillis = classes.stream().mapToLong(QueryClass::clientTimeout).max().orElse(0)
                / MICROS_PER_MILLI;
        long latencyObjectiveMillis = classes.stream().mapToLong(QueryClass::latencyObjective).max().orElse(0)
                / MICROS_PER_MILLI;
        long totalMillis = Math.min(MAX_CLIENT_TIMEOUT_MILLIS, clientTimeoutMillis) + MIN_HAND_OVER_MILLIS
                - EXIT_RESERVE_MILLIS;
        long handOverMillis = Math.max(MIN_HAND_OVER_MILLIS,
                totalMillis - Math.max(MIN_FINISH_MILLIS, latencyObjectiveMillis / 2));
        return new ShutdownSchedule(handOverMillis, totalMillis - handOverMillis);
    }

    /** Returns the schedule of the same length that accepts queries for the minimum time only. */
    ShutdownSchedule withMinHandOver() {
        return new ShutdownSchedule(MIN_HAND_OVER_MILLIS, handOverMillis + finishMillis - MIN_HAND_OVER_MILLIS);
    }
}
