package wallmoor.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who observes whom: members stand on several rings, in an order of each ring's own that follows from names alone, and
 * each observes the next one on every ring (as in Rapid, ATC 2018). So each has some observers and some subjects, as many
 * as there are rings at most, whatever the group's size, and everybody who knows the same members knows the same ones.
 */
final class Rings {
    private final Map<String, Set<String>> observers = new HashMap<>();
    private final Map<String, Set<String>> subjects = new HashMap<>();

    Rings(List<String> names, int rings) {
        for (int r = 0; r < rings && names.size() > 1; r++) {
            var order = new ArrayList<>(names);
            long salt = mix(r + 1);
            var place = new HashMap<String, Long>();
            order.forEach(n -> place.put(n, mix(salt ^ hash(n))));
            order.sort((a, b) -> place.get(a).equals(place.get(b)) ? a.compareTo(b) : Long.compare(place.get(a), place.get(b)));
            for (int i = 0; i < order.size(); i++) {
                link(order.get(i), order.get((i + 1) % order.size()));
            }
        }
        if (names.size() <= rings + 1) { // so few that all observe all
            names.forEach(a -> names.stream().filter(b -> !a.equals(b)).forEach(b -> link(a, b)));
        }
    }

    private void link(String observer, String subject) {
        observers.computeIfAbsent(subject, s -> new LinkedHashSet<>()).add(observer);
        subjects.computeIfAbsent(observer, o -> new LinkedHashSet<>()).add(subject);
    }

    Set<String> observers(String name) {
        return observers.getOrDefault(name, Set.of());
    }

    Set<String> subjects(String name) {
        return subjects.getOrDefault(name, Set.of());
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
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
