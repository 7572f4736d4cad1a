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
 * Which workers operators have taken out: a last-writer-wins register for each worker id, so that processes that
 * exchange {@link #marks} in any order, any number of times, come to hold the same. Decides; no I/O and no clock. All
 * methods are synchronized and none waits for anything else.
 */
public final class BanRegister {
    /**
     * Marks that are kept. A fleet has some hundreds of workers. Lifted bans are bounded by this count and not by time:
     * a process that stood still for long, or a file put back from a copy, must not bring a lifted ban back, and a mark
     * costs some 30 bytes.
     */
    public static final int MAX_MARKS = 1024;
    /** Bans first, then what was said last; the id makes it one order everywhere. */
    private static final Comparator<BanMark> KEPT_FIRST = (a, b) -> a.banned() != b.banned() ? a.banned() ? -1 : 1
            : a.atMicros() != b.atMicros() ? Long.compare(b.atMicros(), a.atMicros()) : a.id().compareTo(b.id());

    private final Map<String, BanMark> marks = new HashMap<>();

    /** None is out. */
    public BanRegister() {}

    /** Leaves a worker out from this time on; true if it was not out. */
    public synchronized boolean ban(String id, long now) {
        return said(id, true, now);
    }

    /** Puts a worker back, however often it was taken out; true if it was out. */
    public synchronized boolean unban(String id, long now) {
        return said(id, false, now);
    }

    /**
     * What is said here stands over all that is known here, also where the clock went back. Saying it again has a time
     * of its own: another process may have been told otherwise in between, and the last call decides.
     */
    private boolean said(String id, boolean out, long now) {
        BanMark known = marks.get(id);
        marks.put(id, new BanMark(id, out, known == null ? now : Math.max(now, known.atMicros() + 1)));
        trim();
        return out != (known != null && known.banned());
    }

    /** Whether this worker is out. */
    public synchronized boolean banned(String id) {
        BanMark known = marks.get(id);
        return known != null && known.banned();
    }

    /** Whether anything was ever said of this worker, as far as that is kept: it was listed then. */
    public synchronized boolean hasMark(String id) {
        return marks.containsKey(id);
    }

    /** The workers that are out, in order of their ids; a copy. */
    public synchronized Set<String> banned() {
        return marks.values().stream().filter(BanMark::banned).map(BanMark::id)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Takes what another process holds; the ids of workers that are out by it and were not, or the other way. */
    public synchronized List<String> merge(Collection<BanMark> others) {
        var changed = new ArrayList<String>();
        for (BanMark other : others) {
            BanMark known = marks.get(other.id());
            if (known == null || other.supersedes(known)) {
                marks.put(other.id(), other);
                if (other.banned() != (known != null && known.banned())) {
                    changed.add(other.id());
                }
            }
        }
        trim();
        return changed.stream().distinct().toList();
    }

    /** Bans are never dropped here; of the lifted ones those that were lifted first. */
    private void trim() {
        if (marks.size() > MAX_MARKS) {
            marks.values().stream().sorted(KEPT_FIRST).skip(MAX_MARKS).filter(m -> !m.banned()).toList()
                    .forEach(m -> marks.remove(m.id()));
        }
    }

    /** What is to be kept, {@value #MAX_MARKS} at most: bans, those of last first, then lifted bans likewise. */
    public synchronized List<BanMark> marks() {
        return marks.values().stream().sorted(KEPT_FIRST).limit(MAX_MARKS).toList();
    }

    /** Whether something that is to be kept is missing there, or older there, so that it must be written again. */
    public synchronized boolean isNewerThan(Collection<BanMark> theirs) {
        Map<String, BanMark> there = theirs.stream()
                .collect(Collectors.toMap(BanMark::id, m -> m, (a, b) -> b.supersedes(a) ? b : a));
        return marks().stream().anyMatch(m -> !there.containsKey(m.id()) || m.supersedes(there.get(m.id())));
    }
}
