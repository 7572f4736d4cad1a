package wallmoor.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import wallmoor.idempotency.RequestDecision.RejectionReason;
import wallmoor.idempotency.RequestRecord.RequestState;

/**
 * The life cycle of devices' requests under idempotency keys: uploading, running, completed, forgotten
 * (docs/exchange.md). Callers give the time in microseconds, never going back, and one caller at a time uses it.
 *
 * <p>A request that may not repeat is executed once, however often it is submitted. Its outcome is retained until its
 * key's deduplication window is over. The key tells its own age (UUID version 7, RFC 9562): one that is older than what
 * is retained, also because the process started later, is never executed. So nothing has to be retained for ever.
 */
public final class IdempotentRequests {
    /** When a request has something to do, in the queue of timers. */
    private record Deadline(long at, RequestRecord request) {}

    /**
     * How much is in use.
     *
     * @param open     requests without an outcome, uploads included
     * @param retained completed requests
     * @param bytes    reserved for all of these
     * @param devices  with an account
     */
    public record Usage(int open, int retained, long bytes, int devices) {}

    private final IdempotencyLimits limits;
    private final long startedAt;
    private final RetryScheduler retries;
    private final RequestStore store;
    private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private long now;

    /** Without any request. Nothing is known of what ran before {@code startedAt}, microseconds of Unix time. */
    public IdempotentRequests(IdempotencyLimits limits, long startedAt) {
        this.limits = limits;
        this.startedAt = startedAt;
        this.now = startedAt;
        retries = new RetryScheduler(limits);
        store = new RequestStore(limits);
    }

    // ---- requests -----------------------------------------------------------------------------------------

    /**
     * A device submits a request for execution.
     *
     * @param digest of the body, the class included
     */
    public RequestDecision submit(long at, IdempotencyKey key, BodyDigest digest, boolean mayRepeat) {
        now = Math.max(now, at);
        DeviceAccount account = store.account(key, now);
        if (!account.tryAcquire(limits, now)) {
            return rateLimited(account);
        }
        RequestRecord upload = store.upload(key);
        if (upload != null) { // its body is complete: this is the request
            store.remove(upload);
        }
        RequestRecord known = store.request(key);
        if (known != null) {
            return resubmitted(known, digest);
        }
        if (!mayRepeat) {
            Optional<RequestDecision> rejection = checkAge(key.id());
            if (rejection.isPresent()) {
                return rejection.get();
            }
        }
        return execute(account, key, digest, mayRepeat);
    }

    private static RequestDecision resubmitted(RequestRecord known, BodyDigest digest) {
        if (!known.digest.equals(digest)) {
            return new RequestDecision.Conflict();
        }
        if (known.state == RequestState.COMPLETED) {
            return new RequestDecision.Replay(known.outcome);
        }
        known.waiting++;
        return new RequestDecision.Attach(known);
    }

    private RequestDecision execute(DeviceAccount account, IdempotencyKey key, BodyDigest digest, boolean mayRepeat) {
        // the outcome of a request that may not repeat needs its memory before anything runs
        long bytes = (long) IdempotencyLimits.RECORD_OVERHEAD_BYTES + (mayRepeat ? 0 : limits.maxOutcomeBytes());
        Optional<RejectionReason> rejection = store.admit(account, bytes);
        if (rejection.isPresent()) {
            return rejected(rejection.get());
        }
        RequestRecord request = RequestRecord.running(key, digest, mayRepeat);
        if (!mayRepeat) {
            request.expiresAt = KeyAge.createdAt(key.id()) + limits.deduplicationWindow() + limits.clockSkew();
        }
        store.add(request, bytes);
        return new RequestDecision.Execute(request);
    }

    /** A device asks for the outcome of a request; with {@code await} it waits if there is none yet. */
    public RequestDecision outcome(long at, IdempotencyKey key, boolean await) {
        now = Math.max(now, at);
        DeviceAccount account = store.account(key, now);
        if (!account.tryAcquire(limits, now)) {
            return rateLimited(account);
        }
        RequestRecord known = store.request(key);
        if (known == null) {
            RequestRecord upload = store.upload(key);
            return upload != null ? new RequestDecision.AwaitChunk(upload.upload.received()) : notFound(key);
        }
        if (known.state == RequestState.COMPLETED) {
            return new RequestDecision.Replay(known.outcome);
        }
        known.waiting += await ? 1 : 0;
        return new RequestDecision.Attach(known);
    }

    /** A key that tells its age also tells whether it would still be retained. */
    private RequestDecision notFound(IdempotencyKey key) {
        boolean expired = KeyAge.createdAt(key.id()) != KeyAge.UNKNOWN
                && checkAge(key.id()).orElse(null) instanceof RequestDecision.Expired;
        return expired ? new RequestDecision.Expired() : new RequestDecision.Unknown();
    }

    /** Why a request that may not repeat can't be executed under a key that is not known; empty if it can. */
    private Optional<RequestDecision> checkAge(String id) {
        long createdAt = KeyAge.createdAt(id);
        if (createdAt == KeyAge.UNKNOWN) {
            return Optional.of(new RequestDecision.InvalidKey(
                    "the id of a query that may not repeat must be a UUID of version 7 in lower case"));
        }
        if (createdAt > now + limits.clockSkew()) {
            return Optional.of(new RequestDecision.InvalidKey(
                    "the id was made in the future: see the Date of this answer"));
        }
        // a clock that is ahead may have created it before the start: a process before this one may have executed it
        boolean beforeStart = createdAt < startedAt + limits.clockSkew();
        boolean expired = beforeStart || createdAt < now - limits.deduplicationWindow();
        return expired ? Optional.of(new RequestDecision.Expired()) : Optional.empty();
    }

    // ---- uploads ------------------------------------------------------------------------------------------

    /**
     * A chunk of a request's body. Chunks may be repeated; what was received before is skipped.
     *
     * @param offset of its first byte
     * @param total  the length of the whole body, or -1 where only the last chunk shows it
     * @param last   whether it is the last chunk
     */
    public RequestDecision uploadChunk(long at, IdempotencyKey key, int offset, byte[] chunk, int total, boolean last) {
        now = Math.max(now, at);
        DeviceAccount account = store.account(key, now);
        if (offset == 0 && !account.tryAcquire(limits, now)) { // a body counts once, in however many chunks
            return rateLimited(account);
        }
        int capacity = total < 0 ? limits.maxOutcomeBytes() : total;
        if (capacity > limits.maxOutcomeBytes() || (long) offset + chunk.length > capacity) {
            return new RequestDecision.InvalidKey(
                    "a body has " + limits.maxOutcomeBytes() + " bytes at most, and no more than it says");
        }
        RequestRecord request = store.upload(key);
        if (request == null || (offset == 0 && request.upload.capacity() != capacity)) {
            if (offset != 0) {
                return new RequestDecision.AwaitChunk(0);
            }
            Optional<RejectionReason> rejection = beginUpload(account, key, capacity);
            if (rejection.isPresent()) {
                return rejected(rejection.get());
            }
            request = store.upload(key);
        }
        request.expiresAt = now + limits.uploadIdleTimeout();
        deadlines.add(new Deadline(request.expiresAt, request));
        return append(request.upload, offset, chunk, total, last);
    }

    /** Begins an upload; one of another length under this key is given up. */
    private Optional<RejectionReason> beginUpload(DeviceAccount account, IdempotencyKey key, int capacity) {
        RequestRecord previous = store.upload(key);
        if (previous != null) {
            store.remove(previous);
        }
        long bytes = IdempotencyLimits.RECORD_OVERHEAD_BYTES + (long) capacity;
        Optional<RejectionReason> rejection = store.admit(account, bytes);
        if (rejection.isEmpty()) {
            store.add(RequestRecord.uploading(key, capacity), bytes);
        }
        return rejection;
    }

    private static RequestDecision append(UploadBuffer upload, int offset, byte[] chunk, int total, boolean last) {
        boolean taken = upload.append(offset, chunk);
        int received = upload.received();
        boolean complete = taken && last && offset + chunk.length == received && (total < 0 || received == total);
        return complete ? new RequestDecision.UploadComplete(upload.toByteArray())
                : new RequestDecision.AwaitChunk(received);
    }

    // ---- rejections ---------------------------------------------------------------------------------------

    private RequestDecision rateLimited(DeviceAccount account) {
        long retryAfter = Math.max(account.retryAfter(limits), limits.minRetryAfter());
        return new RequestDecision.Reject(RejectionReason.RATE_LIMITED, retryAfter);
    }

    private RequestDecision rejected(RejectionReason reason) {
        return new RequestDecision.Reject(reason, retries.nextRetryAfter(now));
    }

    // ---- waiters, completion and time ---------------------------------------------------------------------

    /** One that waited has left, with or without the outcome. */
    public void waiterLeft(long at, RequestRecord request) {
        now = Math.max(now, at);
        if (--request.waiting == 0 && request.state == RequestState.RUNNING) {
            request.abandonedSince = now;
            if (request.mayRepeat) {
                deadlines.add(new Deadline(now + limits.abandonedGrace(), request));
            }
        }
    }

    /** A request has completed. Only the first outcome counts, and is returned. */
    public StoredOutcome completed(long at, RequestRecord request, StoredOutcome outcome) {
        now = Math.max(now, at);
        if (!isRunning(request)) {
            return request.outcome == null ? outcome : request.outcome;
        }
        store.complete(request, outcome, now);
        deadlines.add(new Deadline(request.expiresAt, request));
        return outcome;
    }

    /** Expires what is due. Returns the requests that are to be cancelled, as nobody waits for them. */
    public List<RequestRecord> expire(long at) {
        now = Math.max(now, at);
        var toCancel = new ArrayList<RequestRecord>();
        while (!deadlines.isEmpty() && deadlines.peek().at <= now) {
            RequestRecord request = deadlines.poll().request;
            if (!store.contains(request)) {
                continue;
            }
            if (request.state == RequestState.RUNNING) {
                if (isAbandoned(request)) {
                    request.cancelling = true;
                    toCancel.add(request);
                }
            } else if (request.expiresAt <= now) {
                store.remove(request);
            }
        }
        store.forgetIdleDevices(now);
        return toCancel;
    }

    private boolean isAbandoned(RequestRecord request) {
        return request.waiting == 0 && !request.cancelling
                && now - request.abandonedSince >= limits.abandonedGrace();
    }

    /** A request that was cancelled has ended. It is forgotten, so that it may be submitted again. */
    public void cancelled(long at, RequestRecord request) {
        now = Math.max(now, at);
        if (isRunning(request)) {
            store.remove(request);
        }
    }

    private boolean isRunning(RequestRecord request) {
        return request.state == RequestState.RUNNING && store.request(request.key) == request;
    }

    /** When {@link #expire} has something to do, or {@link Long#MAX_VALUE}. */
    public long nextDeadline() {
        return deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.peek().at;
    }

    /** How much is in use, for the log and for tests. */
    public Usage usage() {
        return store.usage();
    }
}
