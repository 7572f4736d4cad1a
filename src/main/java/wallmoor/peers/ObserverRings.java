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
 * Assigns observers to members. Members are placed on several rings, each in a different order that depends on the
 * names alone, and each member observes its successor on every ring (Rapid, Suresh et al., USENIX ATC 2018). So a
 * member has at most as many observers and subjects as there are rings, whatever the group's size, and gatherers that
 * know the same members compute the same observers.
 *
 * <p>Added and removed members are placed together at the next query, so that a thousand joining members cost one pass
 * over the rings and not a thousand.
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

    /** The positions on each ring in ascending order. */
    private final RingPosition[][] rings;
    private final Set<String> members = new HashSet<>();
    /** Members added since the last update of the rings. */
    private final Set<String> added = new LinkedHashSet<>();
    /** Members removed since the last update of the rings. */
    private final Set<String> removed = new HashSet<>();
    /** Each member's index on each ring; null from a change until the next use. */
    private Map<String, int[]> indexes;

    /** Creates this number of empty rings. */
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

    /** Returns the observers of this member, which need not be on the rings itself. */
    Set<String> observers(String name) {
        return neighbours(name, TO_OBSERVER);
    }

    /** Returns the members that this member observes. */
    Set<String> subjects(String name) {
        return neighbours(name, TO_SUBJECT);
    }

    /**
     * Returns the members that {@code start} reaches over chains of observers, including itself: its own subjects that
     * it does not suspect, and the members with more reached observers that don't suspect them than observers that do.
     *
     * @param reportsSilence  whether the first argument, an observer, suspects the second one, its subject, or the
     *                        subject is unreachable
     * @param suspectingCount number of observers that suspect a member
     */
    Set<String> reachableFrom(String start, BiPredicate<String, String> reportsSilence,
            ToIntFunction<String> suspectingCount) {
        applyChanges();
        indexes = indexes == null ? computeIndexes() : indexes;
        var reached = new HashSet<String>(Set.of(start));
        var trustingCounts = new HashMap<String, Integer>();
        var queue = new ArrayDeque<String>(reached);
        while (!queue.isEmpty()) {
            String observer = queue.poll();
            for (String subject : isFullMesh() ? subjects(observer) : successors(indexes.get(observer))) {
                if (reached.contains(subject) || reportsSilence.test(observer, subject)) {
                    continue;
                }
                int suspecting = observer.equals(start) ? 0 : suspectingCount.applyAsInt(subject);
                if (suspecting == 0 || trustingCounts.merge(subject, 1, Integer::sum) > suspecting) {
                    reached.add(subject);
                    queue.add(subject);
                }
            }
        }
        return reached;
    }

    /** Returns the same as {@link #subjects(String)}, without a binary search on each ring. */
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

    /** Returns up to {@code maxCount} different members, chosen uniformly at random, without the excluded ones. */
    List<String> sample(int maxCount, Set<String> excluded, Random random) {
        applyChanges();
        RingPosition[] all = rings[0];
        if (all.length <= 2 * (maxCount + excluded.size())) {
            var candidates = new ArrayList<String>();
            for (RingPosition p : all) {
                if (!excluded.contains(p.name)) {
                    candidates.add(p.name);
                }
            }
            Collections.shuffle(candidates, random);
            return candidates.subList(0, Math.min(maxCount, candidates.size()));
        }
        var chosen = new LinkedHashSet<String>();
        while (chosen.size() < maxCount) { // ends soon: at least half of all members are neither chosen nor excluded
            String name = all[random.nextInt(all.length)].name;
            if (!excluded.contains(name)) {
                chosen.add(name);
            }
        }
        return List.copyOf(chosen);
    }

    /** Returns whether the group is so small that every member observes all others. */
    private boolean isFullMesh() {
        return rings[0].length <= rings.length + 1;
    }

    private Set<String> neighbours(String name, int step) {
        applyChanges();
        var found = new LinkedHashSet<String>();
        if (isFullMesh()) {
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
        int insertion = -found - 1; // index of the successor, if the member is not on the ring
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
            next.sort(null); // fast, as the first part is already sorted
            rings[r] = next.toArray(RingPosition[]::new);
        }
        added.clear();
        removed.clear();
        indexes = null;
    }

    private static RingPosition position(int ring, String name) {
        return new RingPosition(mix(mix(ring + 1) ^ hash(name)), name);
    }

    /** Returns a 64-bit hash, computed like {@link String#hashCode} but from another start value. */
    private static long hash(String name) {
        long h = 1125899906842597L;
        for (int i = 0; i < name.length(); i++) {
            h = 31 * h + name.charAt(i);
        }
        return h;
    }

    /** Mixes all bits of a number (the finalizer of SplitMix64, Steele et al., OOPSLA 2014). */
    static long mix(long z) {
        long once = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        long twice = (once ^ (once >>> 27)) * 0x94d049bb133111ebL;
        return twice ^ (twice >>> 31);
    }
}
