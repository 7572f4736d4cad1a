package wallmoor.metrics;

import java.util.LinkedHashSet;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The one place that counts what becomes of queries. No I/O and no clock; any number of callers count at once and none
 * waits for another. A figure is kept for each query class that is named: the caller names those of its configuration
 * and no others, as nothing is ever forgotten here.
 */
public final class GathererMetrics {
    /** How a query ended. */
    public enum QueryEnd {
        /** Answered with what was asked. */
        SERVED,
        /** Turned away, to be asked again later. */
        REFUSED,
        /** Taken up and not answered with what was asked. */
        FAILED,
        /** Its client left before the answer. */
        CLIENT_GONE
    }

    private static final QueryEnd[] ENDS = QueryEnd.values();

    private static final class ClassCounters {
        final LongAdder taken = new LongAdder();
        final LongAdder[] ended = new LongAdder[ENDS.length];
        final LongAdder attempts = new LongAdder();

        ClassCounters() {
            for (QueryEnd end : ENDS) {
                ended[end.ordinal()] = new LongAdder();
            }
        }

        long ended() {
            long sum = 0;
            for (LongAdder each : ended) {
                sum += each.sum();
            }
            return sum;
        }
    }

    private final ConcurrentHashMap<String, ClassCounters> classes = new ConcurrentHashMap<>();
    private final LongAdder reloadsTaken = new LongAdder();
    private final LongAdder reloadsRefused = new LongAdder();

    /** All at zero. */
    public GathererMetrics() {}

    /** A query has been taken up; one call of {@link #queryEnded} must follow it, however the query ends. */
    public void queryStarted(String queryClass) {
        counts(queryClass).taken.increment();
    }

    /** A query that was taken up has ended. */
    public void queryEnded(String queryClass, QueryEnd end) {
        counts(queryClass).ended[end.ordinal()].increment();
    }

    /** So many attempts have been written whole to workers. */
    public void addAttempts(String queryClass, int count) {
        counts(queryClass).attempts.add(count);
    }

    /** The configuration was read again, and taken or found faulty. */
    public void configReloaded(boolean taken) {
        (taken ? reloadsTaken : reloadsRefused).increment();
    }

    private ClassCounters counts(String queryClass) {
        ClassCounters known = classes.get(queryClass); // computeIfAbsent may lock even where the class is known
        return known != null ? known : classes.computeIfAbsent(queryClass, name -> new ClassCounters());
    }

    /** Queries taken up that have not ended, never below 0. */
    public long inFlight() {
        // Ends first: each end that is seen has its start before it, so a start read later is never missing. What
        // ends in between is told as still in flight.
        long ended = 0;
        for (ClassCounters each : classes.values()) {
            ended += each.ended();
        }
        long taken = 0;
        for (ClassCounters each : classes.values()) {
            taken += each.taken.sum();
        }
        return Math.max(0, taken - ended);
    }

    /**
     * A line {@code name=number} for each figure, each with its LF: those of these classes, also where nothing of a
     * class has been counted, then those of the other classes counted, then the gatherer's own.
     */
    public String render(Iterable<String> named, int workersKnown, int workersExcluded) {
        var all = new LinkedHashSet<String>();
        named.forEach(all::add);
        all.addAll(new TreeSet<>(classes.keySet()));
        var text = new StringBuilder(256);
        long attempts = 0;
        for (String name : all) {
            ClassCounters counts = counts(name);
            line(text, "served." + name, counts.ended[QueryEnd.SERVED.ordinal()].sum());
            line(text, "refused." + name, counts.ended[QueryEnd.REFUSED.ordinal()].sum());
            line(text, "failed." + name, counts.ended[QueryEnd.FAILED.ordinal()].sum());
            long own = counts.attempts.sum();
            line(text, "attempts." + name, own);
            attempts += own;
        }
        line(text, "attempts", attempts); // of the lines above, so that they add up
        line(text, "in_flight", inFlight());
        line(text, "workers_known", workersKnown);
        line(text, "workers_excluded", workersExcluded);
        line(text, "reloads_ok", reloadsTaken.sum());
        line(text, "reloads_failed", reloadsRefused.sum());
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("gatherer.").append(name).append('=').append(value).append('\n');
    }
}
