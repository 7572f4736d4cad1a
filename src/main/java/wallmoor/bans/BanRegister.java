package wallmoor.bans;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The bans of workers by operators: a last-writer-wins register for each worker's id (a state-based CRDT), so that
 * processes that exchange {@link #marks} in any order, any number of times, converge to the same state. No I/O and no
 * clock. All methods are synchronized and none blocks on anything else.
 */
public final class BanRegister {
    /**
     * The maximum number of marks that are stored. A fleet has some hundreds of workers. Lifted bans are bounded by
     * this count and not by time, because a process that was suspended for long, or a file restored from a backup, must
     * not bring back a lifted ban. A mark takes some 30 bytes.
     */
    public static final int MAX_MARKS = 1024;
    /** Orders bans before lifted bans, then by time, the latest first; the id makes the order total. */
    private static final Comparator<BanMark> RETAINED_FIRST = BanRegister::compareForRetention;

    private final Map<String, BanMark> marks = new HashMap<>();

    /** Creates a register without any ban. */
    public BanRegister() {}

    /** Bans a worker; returns true if it was not banned before. */
    public synchronized boolean ban(String id, long nowMicros) {
        return mark(id, true, nowMicros);
    }

    /** Lifts a worker's ban, however often it was banned; returns true if it was banned before. */
    public synchronized boolean unban(String id, long nowMicros) {
        return mark(id, false, nowMicros);
    }

    /**
     * Writes a mark that supersedes the known one, also if the clock went back. Repeating the same change gets a new
     * time, because another process may have made the opposite change in between and the last call decides.
     */
    private boolean mark(String id, boolean banned, long nowMicros) {
        BanMark known = marks.get(id);
        long at = known == null ? nowMicros : Math.max(nowMicros, known.atMicros() + 1);
        marks.put(id, new BanMark(id, banned, at));
        trim();
        return banned != isBan(known);
    }

    private static boolean isBan(BanMark mark) {
        return mark != null && mark.banned();
    }

    /** Returns whether this worker is banned. */
    public synchronized boolean isBanned(String id) {
        return isBan(marks.get(id));
    }

    /** Returns whether a ban of this worker was ever set or lifted, as far as that is retained; it was listed then. */
    public synchronized boolean hasMark(String id) {
        return marks.containsKey(id);
    }

    /** Returns a copy of the ids of the banned workers, in their natural order. */
    public synchronized Set<String> bannedIds() {
        return marks.values().stream().filter(BanMark::banned).map(BanMark::id)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Merges the marks of another process; returns the ids of the workers whose ban was set or lifted thereby. */
    public synchronized List<String> merge(Collection<BanMark> others) {
        var changed = new ArrayList<String>();
        for (BanMark other : others) {
            BanMark known = marks.get(other.id());
            if (known == null || other.supersedes(known)) {
                marks.put(other.id(), other);
                if (other.banned() != isBan(known)) {
                    changed.add(other.id());
                }
            }
        }
        trim();
        return changed.stream().distinct().toList();
    }

    private static int compareForRetention(BanMark a, BanMark b) {
        if (a.banned() != b.banned()) {
            return a.banned() ? -1 : 1;
        }
        return a.atMicros() != b.atMicros() ? Long.compare(b.atMicros(), a.atMicros()) : a.id().compareTo(b.id());
    }

    /** Drops the lifted bans with the earliest times above the limit; never drops a ban. */
    private void trim() {
        if (marks.size() > MAX_MARKS) {
            marks.values().stream().sorted(RETAINED_FIRST).skip(MAX_MARKS).filter(mark -> !mark.banned()).toList()
                    .forEach(mark -> marks.remove(mark.id()));
        }
    }

    /** Returns the marks to store, at most {@value #MAX_MARKS}: bans, the latest first, then lifted bans likewise. */
    public synchronized List<BanMark> marks() {
        return marks.values().stream().sorted(RETAINED_FIRST).limit(MAX_MARKS).toList();
    }

    /** Returns whether a mark to store is missing or superseded in the stored ones, which must then be rewritten. */
    public synchronized boolean isNewerThan(Collection<BanMark> stored) {
        Map<String, BanMark> storedById = stored.stream()
                .collect(Collectors.toMap(BanMark::id, m -> m, (a, b) -> b.supersedes(a) ? b : a));
        return marks().stream()
                .anyMatch(mark -> !storedById.containsKey(mark.id()) || mark.supersedes(storedById.get(mark.id())));
    }
}
