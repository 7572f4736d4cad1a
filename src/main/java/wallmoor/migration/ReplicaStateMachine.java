package wallmoor.migration;

import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Supplier;
import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.migration.ReplicaResponse.ResponseCode;

/**
 * The node's side of the protocol: computes the replica's next record for each request. The node holds the block's lock
 * while it calls this class, acts and stores the record, and runs the block's parts under the same lock. A request to
 * fetch a chunk is checked again when the chunk has arrived.
 */
public final class ReplicaStateMachine {
    /** Maximum number of chunks of a block, so that their checksums of 64 characters each fit into one response. */
    public static final int MAX_CHUNKS = 4_096;

    private ReplicaStateMachine() {}

    /**
     * The outcome of a request.
     *
     * @param replica record to store before the request is answered
     */
    public record Transition(ResponseCode code, ReplicaRecord replica) {}

    /**
     * Handles a request. For {@link ReplicaRequest.FetchChunk} the outcome says whether to fetch; the fetched chunk is
     * then passed to {@link #handleFetchedChunk}.
     *
     * @param ownChecksums checksums of the chunks on disk, computed only if they are needed
     */
    public static Transition handle(ReplicaRecord replica, long token, ReplicaRequest request, DiskSpace space,
            Supplier<List<String>> ownChecksums) {
        if (token < replica.fencingToken()) {
            return new Transition(ResponseCode.OLD, replica);
        }
        if (request instanceof ReplicaRequest.ReserveSpace reserve) {
            return reserveSpace(replica, token, reserve, space);
        } else if (request instanceof ReplicaRequest.FetchChunk fetch) {
            return requireState(isFetchable(replica, fetch.chunkIndex()), replica, token);
        } else if (request instanceof ReplicaRequest.ComputeChecksums) {
            return requireState(replica.isComplete(), replica, token);
        } else if (request instanceof ReplicaRequest.Seal seal) {
            return seal(replica, token, seal, ownChecksums);
        }
        return changeState(replica, token, request);
    }

    /** Handles requests that change or read the state, and need only the record. */
    private static Transition changeState(ReplicaRecord replica, long token, ReplicaRequest request) {
        ReplicaState state = replica.state();
        boolean owned = state == ReplicaState.OWNER || state == ReplicaState.FENCED;
        if (request instanceof ReplicaRequest.Fence) {
            return owned ? ok(replica.withState(ReplicaState.FENCED, token)) : wrong(replica, token);
        } else if (request instanceof ReplicaRequest.Unfence) {
            return becomeOwner(replica, token, ReplicaState.FENCED);
        } else if (request instanceof ReplicaRequest.TakeOwnership) {
            return becomeOwner(replica, token, ReplicaState.SEALED);
        } else if (request instanceof ReplicaRequest.DiscardCopy) {
            return owned ? wrong(replica, token) : ok(replica.asAbsent(token));
        } else if (request instanceof ReplicaRequest.DropReplica) {
            boolean droppable = state == ReplicaState.FENCED || state == ReplicaState.ABSENT;
            return droppable ? ok(replica.asAbsent(token)) : wrong(replica, token);
        }
        return ok(replica.withState(state, token));
    }

    private static Transition becomeOwner(ReplicaRecord replica, long token, ReplicaState from) {
        if (replica.state() == from) {
            return ok(replica.asOwner(token));
        }
        return requireState(replica.state() == ReplicaState.OWNER, replica, token);
    }

    /** Handles a chunk that was fetched. Unless the outcome is OK, the chunk must not be written. */
    public static Transition handleFetchedChunk(ReplicaRecord replica, long token, int chunkIndex, DiskSpace space,
            long limitMb) {
        if (token < replica.fencingToken()) {
            return new Transition(ResponseCode.OLD, replica);
        }
        if (!isFetchable(replica, chunkIndex)) {
            return new Transition(ResponseCode.WRONG, replica);
        }
        if (!space.fits(0, limitMb)) { // the copy's own space is reserved: other data has grown
            return new Transition(ResponseCode.NO_ROOM, replica);
        }
        var missing = new TreeSet<>(replica.missingChunks());
        missing.remove(chunkIndex);
        return ok(replica.withMissingChunks(ReplicaState.FILLING, token, missing));
    }

    private static boolean isFetchable(ReplicaRecord replica, int chunkIndex) {
        return replica.state() == ReplicaState.FILLING && chunkIndex >= 0 && chunkIndex < chunkCount(replica);
    }

    /** Returns the number of chunks of a copy; 0 for a replica that was not migrated here. */
    public static int chunkCount(ReplicaRecord replica) {
        return replica.chunkBytes() == 0 ? 0 : (int) chunkCount(replica.sizeBytes(), replica.chunkBytes());
    }

    private static long chunkCount(long sizeBytes, int chunkBytes) {
        return (sizeBytes + chunkBytes - 1) / chunkBytes;
    }

    private static Transition reserveSpace(ReplicaRecord replica, long token, ReplicaRequest.ReserveSpace request,
            DiskSpace space) {
        ReplicaState state = replica.state();
        if (state == ReplicaState.OWNER || state == ReplicaState.FENCED || request.sizeBytes() < 1
                || request.chunkBytes() < 1 || chunkCount(request.sizeBytes(), request.chunkBytes()) > MAX_CHUNKS) {
            return wrong(replica, token);
        }
        if (state == ReplicaState.FILLING && replica.fencingToken() == token
                && replica.sizeBytes() == request.sizeBytes()) {
            return ok(replica); // a repeated request
        }
        if (!space.fits(request.reserveMb() - replica.reservedMb(), request.limitMb())) {
            return new Transition(ResponseCode.NO_ROOM, replica.withState(state, token));
        }
        var missing = new TreeSet<Integer>();
        for (int i = 0; i * (long) request.chunkBytes() < request.sizeBytes(); i++) {
            missing.add(i);
        }
        return ok(new ReplicaRecord(ReplicaState.FILLING, token, request.sizeBytes(), request.chunkBytes(),
                request.reserveMb(), missing, replica.minMapVersion()));
    }

    private static Transition seal(ReplicaRecord replica, long token, ReplicaRequest.Seal request,
            Supplier<List<String>> ownChecksums) {
        boolean copy = replica.state() == ReplicaState.FILLING || replica.state() == ReplicaState.SEALED;
        int chunks = chunkCount(replica);
        if (!copy || request.checksums().size() != chunks) {
            return wrong(replica, token);
        }
        List<String> own = ownChecksums.get();
        SortedSet<Integer> missing = new TreeSet<>(replica.missingChunks());
        for (int i = 0; i < chunks; i++) {
            if (i >= own.size() || !own.get(i).equals(request.checksums().get(i))) {
                missing.add(i);
            }
        }
        ReplicaState next = missing.isEmpty() ? ReplicaState.SEALED : ReplicaState.FILLING;
        return ok(replica.withMissingChunks(next, token, missing));
    }

    private static Transition requireState(boolean isAllowed, ReplicaRecord replica, long token) {
        return isAllowed ? ok(replica.withState(replica.state(), token)) : wrong(replica, token);
    }

    private static Transition ok(ReplicaRecord next) {
        return new Transition(ResponseCode.OK, next);
    }

    /** Rejects a request; its token is still recorded, so that an older request that arrives late has no effect. */
    private static Transition wrong(ReplicaRecord replica, long token) {
        return new Transition(ResponseCode.WRONG, replica.withState(replica.state(), token));
    }
}
