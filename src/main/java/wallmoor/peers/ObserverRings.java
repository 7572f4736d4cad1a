package wallmoor.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.ToIntFunction;

/**
 * Who observes whom: members stand on several rings, in an order of each ring's own that follows from names alone, and
 * each observes its successor on every ring (Rapid, Suresh et al., USENIX ATC 2018). So each has as many observers and
 * subjects as there are rings at most, whatever the group's size, and everybody who knows the same members computes the
 * same observers.
 *
 * <p>Members that come and go are placed together, when somebody next asks: a thousand that join cost one pass over the
 * rings and not a thousand.
 */
final class ObserverRings {
    private record RingPosition(long hash, String name) implements Comparable<RingPosition> {
        @Override
        public int compareTo(RingPosition other) {
            return hash != other.hash ? Long.compare(hash, other.hash) : name.compareTo(other.name);
        }
    }

    private static final int TO_OBSERVER = -1;
    private static final int TO_SUBJECT = 1;

    /** Each in the order of its positions. */
    private final RingPosition[][] rings;
    private final Set<String> members = new HashSet<>();
    /** Added and removed since the rings were last put in order. */
    private final Set<String> added = new LinkedHashSet<>();
    private final Set<String> removed = new HashSet<>();
    /** Each member's index on each ring; null until it is asked for after a change. */
    private Map<String, int[]> indexes;

    /** Nobody stands on them yet. */
    ObserverRings(int count) {
        rings = new RingPosition[count][0];
    }

    void add(String name) {
        members.add(name);
        removed.remove(name);
        added.add(name);
    }

    void remove(String name) {
        members.remove(name);
        added.remove(name);
        removed.add(name);
    }

    boolean contains(String name) {
        return members.contains(name);
    }

    /** Who observes this member: it need not stand on the rings itself. */
    Set<String> observers(String name) {
        return neighbours(name, TO_OBSERVER);
    }

    /** Whom this member observes. */
    Set<String> subjects(String name) {
        return neighbours(name, TO_SUBJECT);
    }

    /**
     * Members that this one reaches over chains of observers: those that it hears itself; and those that more of the
     * reached ones which observe them hear than others suspect.
     *
     * @param doesNotHear whether the observer named first reports that it does not hear the subject named second, or
     *                    its word does not count
     * @param suspecting  how many report so of a subject
     */
    Set<String> reachableFrom(String start, BiPredicate<String, String> doesNotHear, ToIntFunction<String> suspecting) {
        applyChanges();
        indexes = indexes == null ? computeIndexes() : indexes;
        var reached = new HashSet<String>(Set.of(start));
        var hearing = new HashMap<String, Integer>();
        var queue = new ArrayDeque<String>(reached);
        while (!queue.isEmpty()) {
            String observer = queue.poll();
            for (String subject : allObserveAll() ? subjects(observer) : successors(indexes.get(observer))) {
                if (reached.contains(subject) || doesNotHear.test(observer, subject)) {
                    continue;
                }
                int against = observer.equals(start) ? 0 : suspecting.applyAsInt(subject);
                if (against == 0 || hearing.merge(subject, 1, Integer::sum) > against) {
                    reached.add(subject);
                    queue.add(subject);
                }
            }
        }
        return reached;
    }

    /** The same as {@link #subjects(String)}, without a search for each ring. */
    private List<String> successors(int[] index) {
        var found = new ArrayList<String>(rings.length);
        for (int r = 0; index != null && r < rings.length; r++) {
            String subject = rings[r][(index[r] + 1) % rings[r].length].name;
            if (!found.contains(subject)) {
                found.add(subject);
            }
        }
        return found;
    }

    private Map<String, int[]> computeIndexes() {
        var all = new HashMap<String, int[]>();
        for (int r = 0; r < rings.length; r++) {
            for (int i = 0; i < rings[r].length; i++) {
                all.computeIfAbsent(rings[r][i].name, n -> new int[rings.length])[r] = i;
            }
        }
        return all;
    }

    /** Different members chosen evenly, without the named ones; fewer where there are not so many. */
    List<String> sample(int most, Set<String> without, Random random) {
        applyChanges();
        RingPosition[] all = rings[0];
        if (all.length <= 2 * (most + without.size())) {
            var candidates = new ArrayList<String>();
            for (RingPosition p : all) {
                if (!without.contains(p.name)) {
                    candidates.add(p.name);
                }
            }
            Collections.shuffle(candidates, random);
            return candidates.subList(0, Math.min(most, candidates.size()));
        }
        var chosen = new LinkedHashSet<String>();
        while (chosen.size() < most) { // at least half of all are neither chosen nor excluded: it ends soon
            String name = all[random.nextInt(all.length)].name;
            if (!without.contains(name)) {
                chosen.add(name);
            }
        }
        return List.copyOf(chosen);
    }

    /** So few stand on the rings that each could be observed by all others. */
    private boolean allObserveAll() {
        return rings[0].length <= rings.length + 1;
    }

    private Set<String> neighbours(String name, int step) {
        applyChanges();
        var found = new LinkedHashSet<String>();
        if (allObserveAll()) {
            for (RingPosition p : rings[0]) {
                found.add(p.name);
            }
        } else {
            for (int r = 0; r < rings.length; r++) {
                found.add(neighbour(r, name, step));
            }
        }
        found.remove(name);
        return found;
    }

    private String neighbour(int ring, String name, int step) {
        RingPosition[] all = rings[ring];
        int found = Arrays.binarySearch(all, position(ring, name));
        int insertion = -found - 1; // where it would stand: before the one that is there
        int next = found >= 0 ? found + step : step == TO_OBSERVER ? insertion - 1 : insertion;
        return all[Math.floorMod(next, all.length)].name;
    }

    private void applyChanges() {
        if (added.isEmpty() && removed.isEmpty()) {
            return;
        }
        for (int r = 0; r < rings.length; r++) {
            var next = new ArrayList<RingPosition>(rings[r].length + added.size());
            for (RingPosition p : rings[r]) {
                if (!removed.contains(p.name) && !added.contains(p.name)) {
                    next.add(p);
                }
            }
            for (String name : added) {
                next.add(position(r, name));
            }
            next.sort(null); // the first part is in order already, which the sort makes use of
            rings[r] = next.toArray(RingPosition[]::new);
        }
        added.clear();
        removed.clear();
        indexes = null;
    }

    private static RingPosition position(int ring, String name) {
        return new RingPosition(mix(mix(ring + 1) ^ hash(name)), name);
    }

    /** As {@link String#hashCode}, over 64 bits. */
    private static long hash(String name) {
        long h = 1125899906842597L;
        for (int i = 0; i < name.length(); i++) {
            h = 31 * h + name.charAt(i);
        }
        return h;
    }

    /** Spreads a number over all bits (the finalizer of SplitMix64, Steele et al., OOPSLA 2014). */
    static long mix(long z) {
        long once = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        long twice = (once ^ (once >>> 27)) * 0x94d049bb133111ebL;
        return twice ^ (twice >>> 31);
    }
}
