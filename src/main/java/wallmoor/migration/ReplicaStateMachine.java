package wallmoor.migration;

import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Supplier;
import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.migration.ReplicaResponse.ResponseCode;

/**
 * A node's side: what a request does to a copy. A node holds a lock of the block's while it decides, does and keeps
 * what came of it, and runs the block's parts under the same lock. What it fetches it decides on again when it is
 * there.
 */
public final class ReplicaStateMachine {
    /** A copy has so many chunks at most: their sums and what is missing fit one answer (a sum has 64 characters). */
    public static final int MAX_CHUNKS = 4_096;

    private ReplicaStateMachine() {}

    /**
     * What comes of a request.
     *
     * @param replica what to keep before it is answered
     */
    public record Transition(ResponseCode code, ReplicaRecord replica) {}

    /**
     * Decides on a request. For {@link ReplicaRequest.FetchChunk} it says whether to fetch: what was fetched is for
     * {@link #handleFetchedChunk}.
     *
     * @param own the sums of the chunks that lie there, read if they are needed
     */
    public static Transition handle(ReplicaRecord held, long number, ReplicaRequest ask, DiskSpace room,
            Supplier<List<String>> own) {
        if (number < held.fencingToken()) {
            return new Transition(ResponseCode.OLD, held);
        }
        ReplicaState s = held.state();
        // seen: what has a lower number may come late, and does nothing any more
        ReplicaRecord at = held.withState(s, number);
        if (ask instanceof ReplicaRequest.ReserveSpace p) {
            return prepare(held, number, p, room);
        } else if (ask instanceof ReplicaRequest.FetchChunk p) {
            return s != ReplicaState.FILLING || p.chunkIndex() < 0 || p.chunkIndex() >= chunkCount(held) ? wrong(at)
                    : ok(at);
        } else if (ask instanceof ReplicaRequest.ComputeChecksums) {
            return held.isComplete() ? ok(at) : wrong(at);
        } else if (ask instanceof ReplicaRequest.Seal seal) {
            return seal(held, number, seal, own);
        } else if (ask instanceof ReplicaRequest.Fence) {
            return s == ReplicaState.OWNER || s == ReplicaState.FENCED ? ok(held.withState(ReplicaState.FENCED, number))
                    : wrong(at);
        } else if (ask instanceof ReplicaRequest.Unfence) {
            return s == ReplicaState.FENCED ? ok(held.asOwner(number)) : s == ReplicaState.OWNER ? ok(at) : wrong(at);
        } else if (ask instanceof ReplicaRequest.TakeOwnership) {
            return s == ReplicaState.SEALED ? ok(held.asOwner(number)) : s == ReplicaState.OWNER ? ok(at) : wrong(at);
        } else if (ask instanceof ReplicaRequest.DiscardCopy) {
            return s == ReplicaState.OWNER || s == ReplicaState.FENCED ? wrong(at) : ok(held.asAbsent(number));
        } else if (ask instanceof ReplicaRequest.DropReplica) {
            return s == ReplicaState.FENCED || s == ReplicaState.ABSENT ? ok(held.asAbsent(number)) : wrong(at);
        }
        return ok(at);
    }

    /** What comes of a chunk that was fetched and is to be written now. Where it is not OK it must not be written. */
    public static Transition handleFetchedChunk(ReplicaRecord held, long number, int index, DiskSpace room,
            long mostMb) {
        if (number < held.fencingToken()) {
            return new Transition(ResponseCode.OLD, held);
        }
        if (held.state() != ReplicaState.FILLING || index < 0 || index >= chunkCount(held)) {
            return wrong(held);
        }
        if (!room.fits(0, mostMb)) { // its own room is kept: something else has grown
            return new Transition(ResponseCode.NO_ROOM, held);
        }
        var lacks = new TreeSet<>(held.missingChunks());
        lacks.remove(index);
        return ok(held.withMissingChunks(ReplicaState.FILLING, number, lacks));
    }

    /** How many chunks a copy has. */
    public static int chunkCount(ReplicaRecord held) {
        return held.chunkBytes() == 0 ? 0 : (int) ((held.sizeBytes() + held.chunkBytes() - 1) / held.chunkBytes());
    }

    private static Transition prepare(ReplicaRecord held, long number, ReplicaRequest.ReserveSpace p, DiskSpace room) {
        if (held.state() == ReplicaState.OWNER || held.state() == ReplicaState.FENCED || p.sizeBytes() < 1
                || p.chunkBytes() < 1
                || (p.sizeBytes() + p.chunkBytes() - 1) / p.chunkBytes() > MAX_CHUNKS) {
            return wrong(held.withState(held.state(), number));
        }
        if (held.state() == ReplicaState.FILLING && held.fencingToken() == number
                && held.sizeBytes() == p.sizeBytes()) {
            return ok(held);
        }
        if (!room.fits(p.reserveMb() - held.reservedMb(), p.limitMb())) {
            return new Transition(ResponseCode.NO_ROOM, held.withState(held.state(), number));
        }
        var all = new TreeSet<Integer>();
        for (int i = 0; i * (long) p.chunkBytes() < p.sizeBytes(); i++) {
            all.add(i);
        }
        return ok(new ReplicaRecord(ReplicaState.FILLING, number, p.sizeBytes(), p.chunkBytes(), p.reserveMb(), all,
                held.minMapVersion()));
    }

    private static Transition seal(ReplicaRecord held, long number, ReplicaRequest.Seal seal,
            Supplier<List<String>> own) {
        if (held.state() != ReplicaState.FILLING && held.state() != ReplicaState.SEALED
                || seal.checksums().size() != chunkCount(held)) {
            return wrong(held.withState(held.state(), number));
        }
        List<String> there = own.get();
        SortedSet<Integer> lacks = new TreeSet<>(held.missingChunks());
        for (int i = 0; i < chunkCount(held); i++) {
            if (i >= there.size() || !there.get(i).equals(seal.checksums().get(i))) {
                lacks.add(i);
            }
        }
        return ok(held.withMissingChunks(lacks.isEmpty() ? ReplicaState.SEALED : ReplicaState.FILLING, number, lacks));
    }

    private static Transition ok(ReplicaRecord next) {
        return new Transition(ResponseCode.OK, next);
    }

    private static Transition wrong(ReplicaRecord next) {
        return new Transition(ResponseCode.WRONG, next);
    }
}
