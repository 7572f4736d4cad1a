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
 * Which workers operators have banned: a last-writer-wins register for each worker's id (a state-based CRDT), so that
 * processes that exchange {@link #marks} in any order, any number of times, come to hold the same. Decides; no I/O and
 * no clock. All methods are synchronized and none waits for anything else.
 */
public final class BanRegister {
    /**
     * Marks that are stored. A fleet has some hundreds of workers. Lifted bans are bounded by this count and not by
     * time: a process that stood still for long, or a file restored from a copy, must not bring a lifted ban back, and
     * a mark costs some 30 bytes.
     */
    public static final int MAX_MARKS = 1024;
    /** Bans first, then what was said last; the id makes it one order everywhere. */
    private static final Comparator<BanMark> RETAINED_FIRST = BanRegister::compareForRetention;

    private final Map<String, BanMark> marks = new HashMap<>();

    /** Makes a register without any ban. */
    public BanRegister() {}

    /** Bans a worker from this time on; true if it was not banned. */
    public synchronized boolean ban(String id, long nowMicros) {
        return mark(id, true, nowMicros);
    }

    /** Lifts a worker's ban, however often it was banned; true if it was banned. */
    public synchronized boolean unban(String id, long nowMicros) {
        return mark(id, false, nowMicros);
    }

    /**
     * What is said here supersedes all that is known here, also where the clock went back. Saying it again has a time
     * of its own: another process may have been told otherwise in between, and the last call decides.
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

    /** Whether this worker is banned. */
    public synchronized boolean isBanned(String id) {
        return isBan(marks.get(id));
    }

    /** Whether anything was ever said of this worker, as far as that is retained: it was listed then. */
    public synchronized boolean hasMark(String id) {
        return marks.containsKey(id);
    }

    /** The workers that are banned, in order of their ids; a copy. */
    public synchronized Set<String> bannedIds() {
        return marks.values().stream().filter(BanMark::banned).map(BanMark::id)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Merges what another process holds; returns the ids of the workers that are banned or not by it, and were not. */
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

    /** Bans are never dropped here; of the lifted ones those that were lifted first. */
    private void trim() {
        if (marks.size() > MAX_MARKS) {
            marks.values().stream().sorted(RETAINED_FIRST).skip(MAX_MARKS).filter(m -> !m.banned()).toList()
                    .forEach(m -> marks.remove(m.id()));
        }
    }

    /** What is to be stored, {@value #MAX_MARKS} at most: bans, the latest first, then lifted bans likewise. */
    public synchronized List<BanMark> marks() {
        return marks.values().stream().sorted(RETAINED_FIRST).limit(MAX_MARKS).toList();
    }

    /** Whether a mark that is to be stored is missing there, or older there, so that it must be written again. */
    public synchronized boolean isNewerThan(Collection<BanMark> stored) {
        Map<String, BanMark> there = stored.stream()
                .collect(Collectors.toMap(BanMark::id, m -> m, (a, b) -> b.supersedes(a) ? b : a));
        return marks().stream().anyMatch(m -> !there.containsKey(m.id()) || m.supersedes(there.get(m.id())));
    }
}
