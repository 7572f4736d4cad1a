package wallmoor.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
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
 * each observes the next one on every ring (as in Rapid, ATC 2018). So each has some observers and some subjects, as
 * many as there are rings at most, whatever the group's size, and everybody who knows the same members knows the same
 * ones.
 *
 * <p>Members that come and go are put in their places together, when somebody next asks: a thousand that join cost one
 * pass over the rings and not a thousand.
 */
final class ObserverRings {
    private record RingPosition(long at, String name) implements Comparable<RingPosition> {
        @Override
        public int compareTo(RingPosition other) {
            return at != other.at ? Long.compare(at, other.at) : name.compareTo(other.name);
        }
    }

    private final RingPosition[][] rings;
    private final Set<String> joined = new LinkedHashSet<>();
    private final Set<String> gone = new HashSet<>();
    /** Where each member stands on each ring; null until it is asked for after a change. */
    private Map<String, int[]> places;

    /** Nobody stands on them yet. */
    ObserverRings(int count) {
        rings = new RingPosition[count][0];
    }

    void add(String name) {
        gone.remove(name);
        joined.add(name);
    }

    void remove(String name) {
        joined.remove(name);
        gone.add(name);
    }

    /** Who observes this member: it need not stand on the rings itself to be asked for. */
    Set<String> observers(String name) {
        return neighbours(name, -1);
    }

    /** Whom this member observes. */
    Set<String> subjects(String name) {
        return neighbours(name, 1);
    }

    /**
     * Members whose word reaches this one: those that it hears itself; and those that more of the reached ones which
     * observe them hear than others doubt.
     *
     * @param doubted whether the observer named first says that it does not hear the subject named second, or its word
     *                is of no use
     * @param against how many say so of a subject
     */
    Set<String> reachableFrom(String from, BiPredicate<String, String> doubted, ToIntFunction<String> against) {
        applyChanges();
        int size = rings[0].length;
        places = places == null ? places() : places;
        var seen = new HashSet<String>(Set.of(from));
        var hearing = new HashMap<String, Integer>();
        var next = new ArrayDeque<String>(seen);
        while (!next.isEmpty()) {
            String observer = next.poll();
            for (String s : size <= rings.length + 1 ? subjects(observer) : subjects(places.get(observer), size)) {
                if (seen.contains(s) || doubted.test(observer, s)) {
                    continue;
                }
                int doubts = observer.equals(from) ? 0 : against.applyAsInt(s);
                if (doubts == 0 || hearing.merge(s, 1, Integer::sum) > doubts) {
                    seen.add(s);
                    next.add(s);
                }
            }
        }
        return seen;
    }

    /** The same as {@link #subjects(String)}, without a search for each ring. */
    private List<String> subjects(int[] at, int size) {
        var found = new ArrayList<String>(rings.length);
        for (int r = 0; at != null && r < rings.length; r++) {
            String subject = rings[r][(at[r] + 1) % size].name;
            if (!found.contains(subject)) {
                found.add(subject);
            }
        }
        return found;
    }

    private Map<String, int[]> places() {
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
        var chosen = new LinkedHashSet<String>();
        if (all.length <= 2 * (most + without.size())) {
            var left = new ArrayList<String>();
            for (RingPosition p : all) {
                if (!without.contains(p.name)) {
                    left.add(p.name);
                }
            }
            java.util.Collections.shuffle(left, random);
            return left.subList(0, Math.min(most, left.size()));
        }
        while (chosen.size() < most) { // at least half of all are neither chosen nor excluded: it ends soon
            String name = all[random.nextInt(all.length)].name;
            if (!without.contains(name)) {
                chosen.add(name);
            }
        }
        return List.copyOf(chosen);
    }

    private Set<String> neighbours(String name, int step) {
        applyChanges();
        var found = new LinkedHashSet<String>();
        int size = rings[0].length;
        if (size <= rings.length + 1) { // so few that all observe all
            for (RingPosition p : rings[0]) {
                found.add(p.name);
            }
        } else {
            for (int r = 0; r < rings.length; r++) {
                found.add(neighbours(r, name, step));
            }
        }
        found.remove(name);
        return found;
    }

    private String neighbours(int ring, String name, int step) {
        RingPosition[] all = rings[ring];
        int i = Arrays.binarySearch(all, place(ring, name));
        int next = i >= 0 ? i + step : step < 0 ? -i - 2 : -i - 1;
        return all[Math.floorMod(next, all.length)].name;
    }

    private void applyChanges() {
        if (joined.isEmpty() && gone.isEmpty()) {
            return;
        }
        for (int r = 0; r < rings.length; r++) {
            var next = new ArrayList<RingPosition>(rings[r].length + joined.size());
            for (RingPosition p : rings[r]) {
                if (!gone.contains(p.name) && !joined.contains(p.name)) {
                    next.add(p);
                }
            }
            for (String name : joined) {
                next.add(place(r, name));
            }
            next.sort(null); // the first part is in order already, which the sort makes use of
            rings[r] = next.toArray(RingPosition[]::new);
        }
        joined.clear();
        gone.clear();
        places = null;
    }

    private static RingPosition place(int ring, String name) {
        return new RingPosition(mix(mix(ring + 1) ^ hash(name)), name);
    }

    private static long hash(String name) {
        long h = 1125899906842597L;
        for (int i = 0; i < name.length(); i++) {
            h = 31 * h + name.charAt(i);
        }
        return h;
    }

    /** Spreads a number over all bits (the finalizer of SplitMix64, Steele et al., OOPSLA 2014). */
    static long mix(long z) {
        long once = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        long twice = (once ^ once >>> 27) * 0x94d049bb133111ebL;
        return twice ^ twice >>> 31;
    }
}
