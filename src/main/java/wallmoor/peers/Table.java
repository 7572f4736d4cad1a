package wallmoor.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * All that is known of members, by name, and who doubts whom. Newer lives win over older ones; of one life leaving wins
 * over being there. Holds state and the rules of precedence; it sends nothing.
 */
final class Table {
    /** One doubted by so many is itself no witness. */
    private static final int NO_WITNESS = 2;

    /** A member as known here. */
    static final class Entry {
        News.Told told;
        /** The life that was removed here; lower than any where none was. */
        long removed = -1;
        long since;
        View.State state = View.State.ALIVE;
        final Map<String, News.Doubt> doubts = new TreeMap<>();

        Entry(News.Told told, long since) {
            this.told = told;
            this.since = since;
        }

        /** Whether this life is over: a newer one is known, or it was removed or has left. */
        boolean isOver(long incarnation) {
            return incarnation < told.incarnation() || incarnation <= removed || incarnation == told.incarnation() && told.left();
        }

        boolean isRemoved() {
            return removed >= told.incarnation();
        }

        /** Takes part: neither left nor removed. */
        boolean present() {
            return !told.left() && !isRemoved();
        }
    }

    private final Rules rules;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private Rings rings;
    /** Both null where something has changed since they were made. */
    private Long digest;
    private Map<String, Set<String>> doubted;

    Table(Rules rules) {
        this.rules = rules;
    }

    private void changed() {
        digest = null;
        doubted = null;
    }

    Entry get(String name) {
        return entries.get(name);
    }

    Collection<Entry> all() {
        return entries.values();
    }

    List<Entry> present() {
        return entries.values().stream().filter(Entry::present).toList();
    }

    Rings rings() {
        if (rings == null) {
            rings = new Rings(present().stream().map(e -> e.told.name()).toList(), rules.rings());
        }
        return rings;
    }

    /** Takes news of a member in; whether it told anything. */
    boolean learn(News.Told told, long now) {
        Entry e = entries.get(told.name());
        if (e == null) {
            if (entries.size() >= rules.members()) {
                return false;
            }
            entries.put(told.name(), new Entry(told, now));
        } else if (told.incarnation() < e.told.incarnation()
                || told.incarnation() == e.told.incarnation() && (e.told.left() || !told.left())) {
            return false;
        } else {
            e.told = told;
            e.doubts.values().removeIf(d -> d.incarnation() < told.incarnation());
        }
        rings = null;
        changed();
        return true;
    }

    /** Takes a doubt in; whether it told anything. What doubts a life that is over tells nothing. */
    boolean learn(News.Doubt doubt) {
        Entry e = entries.get(doubt.name());
        if (e == null || doubt.incarnation() != e.told.incarnation()) {
            return false;
        }
        News.Doubt old = e.doubts.get(doubt.by());
        if (old != null && old.seq() >= doubt.seq() || old == null && !doubt.on()) {
            return false;
        }
        e.doubts.put(doubt.by(), doubt);
        changed();
        return true;
    }

    void remove(Entry e) {
        e.removed = e.told.incarnation();
        rings = null;
        changed();
    }

    /** Forgets those that went long ago, and doubts of observers that are no longer there. */
    void forget(long before) {
        if (entries.values().removeIf(e -> !e.present() && e.since < before)) {
            entries.values().forEach(e -> e.doubts.keySet().removeIf(by -> !entries.containsKey(by)));
            changed();
        }
    }

    /** Members in doubt, each with the observers whose word counts: those on its rings that are no longer heard themselves don't. */
    Map<String, Set<String>> doubted() {
        if (doubted == null) {
            doubted = witnessed();
        }
        return doubted;
    }

    private Map<String, Set<String>> witnessed() {
        var all = new HashMap<String, Set<String>>();
        for (Entry e : entries.values()) {
            if (e.present() && e.doubts.values().stream().anyMatch(News.Doubt::on)) {
                var by = new HashSet<String>();
                Set<String> observers = rings().observers(e.told.name());
                e.doubts.values().stream().filter(d -> d.on() && observers.contains(d.by())).forEach(d -> by.add(d.by()));
                if (!by.isEmpty()) {
                    all.put(e.told.name(), by);
                }
            }
        }
        var trusted = new HashMap<String, Set<String>>();
        all.forEach((name, by) -> {
            var heard = new HashSet<>(by);
            heard.removeIf(o -> all.getOrDefault(o, Set.of()).size() >= NO_WITNESS);
            if (!heard.isEmpty()) {
                trusted.put(name, heard);
            }
        });
        return trusted;
    }

    /** Observers of a member that are witnesses: present, and not in doubt with several themselves. */
    Set<String> witnesses(String name, Map<String, Set<String>> doubted) {
        var left = new HashSet<>(rings().observers(name));
        left.removeIf(o -> doubted.getOrDefault(o, Set.of()).size() >= NO_WITNESS);
        return left;
    }

    /** The same wherever the same is known of the same members; what each has concluded from it is its own. */
    long digest() {
        if (digest != null) {
            return digest;
        }
        long sum = 17;
        for (Entry e : entries.values()) {
            long one = 31L * e.told.name().hashCode() + e.told.incarnation() * 1_000_003L + (e.told.left() ? 7 : 0);
            for (News.Doubt d : e.doubts.values()) {
                one = d.on() ? one * 31 + d.by().hashCode() : one; // who never knew a doubt knows no less than who knows its end
            }
            sum += Rings.mix(one);
        }
        digest = sum;
        return sum;
    }

    /** All that is known, as news. */
    List<News> news() {
        var all = new ArrayList<News>();
        for (Entry e : entries.values()) {
            all.add(e.told);
            all.addAll(e.doubts.values());
        }
        return all;
    }
}
