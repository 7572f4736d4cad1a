package wallmoor.moves;

import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Supplier;
import wallmoor.moves.Held.Status;
import wallmoor.moves.Said.Verdict;

/**
 * A node's side: what a request does to a copy. A node holds a lock of the block's while it decides, does and keeps
 * what came of it, and runs the block's parts under the same lock. What it fetches it decides on again when it is
 * there.
 */
public final class Shelf {
    /** A copy has so many chunks at most: their sums and what is missing fit one answer (a sum has 64 characters). */
    public static final int MOST_CHUNKS = 4_096;

    private Shelf() {}

    /**
     * What comes of a request.
     *
     * @param next what to keep before it is answered
     */
    public record Ruling(Verdict verdict, Held next) {}

    /**
     * Decides on a request. For {@link Ask.Pull} it says whether to fetch: what was fetched is for {@link #pulled}.
     *
     * @param own the sums of the chunks that lie there, read if they are needed
     */
    public static Ruling rule(Held held, long number, Ask ask, Room room, Supplier<List<String>> own) {
        if (number < held.number()) {
            return new Ruling(Verdict.OLD, held);
        }
        Status s = held.status();
        Held at = held.with(s, number); // seen: what has a lower number may come late, and does nothing any more
        if (ask instanceof Ask.Prepare p) {
            return prepare(held, number, p, room);
        } else if (ask instanceof Ask.Pull p) {
            return s != Status.FILLING || p.index() < 0 || p.index() >= chunks(held) ? wrong(at) : ok(at);
        } else if (ask instanceof Ask.Sums) {
            return held.whole() ? ok(at) : wrong(at);
        } else if (ask instanceof Ask.Seal seal) {
            return seal(held, number, seal, own);
        } else if (ask instanceof Ask.Fence) {
            return s == Status.OWNER || s == Status.FENCED ? ok(held.with(Status.FENCED, number)) : wrong(at);
        } else if (ask instanceof Ask.Unfence) {
            return s == Status.FENCED ? ok(held.runs(number)) : s == Status.OWNER ? ok(at) : wrong(at);
        } else if (ask instanceof Ask.Admit) {
            return s == Status.SEALED ? ok(held.runs(number)) : s == Status.OWNER ? ok(at) : wrong(at);
        } else if (ask instanceof Ask.Discard) {
            return s == Status.OWNER || s == Status.FENCED ? wrong(at) : ok(held.gone(number));
        } else if (ask instanceof Ask.Drop) {
            return s == Status.FENCED || s == Status.ABSENT ? ok(held.gone(number)) : wrong(at);
        }
        return ok(at);
    }

    /** What comes of a chunk that was fetched and is to be written now. Where it is not OK it must not be written. */
    public static Ruling pulled(Held held, long number, int index, Room room, long mostMb) {
        if (number < held.number()) {
            return new Ruling(Verdict.OLD, held);
        }
        if (held.status() != Status.FILLING || index < 0 || index >= chunks(held)) {
            return wrong(held);
        }
        if (!room.fits(0, mostMb)) { // its own room is kept: something else has grown
            return new Ruling(Verdict.NO_ROOM, held);
        }
        var lacks = new TreeSet<>(held.missing());
        lacks.remove(index);
        return ok(held.lacking(Status.FILLING, number, lacks));
    }

    /** How many chunks a copy has. */
    public static int chunks(Held held) {
        return held.chunk() == 0 ? 0 : (int) ((held.bytes() + held.chunk() - 1) / held.chunk());
    }

    private static Ruling prepare(Held held, long number, Ask.Prepare p, Room room) {
        if (held.status() == Status.OWNER || held.status() == Status.FENCED || p.bytes() < 1 || p.chunk() < 1
                || (p.bytes() + p.chunk() - 1) / p.chunk() > MOST_CHUNKS) {
            return wrong(held.with(held.status(), number));
        }
        if (held.status() == Status.FILLING && held.number() == number && held.bytes() == p.bytes()) {
            return ok(held);
        }
        if (!room.fits(p.mb() - held.mb(), p.mostMb())) {
            return new Ruling(Verdict.NO_ROOM, held.with(held.status(), number));
        }
        var all = new TreeSet<Integer>();
        for (int i = 0; i * (long) p.chunk() < p.bytes(); i++) {
            all.add(i);
        }
        return ok(new Held(Status.FILLING, number, p.bytes(), p.chunk(), p.mb(), all, held.floor()));
    }

    private static Ruling seal(Held held, long number, Ask.Seal seal, Supplier<List<String>> own) {
        if (held.status() != Status.FILLING && held.status() != Status.SEALED || seal.sums().size() != chunks(held)) {
            return wrong(held.with(held.status(), number));
        }
        List<String> there = own.get();
        SortedSet<Integer> lacks = new TreeSet<>(held.missing());
        for (int i = 0; i < chunks(held); i++) {
            if (i >= there.size() || !there.get(i).equals(seal.sums().get(i))) {
                lacks.add(i);
            }
        }
        return ok(held.lacking(lacks.isEmpty() ? Status.SEALED : Status.FILLING, number, lacks));
    }

    private static Ruling ok(Held next) {
        return new Ruling(Verdict.OK, next);
    }

    private static Ruling wrong(Held next) {
        return new Ruling(Verdict.WRONG, next);
    }
}
