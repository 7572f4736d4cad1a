package wallmoor.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * What each process said it acted on, and when; and for how long two of them acted on things that contradict each
 * other. It knows neither faults nor what the things mean: who judges says which of them contradict. Times are
 * nanoseconds of one clock; records may come from any thread and in any order.
 */
public final class History {
    /**
     * From this time on a process acts on this, until its next record about the same.
     *
     * @param about what it is that it goes by, such as a document's name
     * @param value what it acts on; null where it acts on nothing, or is dead or paused
     */
    public record Act(String who, String about, long at, Object value) {}

    /**
     * Two processes that contradicted each other.
     *
     * @param nanos the longest time without a break
     */
    public record Contradiction(String one, String other, String about, long at, long nanos) {}

    private final List<Act> acts = new ArrayList<>();

    /** Takes a record in. */
    public synchronized void add(String who, String about, long at, Object value) {
        acts.add(new Act(who, about, at, value));
    }

    /** All records, in order of time. */
    public synchronized List<Act> acts() {
        var ordered = new ArrayList<>(acts);
        ordered.sort(java.util.Comparator.comparingLong(Act::at));
        return ordered;
    }

    /**
     * The longest contradiction of each pair that had one, the longest of all first; what holds at the end ends then.
     */
    public List<Contradiction> contradictions(long end, BiPredicate<Act, Act> contradict) {
        var latest = new HashMap<String, Map<String, Act>>();
        var since = new HashMap<List<String>, Long>();
        var worst = new HashMap<List<String>, Contradiction>();
        for (Act act : acts()) {
            Map<String, Act> of = latest.computeIfAbsent(act.about, a -> new TreeMap<>());
            of.put(act.who, act);
            for (Act other : of.values()) {
                if (!other.who.equals(act.who)) {
                    List<String> pair = act.who.compareTo(other.who) < 0 ? List.of(act.who, other.who, act.about)
                            : List.of(other.who, act.who, act.about);
                    boolean now = act.value != null && other.value != null
                            && (contradict.test(act, other) || contradict.test(other, act));
                    if (now) {
                        since.putIfAbsent(pair, act.at);
                    } else {
                        close(worst, pair, since.remove(pair), act.at);
                    }
                }
            }
        }
        since.forEach((pair, from) -> close(worst, pair, from, end));
        return worst.values().stream().sorted((a, b) -> Long.compare(b.nanos, a.nanos)).toList();
    }

    private static void close(Map<List<String>, Contradiction> worst, List<String> pair, Long from, long at) {
        if (from != null && at > from) {
            var found = new Contradiction(pair.get(0), pair.get(1), pair.get(2), from, at - from);
            worst.merge(pair, found, (a, b) -> a.nanos >= b.nanos ? a : b);
        }
    }

    /** What a process acted on at a time, or null. */
    public Object at(String who, String about, long time) {
        return acts().stream().filter(a -> a.who.equals(who) && a.about.equals(about) && a.at <= time)
                .reduce((a, b) -> b).map(Act::value).filter(Objects::nonNull).orElse(null);
    }
}
