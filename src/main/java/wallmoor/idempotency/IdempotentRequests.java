package wallmoor.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import wallmoor.idempotency.RequestDecision.RejectionReason;
import wallmoor.idempotency.RequestRecord.RequestState;

/**
 * The life cycle of devices' requests under idempotency keys: uploading, running, completed, removed
 * (docs/exchange.md). Not thread-safe. Callers pass the current time in microseconds, which must not go back.
 *
 * <p>A request that must not be executed again is executed at most once, however often it is submitted. Its outcome is
 * retained until the deduplication window of its key ends. The key contains its creation time (UUID version 7,
 * RFC 9562): a request with a key that is older than the window or than this process is never executed. Therefore no
 * outcome has to be retained forever.
 */
public final class IdempotentRequests {
    /** The time at which a request may expire or be abandoned, in the queue of deadlines. */
    private record Deadline(long at, RequestRecord request) {}

    /**
     * The current resource usage.
     *
     * @param open     the number of requests without an outcome, including uploads
     * @param retained the number of completed requests
     * @param bytes    the bytes reserved for all of these
     * @param devices  the number of devices with an account
     */
    public record Usage(int open, int retained, long bytes, int devices) {}

    private final IdempotencyLimits limits;
    private final long startedAt;
    private final RetryScheduler retries;
    private final RequestStore store;
    private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private long now;

    /**
     * Creates an instance without any request.
     *
     * @param startedAt the start of this process, microseconds of Unix time; it is unknown which requests were executed
     *                  before
     */
    public IdempotentRequests(IdempotencyLimits limits, long startedAt) {
        this.limits = limits;
        this.startedAt = startedAt;
        this.now = startedAt;
        retries = new RetryScheduler(limits);
        store = new RequestStore(limits);
    }

    // ---- requests -----------------------------------------------------------------------------------------

    /**
     * Handles a request that a device submits for execution.
     *
     * @param at        the current time (microseconds)
     * @param digest    the digest of the body, including the query class
     * @param mayRepeat whether the request may be executed more than once
     */
    public RequestDecision submit(long at, IdempotencyKey key, BodyDigest digest, boolean mayRepeat) {
        now = Math.max(now, at);
        DeviceAccount account = store.account(key, now);
        if (!account.tryAcquire(limits, now)) {
            return rejectRateLimited(account);
        }
        RequestRecord upload = store.upload(key);
        if (upload != null) { // the upload is complete and is replaced by the request
            store.remove(upload);
        }
        RequestRecord known = store.request(key);
        if (known != null) {
            return resubmit(known, digest);
        }
        if (!mayRepeat) {
            Optional<RequestDecision> rejection = checkAge(key.id());
            if (rejection.isPresent()) {
                return rejection.get();
            }
        }
        return execute(account, key, digest, mayRepeat);
    }

    /** Returns whether a request with this key is running, or its outcome is retained. */
    public boolean isKnown(IdempotencyKey key) {
        return store.request(key) != null;
    }

    private static RequestDecision resubmit(RequestRecord known, BodyDigest digest) {
        if (!known.digest.equals(digest)) {
            return new RequestDecision.Conflict();
        }
        if (known.state == RequestState.COMPLETED) {
            return new RequestDecision.Replay(known.outcome);
        }
        known.waiters++;
        return new RequestDecision.Attach(known);
    }

    private RequestDecision execute(DeviceAccount account, IdempotencyKey key, BodyDigest digest, boolean mayRepeat) {
        // memory for the outcome of a request that must not be executed again is reserved before it runs
        long bytes = (long) IdempotencyLimits.RECORD_OVERHEAD_BYTES + (mayRepeat ? 0 : limits.maxOutcomeBytes());
        Optional<RejectionReason> rejection = store.admit(account, bytes);
        if (rejection.isPresent()) {
            return reject(rejection.get());
        }
        RequestRecord request = RequestRecord.running(key, digest, mayRepeat);
        if (!mayRepeat) {
            request.expiresAt = KeyAge.createdAt(key.id()) + limits.deduplicationWindow() + limits.clockSkew();
        }
        store.add(request, bytes);
        return new RequestDecision.Execute(request);
    }

    /**
     * Handles a device's request for the outcome of an earlier request.
     *
     * @param at    the current time (microseconds)
     * @param await whether the device waits if there is no outcome yet
     */
    public RequestDecision outcome(long at, IdempotencyKey key, boolean await) {
        now = Math.max(now, at);
        DeviceAccount account = store.account(key, now);
        if (!account.tryAcquire(limits, now)) {
            return rejectRateLimited(account);
        }
        RequestRecord known = store.request(key);
        if (known == null) {
            RequestRecord upload = store.upload(key);
            return upload != null ? new RequestDecision.AwaitChunk(upload.upload.received()) : notFound(key);
        }
        if (known.state == RequestState.COMPLETED) {
            return new RequestDecision.Replay(known.outcome);
        }
        known.waiters += await ? 1 : 0;
        return new RequestDecision.Attach(known);
    }

    /** Returns {@code Expired} for a key whose creation time shows that its outcome is no longer retained. */
    private RequestDecision notFound(IdempotencyKey key) {
        boolean expired = KeyAge.createdAt(key.id()) != KeyAge.UNKNOWN
                && checkAge(key.id()).orElse(null) instanceof RequestDecision.Expired;
        return expired ? new RequestDecision.Expired() : new RequestDecision.Unknown();
    }

    /** Returns why a request that must not be executed again cannot run under an unknown key; empty if it can. */
    private Optional<RequestDecision> checkAge(String id) {
        long createdAt = KeyAge.createdAt(id);
        if (createdAt == KeyAge.UNKNOWN) {
            return Optional.of(new RequestDecision.InvalidKey(
                    "the id of a query that must not run twice must be a UUID of version 7 in lower case"));
        }
        if (createdAt > now + limits.clockSkew()) {
            return Optional.of(new RequestDecision.InvalidKey(
                    "the time in the id is in the future: set the clock, see the Date of this answer"));
        }
        // if the device's clock is ahead, an earlier process may have executed the request
        boolean beforeStart = createdAt < startedAt + limits.clockSkew();
        boolean expired = beforeStart || createdAt < now - limits.deduplicationWindow();
        return expired ? Optional.of(new RequestDecision.Expired()) : Optional.empty();
    }

    // ---- uploads ------------------------------------------------------------------------------------------

    /**
     * Handles a chunk of a request's body. Chunks may be repeated; bytes that were received before are skipped.
     *
     * @param at     the current time (microseconds)
     * @param offset the offset of the chunk's first byte in the body
     * @param total  the length of the complete body, or -1 if only the last chunk shows it
     * @param last   whether this is the last chunk
     */
    public RequestDecision uploadChunk(long at, IdempotencyKey key, int offset, byte[] chunk, int total, boolean last) {
        now = Math.max(now, at);
        DeviceAccount account = store.account(key, now);
        if (offset == 0 && !account.tryAcquire(limits, now)) { // a body costs one token, however many chunks it has
            return rejectRateLimited(account);
        }
        int capacity = total < 0 ? limits.maxOutcomeBytes() : total;
        if (capacity > limits.maxOutcomeBytes() || (long) offset + chunk.length > capacity) {
            return new RequestDecision.InvalidKey(
                    "a body may have at most " + limits.maxOutcomeBytes()
                            + " bytes, and no more than its announced size");
        }
        RequestRecord request = store.upload(key);
        if (request == null || (offset == 0 && request.upload.capacity() != capacity)) {
            if (offset != 0) {
                return new RequestDecision.AwaitChunk(0);
            }
            Optional<RejectionReason> rejection = beginUpload(account, key, capacity);
            if (rejection.isPresent()) {
                return reject(rejection.get());
            }
            request = store.upload(key);
        }
        request.expiresAt = now + limits.uploadIdleTimeout();
        deadlines.add(new Deadline(request.expiresAt, request));
        return append(request.upload, offset, chunk, total, last);
    }

    /** Begins an upload and discards one of another length under the same key. */
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

    private RequestDecision rejectRateLimited(DeviceAccount account) {
        long retryAfter = Math.max(account.retryAfter(limits), limits.minRetryAfter());
        return new RequestDecision.Reject(RejectionReason.RATE_LIMITED, retryAfter);
    }

    private RequestDecision reject(RejectionReason reason) {
        return new RequestDecision.Reject(reason, retries.nextRetryAfter(now));
    }

    // ---- waiters, completion and time ---------------------------------------------------------------------

    /** Records that a waiting device has left, with or without the outcome. */
    public void waiterLeft(long at, RequestRecord request) {
        now = Math.max(now, at);
        if (--request.waiters == 0 && request.state == RequestState.RUNNING) {
            request.abandonedSince = now;
            if (request.mayRepeat) {
                deadlines.add(new Deadline(now + limits.abandonedGrace(), request));
            }
        }
    }

    /** Records the outcome of a request. Only the first outcome counts, and is returned. */
    public StoredOutcome completed(long at, RequestRecord request, StoredOutcome outcome) {
        now = Math.max(now, at);
        if (!isRunning(request)) {
            return request.outcome == null ? outcome : request.outcome;
        }
        store.complete(request, outcome, now);
        deadlines.add(new Deadline(request.expiresAt, request));
        return outcome;
    }

    /** Removes what has expired; returns the abandoned requests, which the caller must cancel. */
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
        store.removeIdleDevices(now);
        return toCancel;
    }

    private boolean isAbandoned(RequestRecord request) {
        return request.waiters == 0 && !request.cancelling
                && now - request.abandonedSince >= limits.abandonedGrace();
    }

    /** Removes a request whose cancellation is complete, so that it may be submitted again. */
    public void cancelled(long at, RequestRecord request) {
        now = Math.max(now, at);
        if (isRunning(request)) {
            store.remove(request);
        }
    }

    private boolean isRunning(RequestRecord request) {
        return request.state == RequestState.RUNNING && store.request(request.key) == request;
    }

    /** Returns the time of the next call of {@link #expire}, or {@link Long#MAX_VALUE} if none is due. */
    public long nextDeadline() {
        return deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.peek().at;
    }

    /** Returns the current resource usage, for the log and for tests. */
    public Usage usage() {
        return store.usage();
    }
}
