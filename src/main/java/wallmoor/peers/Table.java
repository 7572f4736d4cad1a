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
 * over being there. Holds state and the rules of precedence; it sends nothing. What is asked for often is kept up with
 * each change, or worked out once after it, so that its cost does not grow with the group.
 */
final class Table {
    /** Members fall into so many groups by name, each with a digest of its own: what differs is found by them. */
    static final int GROUPS = 64;

    /** A member as known here. */
    static final class Entry {
        News.Told told;
        /** The life that was removed here; lower than any where none was. */
        private long removed = -1;
        /**
         * Said to be back in a newer life: taken in at this time, unless it is still not heard; 0 where it isn't
         * awaited.
         */
        private long awaitedUntil;
        long since;
        /** When it last sent this member anything. */
        long spokeAt = Long.MIN_VALUE / 2;
        /** When it was first heard of. */
        final long metAt;
        /** When news was last sent to it for the news' sake. */
        long toldAt = Long.MIN_VALUE / 2;
        View.State state = View.State.ALIVE;
        private final int group;
        private Map<String, News.Doubt> doubts = Map.of();
        private long mixed;
        private boolean onRings;
        /** It went long ago: not told any more, only remembered. */
        private boolean faded;
        /** Observers that doubt it, of all of them, and for which rings that was worked out. */
        private Unheard.Accused accused;
        private long accusedRings;

        Entry(News.Told told, long since) {
            this.told = told;
            this.since = since;
            metAt = since;
            group = (int) (Rings.mix(told.name().hashCode()) & GROUPS - 1);
        }

        /** Who said what of this life's being heard. */
        Collection<News.Doubt> doubts() {
            return doubts.values();
        }

        /** What this observer said last, or null. */
        News.Doubt doubtBy(String observer) {
            return doubts.get(observer);
        }

        /** Whether it is what this observer said last of this life that it does not hear it. */
        boolean isDoubtedBy(String observer) {
            News.Doubt d = doubts.get(observer);
            return d != null && d.on();
        }

        /** Those of these observers that doubt it. */
        private Set<String> doubtedBy(Set<String> observers) {
            var by = new HashSet<String>();
            observers.stream().filter(this::isDoubtedBy).forEach(by::add);
            return by;
        }

        /** Whether this life is over: a newer one is known, or it was removed or has left. */
        boolean isOver(long incarnation) {
            return incarnation < told.incarnation() || incarnation <= removed
                    || incarnation == told.incarnation() && told.left();
        }

        boolean isRemoved() {
            return removed >= told.incarnation();
        }

        /** Was removed and says that it is back, which its observers have yet to see. */
        boolean isAwaited() {
            return awaitedUntil > 0;
        }

        /** Takes part: neither left nor removed nor awaited. */
        boolean present() {
            return !told.left() && !isRemoved() && !isAwaited();
        }

        private boolean isDoubted() {
            return present() && doubts.values().stream().anyMatch(News.Doubt::on);
        }
    }

    private final Rules rules;
    private final String self;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final TreeMap<String, Entry> doubtful = new TreeMap<>();
    private final TreeMap<String, Entry> awaited = new TreeMap<>();
    private final Rings rings;
    private long ringChanges;
    private int present;
    private final long[] groups = new long[GROUPS];
    private long digest;
    /** All null where something has changed since they were worked out. */
    private Map<String, Set<String>> doubted;
    private Set<String> unheard;
    private Integer reachable;

    Table(Rules rules, String self) {
        this.rules = rules;
        this.self = self;
        rings = new Rings(rules.rings());
    }

    private void changed(Entry e) {
        mix(e);
        if (e.present() != e.onRings) {
            e.onRings = e.present();
            ringChanges++;
            if (e.onRings) {
                present++;
                rings.add(e.told.name());
            } else {
                present--;
                rings.remove(e.told.name());
            }
        }
        if (e.isDoubted()) {
            doubtful.put(e.told.name(), e);
        } else {
            doubtful.remove(e.told.name());
        }
        e.accused = null;
        doubted = null;
        reachable = null;
    }

    private void mix(Entry e) {
        long mixed = 0;
        if (!e.faded) {
            mixed = 31L * e.told.name().hashCode() + e.told.incarnation() * 1_000_003L + (e.told.left() ? 7 : 0);
            for (News.Doubt d : e.doubts()) {
                // who never knew a doubt knows no less than who knows its end
                mixed = d.on() ? mixed * 31 + d.by().hashCode() : mixed;
            }
            mixed = Rings.mix(mixed);
        }
        groups[e.group] += mixed - e.mixed;
        digest += mixed - e.mixed;
        e.mixed = mixed;
    }

    Entry get(String name) {
        return entries.get(name);
    }

    Collection<Entry> all() {
        return entries.values();
    }

    int size() {
        return entries.size();
    }

    /** Members that take part, this one included. */
    int present() {
        return present;
    }

    Rings rings() {
        return rings;
    }

    /** Takes news of a member in; whether it told anything. */
    boolean learn(News.Told told, long now) {
        Entry e = entries.get(told.name());
        if (e == null) {
            if (entries.size() >= rules.members()) {
                return false;
            }
            e = new Entry(told, now);
            entries.put(told.name(), e);
        } else if (told.incarnation() < e.told.incarnation()
                || told.incarnation() == e.told.incarnation() && (e.told.left() || !told.left())) {
            return false;
        } else {
            if (told.boot() != e.told.boot() || told.left()) { // a process that has just started was never unheard
                await(e, 0);
            } else if (e.isRemoved() && !e.told.left() || e.isAwaited()) {
                await(e, now + rules.accuse() + 2 * rules.interval());
            }
            e.told = told;
            e.faded = false;
            if (!e.doubts.isEmpty()) {
                e.doubts.values().removeIf(d -> d.incarnation() < told.incarnation());
            }
        }
        changed(e);
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
        if (e.doubts.isEmpty()) {
            e.doubts = new TreeMap<>(); // most are never doubted
        }
        e.doubts.put(doubt.by(), doubt);
        changed(e);
        return true;
    }

    private void await(Entry e, long until) {
        e.awaitedUntil = until;
        if (until > 0) {
            awaited.put(e.told.name(), e);
        } else {
            awaited.remove(e.told.name());
        }
    }

    /** Members that were removed and say that they are back. */
    Collection<Entry> awaited() {
        return awaited.values();
    }

    /**
     * Takes in those that were awaited for long enough for their observers to accuse them, and that were not accused by
     * so many as would have them removed again; whether there were any.
     */
    boolean admit(long now) {
        boolean any = false;
        for (Entry e : List.copyOf(awaited.values())) {
            if (now >= e.awaitedUntil) {
                Set<String> witnesses = witnesses(e.told.name());
                int doubts = e.doubtedBy(witnesses).size();
                if (doubts == 0 || doubts < needed(witnesses.size())) {
                    await(e, 0);
                    changed(e);
                    any = true;
                }
            }
        }
        return any;
    }

    /** Two in three of the witnesses; and never the word of one alone, where there is another. */
    static int needed(int witnesses) {
        return Math.max(Math.min(2, witnesses), (2 * witnesses + 2) / 3);
    }

    void remove(Entry e) {
        e.removed = e.told.incarnation();
        changed(e);
    }

    /**
     * Forgets those that went long ago. Half of that time before, they are no longer told: else one that has just
     * forgotten them would learn them anew from one that is about to.
     */
    void forget(long now) {
        entries.values().removeIf(e -> {
            if (e.present() || e.isAwaited() || e.since >= now - rules.keep() / 2) {
                return false;
            }
            if (!e.faded) {
                e.faded = true;
                mix(e);
            }
            return e.since < now - rules.keep();
        });
    }

    /** Members in doubt, each with the observers whose word counts: those that are no longer heard themselves don't. */
    Map<String, Set<String>> doubted() {
        weigh();
        return doubted;
    }

    /** Members that more than half of their observers, of those whose word counts, don't hear. */
    Set<String> unheard() {
        weigh();
        return unheard;
    }

    private void weigh() {
        if (doubted != null) {
            return;
        }
        var all = new HashMap<String, Unheard.Accused>();
        for (Entry e : doubtful.values()) {
            if (e.accused == null || e.accusedRings != ringChanges) {
                Set<String> observers = rings.observers(e.told.name());
                e.accused = new Unheard.Accused(e.doubtedBy(observers), observers);
                e.accusedRings = ringChanges;
            }
            if (!e.accused.by().isEmpty()) {
                all.put(e.told.name(), e.accused);
            }
        }
        unheard = Unheard.of(all);
        doubted = new HashMap<>();
        all.forEach((name, accused) -> {
            var heard = new HashSet<>(accused.by());
            heard.removeAll(unheard);
            if (!heard.isEmpty()) {
                doubted.put(name, heard);
            }
        });
    }

    /** Observers of a member that are witnesses: present, and heard themselves. */
    Set<String> witnesses(String name) {
        Set<String> left = rings.observers(name);
        left.removeAll(unheard());
        return left;
    }

    /**
     * Members that this one hears, or that more of the reachable ones which observe them hear than doubt; without those
     * that most don't hear. That nobody is known to doubt a member tells nothing where those who would are not heard
     * themselves: so a few of many that are cut off don't take silence for a quorum, nor one word that has not come
     * yet. And that one or a few doubt a member tells little where more hear it: so one that hears nobody takes
     * nobody's quorum.
     */
    int reachable() {
        if (reachable == null) {
            reachable = present;
            if (!doubtful.isEmpty()) {
                Set<String> lost = unheard();
                reachable = rings.reached(self, (observer, subject) -> {
                    Entry e = doubtful.get(subject);
                    return lost.contains(subject) || e != null && e.isDoubtedBy(observer);
                }, subject -> doubted().getOrDefault(subject, Set.of()).size()).size();
            }
        }
        return reachable;
    }

    /** The same wherever the same is known of the same members; what each has concluded from it is its own. */
    long digest() {
        return digest;
    }

    /** The digests of the groups of members. */
    List<Long> digests() {
        var all = new ArrayList<Long>(GROUPS);
        for (long g : groups) {
            all.add(g);
        }
        return all;
    }

    /** All that is known of the groups whose digests are not these, as news; of all groups where there are none. */
    List<News> news(List<Long> digests) {
        var all = new ArrayList<News>();
        for (Entry e : entries.values()) {
            if (!e.faded && (digests.size() != GROUPS || digests.get(e.group) != groups[e.group])) {
                all.add(e.told);
                all.addAll(e.doubts());
            }
        }
        return all;
    }
}
