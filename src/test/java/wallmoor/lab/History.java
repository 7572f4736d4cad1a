package wallmoor.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * The history of the values that each process reported to act on, and the times for which two processes acted on
 * contradicting values. The caller decides which values contradict each other; injected faults are not considered.
 * Times are nanoseconds of one clock; records may be added by any thread and in any order.
 */
public final class History {
    /**
     * A record that a process acts on a value from a time on, until its next record about the same subject.
     *
     * @param who   the process
     * @param about the subject, such as a document's name
     * @param at    the time
     * @param value the value; null where the process acts on none, or is dead or paused
     */
    public record Act(String who, String about, long at, Object value) {}

    /**
     * The longest contradiction of two processes about a subject.
     *
     * @param at    when it began
     * @param nanos how long it lasted without interruption
     */
    public record Contradiction(String one, String other, String about, long at, long nanos) {}

    private final List<Act> acts = new ArrayList<>();

    /** Adds a record. */
    public synchronized void add(String who, String about, long at, Object value) {
        acts.add(new Act(who, about, at, value));
    }

    /** Returns all records in order of time. */
    public synchronized List<Act> acts() {
        var ordered = new ArrayList<>(acts);
        ordered.sort(java.util.Comparator.comparingLong(Act::at));
        return ordered;
    }

    /**
     * Returns the longest contradiction of each pair of processes and subject, in descending order of length.
     *
     * @param end        the time at which contradictions that still hold are counted as ended
     * @param contradict whether two records contradict each other, tested in both orders
     */
    public List<Contradiction> contradictions(long end, BiPredicate<Act, Act> contradict) {
        var latest = new HashMap<String, Map<String, Act>>();
        var since = new HashMap<List<String>, Long>();
        var longest = new HashMap<List<String>, Contradiction>();
        for (Act act : acts()) {
            Map<String, Act> byProcess = latest.computeIfAbsent(act.about, a -> new TreeMap<>());
            byProcess.put(act.who, act);
            for (Act other : byProcess.values()) {
                if (!other.who.equals(act.who)) {
                    List<String> pair = act.who.compareTo(other.who) < 0 ? List.of(act.who, other.who, act.about)
                            : List.of(other.who, act.who, act.about);
                    boolean isContradiction = act.value != null && other.value != null
                            && (contradict.test(act, other) || contradict.test(other, act));
                    if (isContradiction) {
                        since.putIfAbsent(pair, act.at);
                    } else {
                        end(longest, pair, since.remove(pair), act.at);
                    }
                }
            }
        }
        since.forEach((pair, from) -> end(longest, pair, from, end));
        return longest.values().stream().sorted((a, b) -> Long.compare(b.nanos, a.nanos)).toList();
    }

    private static void end(Map<List<String>, Contradiction> longest, List<String> pair, Long from, long at) {
        if (from != null && at > from) {
            var found = new Contradiction(pair.get(0), pair.get(1), pair.get(2), from, at - from);
            longest.merge(pair, found, (a, b) -> a.nanos >= b.nanos ? a : b);
        }
    }

    /** Returns the value that a process acted on at a time, or null for none. */
    public Object at(String who, String about, long time) {
        return acts().stream().filter(a -> a.who.equals(who) && a.about.equals(about) && a.at <= time)
                .reduce((a, b) -> b).map(Act::value).filter(Objects::nonNull).orElse(null);
    }
}
