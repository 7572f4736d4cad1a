package wallmoor.metrics;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The one place that counts what becomes of queries, and writes the counters as text for the operators' address. No I/O
 * and no clock; any number of threads count at once and none waits for another. Counters are kept for each query class
 * that is named: callers name the classes of their configuration and no others, as nothing is ever forgotten here.
 */
public final class GathererMetrics {
    /** How a query ended. The text on the operators' address uses names of its own. */
    public enum QueryEnd {
        /** Answered with what was asked. */
        SERVED,
        /** Rejected, to be asked again later. */
        REFUSED,
        /** Taken up and not answered with what was asked. */
        FAILED,
        /** Its client disconnected before the answer. */
        CLIENT_GONE
    }

    /** The counters of one query class. */
    private static final class ClassCounters {
        final LongAdder started = new LongAdder();
        final LongAdder attempts = new LongAdder();
        /** Holds a counter of each end from the beginning, so that it is only read later. */
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
            for (LongAdder each : ended.values()) {
                sum += each.sum();
            }
            return sum;
        }
    }

    private final ConcurrentHashMap<String, ClassCounters> classes = new ConcurrentHashMap<>();
    private final LongAdder reloadsAccepted = new LongAdder();
    private final LongAdder reloadsRejected = new LongAdder();

    /** Makes metrics with all counters at zero. */
    public GathererMetrics() {}

    /** A query has been taken up; one call of {@link #queryEnded} must follow, however the query ends. */
    public void queryStarted(String queryClass) {
        counters(queryClass).started.increment();
    }

    /** A query that was taken up has ended. */
    public void queryEnded(String queryClass, QueryEnd end) {
        counters(queryClass).ended(end).increment();
    }

    /** So many attempts have been written completely to workers. */
    public void addAttempts(String queryClass, int count) {
        counters(queryClass).attempts.add(count);
    }

    /** The configuration was read again, and accepted or found faulty. */
    public void configReloaded(boolean accepted) {
        (accepted ? reloadsAccepted : reloadsRejected).increment();
    }

    private ClassCounters counters(String queryClass) {
        ClassCounters known = classes.get(queryClass); // computeIfAbsent may lock even where the class is known
        return known != null ? known : classes.computeIfAbsent(queryClass, name -> new ClassCounters());
    }

    /** The number of queries taken up that have not ended, never below 0. */
    public long inFlight() {
        // Ends first: each end that is seen has its start before it, so a start read later is never missing. What
        // ends in between counts as still in flight.
        long ended = 0;
        for (ClassCounters each : classes.values()) {
            ended += each.allEnded();
        }
        long started = 0;
        for (ClassCounters each : classes.values()) {
            started += each.started.sum();
        }
        return Math.max(0, started - ended);
    }

    /**
     * The metrics as text: a line {@code name=number} each, ended by LF. First those of the given classes, also where
     * nothing of a class has been counted, then those of the other classes counted, then the gatherer's own.
     */
    public String render(Iterable<String> queryClasses, int workersKnown, int workersExcluded) {
        var names = new LinkedHashSet<String>();
        queryClasses.forEach(names::add);
        names.addAll(new TreeSet<>(classes.keySet()));
        var text = new StringBuilder(256);
        long attempts = 0; // the sum of the lines printed, so that they add up
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

    /** Appends the lines of a class; returns its attempts. */
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
