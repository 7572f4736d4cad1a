package wallmoor.moves;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What a node holds of a block; it is kept on its disk before it is said.
 *
 * @param number   the highest that a request about this block came with: lower ones are refused; kept when the block is
 *   gone
 * @param bytes   of the whole block; 0 where nothing is held
 * @param chunk   bytes of a chunk; 0 for a copy that was not copied
 * @param mb      room that is kept for it
 * @param missing chunks that it does not have yet
 * @param floor   the lowest version of the map whose parts that run once may run here
 */
public record Held(Status status, long number, long bytes, int chunk, long mb, SortedSet<Integer> missing, long floor) {
    /** Nothing, and nothing was ever asked. */
    public static final Held NONE = new Held(Status.ABSENT, 0, 0, 0, 0, Collections.emptySortedSet(), 0);

    /** What a copy is good for. */
    public enum Status {
        /** There is none. Whatever is asked of it is refused, with proof that it never ran. */
        ABSENT,
        /** It is being copied. Refuses as well. */
        FILLING,
        /** Confirmed: reads are answered, what runs once is refused. */
        SEALED,
        /** All is run. */
        OWNER,
        /** Reads are answered; what runs once is refused, with proof that it never ran. */
        FENCED
    }

    public Held {
        missing = Collections.unmodifiableSortedSet(new TreeSet<>(missing));
    }

    /** A block that lies there from the start. */
    public static Held owned(long bytes, long mb) {
        return new Held(Status.OWNER, 0, bytes, 0, mb, Collections.emptySortedSet(), 0);
    }

    /** Whether its content is all there and no longer changes by copying. */
    public boolean whole() {
        return status == Status.SEALED || status == Status.OWNER || status == Status.FENCED;
    }

    /** Whether a query that reads is answered. */
    public boolean reads() {
        return whole();
    }

    /** Whether a part that runs once may run, of a query that was opened under this version of the map. */
    public boolean runsOnce(long version) {
        return status == Status.OWNER && version >= floor;
    }

    /** After a part that runs once was refused, of this version: it never runs here any more, also if told twice. */
    public Held refused(long version) {
        return version < floor ? this : new Held(status, number, bytes, chunk, mb, missing, version + 1);
    }

    Held with(Status next, long at) {
        return new Held(next, at, bytes, chunk, mb, missing, floor);
    }

    Held lacking(Status next, long at, SortedSet<Integer> lacks) {
        return new Held(next, at, bytes, chunk, mb, lacks, floor);
    }

    Held runs(long at) {
        return new Held(Status.OWNER, at, bytes, chunk, mb, missing, Math.max(floor, at));
    }

    Held gone(long at) {
        return new Held(Status.ABSENT, at, 0, 0, 0, Collections.emptySortedSet(), floor);
    }
}
