package wallmoor.metrics;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The gatherer's counters of queries by class and outcome, and their text form for the operators' address. The class
 * does no I/O and reads no clock. Any number of threads may count at once; none waits for another. Counters are created
 * for each query class that is named and never removed: callers must name only classes of their configuration.
 */
public final class GathererMetrics {
    /** The outcome of a query. The metric names on the operators' address are defined separately. */
    public enum QueryEnd {
        /** Answered with the requested result. */
        SERVED,
        /** Rejected; the client may retry later. */
        REFUSED,
        /** Accepted, but not answered with the requested result. */
        FAILED,
        /** Its client disconnected before the answer. */
        CLIENT_GONE
    }

    /** The counters of one query class. */
    private static final class ClassCounters {
        final LongAdder started = new LongAdder();
        final LongAdder attempts = new LongAdder();
        /** Filled with a counter for each outcome in the constructor and only read afterwards. */
        private final Map<QueryEnd, LongAdder> ended = new EnumMap<>(QueryEnd.class);

        ClassCounters() {
            for (QueryEnd end : QueryEnd.values()) {
                ended.put(end, new LongAdder());
            }
        }

        LongAdder ended(QueryEnd end) {
            return ended.get(end);
        }

        long allEnded() {
            long sum = 0;
            for (LongAdder counter : ended.values()) {
                sum += counter.sum();
            }
            return sum;
        }
    }

    private final ConcurrentHashMap<String, ClassCounters> classes = new ConcurrentHashMap<>();
    private final LongAdder reloadsAccepted = new LongAdder();
    private final LongAdder reloadsRejected = new LongAdder();

    /** Creates metrics with all counters at zero. */
    public GathererMetrics() {}

    /** Counts a query that was accepted; one call of {@link #queryEnded} must follow, however the query ends. */
    public void queryStarted(String queryClass) {
        counters(queryClass).started.increment();
    }

    /** Counts the end of an accepted query. */
    public void queryEnded(String queryClass, QueryEnd end) {
        counters(queryClass).ended(end).increment();
    }

    /** Counts attempts that have been written completely to workers. */
    public void addAttempts(String queryClass, int count) {
        counters(queryClass).attempts.add(count);
    }

    /** Counts a reload of the configuration, which was accepted or rejected. */
    public void configReloaded(boolean accepted) {
        (accepted ? reloadsAccepted : reloadsRejected).increment();
    }

    private ClassCounters counters(String queryClass) {
        ClassCounters existing = classes.get(queryClass); // computeIfAbsent may lock even if the key exists
        return existing != null ? existing : classes.computeIfAbsent(queryClass, name -> new ClassCounters());
    }

    /** Returns the number of accepted queries that have not ended, never below 0. */
    public long inFlight() {
        // The ends are read first: each counted end was preceded by its start, so the starts read later include it. A
        // query that ends between the two reads counts as in flight.
        long ended = 0;
        for (ClassCounters counters : classes.values()) {
            ended += counters.allEnded();
        }
        long started = 0;
        for (ClassCounters counters : classes.values()) {
            started += counters.started.sum();
        }
        return Math.max(0, started - ended);
    }

    /**
     * Returns the metrics as text with one line {@code name=number} each, terminated by LF. The metrics of the given
     * classes come first, even if nothing was counted for a class; then those of the other counted classes, sorted by
     * name; then those of the gatherer as a whole.
     *
     * @param workersExcluded the number of known workers that receive no attempts
     */
    public String render(Iterable<String> queryClasses, int workersKnown, int workersExcluded) {
        var names = new LinkedHashSet<String>();
        queryClasses.forEach(names::add);
        names.addAll(new TreeSet<>(classes.keySet()));
        var text = new StringBuilder(256);
        long attempts = 0; // the sum of the printed values, so that the total agrees with them
        for (String name : names) {
            attempts += appendClass(text, name);
        }
        append(text, "attempts", attempts);
        append(text, "in_flight", inFlight());
        append(text, "workers_known", workersKnown);
        append(text, "workers_excluded", workersExcluded);
        append(text, "reloads_ok", reloadsAccepted.sum());
        append(text, "reloads_failed", reloadsRejected.sum());
        return text.toString();
    }

    /** Appends the lines of a class and returns its number of attempts. */
    private long appendClass(StringBuilder text, String name) {
        ClassCounters counters = counters(name);
        append(text, "served." + name, counters.ended(QueryEnd.SERVED).sum());
        append(text, "refused." + name, counters.ended(QueryEnd.REFUSED).sum());
        append(text, "failed." + name, counters.ended(QueryEnd.FAILED).sum());
        long attempts = counters.attempts.sum();
        append(text, "attempts." + name, attempts);
        return attempts;
    }

    private static void append(StringBuilder text, String name, long value) {
        text.append("gatherer.").append(name).append('=').append(value).append('\n');
    }
}
