package wallmoor.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.UUID;

/**
 * The life of devices' queries: asked, out, ended, retained, forgotten (docs/exchange.md). It decides only; callers
 * give the time in microseconds, never going back, and one caller at a time uses it.
 *
 * <p>What may not repeat is run once, however often it is asked. Its outcome is kept until its id's window is over, and
 * the id tells its age by itself (UUID version 7, RFC 9562): one that is older than what is remembered, also because
 * the program was started since, is never run. So nothing has to be remembered for ever.
 */
public final class IdempotentRequests {
    private record Deadline(long at, RequestRecord exchange) {}

    private static final int VERSION = 7;
    private static final int MICROS = 1000;

    private final IdempotencyLimits rules;
    private final long startedAt;
    private final RetryScheduler returns;
    private final Map<IdempotencyKey, RequestRecord> all = new HashMap<>();
    /** Bodies that are still coming, apart from queries: one may come again for a query that is known. */
    private final Map<IdempotencyKey, RequestRecord> uploads = new HashMap<>();
    private final Map<String, DeviceQuota> devices = new LinkedHashMap<>();
    /** All that ended and may repeat, in the order of their ends: the first to be evicted. */
    private final Set<RequestRecord> evictable = new LinkedHashSet<>();
    private final PriorityQueue<Deadline> nextDeadline = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private int open;
    private long bytes;
    private long now;

    /** None yet. Nothing is known of what ran before {@code startedAt}, microseconds of Unix time. */
    public IdempotentRequests(IdempotencyLimits rules, long startedAt) {
        this.rules = rules;
        this.startedAt = startedAt;
        this.now = startedAt;
        returns = new RetryScheduler(rules);
    }

    // ---- asking -------------------------------------------------------------------------------------------

    /**
     * A device asks for a query to be run.
     *
     * @param digest three words of a cryptographic hash of the query as asked, the class in it
     */
    public RequestDecision submit(long at, IdempotencyKey key, long[] digest, boolean mayRepeat) {
        now = Math.max(now, at);
        DeviceQuota device = device(key);
        if (!device.tryAcquire(rules, now)) {
            return heldOff(device);
        }
        RequestRecord upload = uploads.get(key);
        if (upload != null) { // this is it, whole
            drop(upload);
        }
        RequestRecord known = all.get(key);
        if (known != null) {
            if (known.digest != digest[0] || known.digest2 != digest[1] || known.digest3 != digest[2]) {
                return new RequestDecision.Conflict();
            }
            if (known.state == RequestRecord.RequestState.ENDED) {
                return new RequestDecision.Replay(known.outcome);
            }
            known.waiting++;
            return new RequestDecision.Attach(known);
        }
        if (!mayRepeat) {
            RequestDecision no = age(key.id());
            if (no != null) {
                return no;
            }
        }
        // of one that may not repeat the outcome must have its place before anything runs
        long wanted = (long) IdempotencyLimits.RECORD_OVERHEAD_BYTES + (mayRepeat ? 0 : rules.maxOutcomeBytes());
        RequestDecision no = room(device, wanted);
        if (no != null) {
            return no;
        }
        var exchange = new RequestRecord(key);
        exchange.state = RequestRecord.RequestState.OUT;
        exchange.digest = digest[0];
        exchange.digest2 = digest[1];
        exchange.digest3 = digest[2];
        exchange.mayRepeat = mayRepeat;
        exchange.waiting = 1;
        exchange.until = mayRepeat ? 0 : madeAt(key.id()) + rules.deduplicationWindow() + rules.clockSkew();
        enter(exchange, device, wanted);
        return new RequestDecision.Run(exchange);
    }

    /** A device asks for what has become of a query. {@code await}: its asker waits if there is no outcome yet. */
    public RequestDecision outcome(long at, IdempotencyKey key, boolean await) {
        now = Math.max(now, at);
        DeviceQuota device = device(key);
        if (!device.tryAcquire(rules, now)) {
            return heldOff(device);
        }
        RequestRecord known = all.get(key);
        RequestRecord upload = uploads.get(key);
        if (known == null && upload != null) {
            return new RequestDecision.More(upload.uploaded);
        }
        if (known == null) {
            // of an id that tells its age it can be said whether it would still be remembered
            return madeAt(key.id()) >= 0 && age(key.id()) instanceof RequestDecision.Forgotten f ? f
                    : new RequestDecision.Unknown();
        }
        if (known.state == RequestRecord.RequestState.ENDED) {
            return new RequestDecision.Replay(known.outcome);
        }
        known.waiting += await ? 1 : 0;
        return new RequestDecision.Attach(known);
    }

    /**
     * A piece of a query's body. What was taken before is passed over, so that a piece may come twice, from wherever.
     *
     * @param from  the offset of its first byte
     * @param total the length of the whole body, or -1 where only the last piece shows it
     * @param last  whether it is the last piece
     */
    public RequestDecision uploadChunk(long at, IdempotencyKey key, int from, byte[] piece, int total, boolean last) {
        now = Math.max(now, at);
        DeviceQuota device = device(key);
        if (from == 0 && !device.tryAcquire(rules, now)) { // a body counts once, however many pieces it is in
            return heldOff(device);
        }
        int most = total < 0 ? rules.maxOutcomeBytes() : total;
        if (most > rules.maxOutcomeBytes() || (long) from + piece.length > most) {
            return new RequestDecision.BadId(
                    "a body has " + rules.maxOutcomeBytes() + " bytes at most, and no more than it says");
        }
        RequestRecord known = uploads.get(key);
        if (known == null || (from == 0 && known.upload.length != most)) {
            if (from != 0) {
                return new RequestDecision.More(0);
            }
            if (known != null) {
                drop(known);
            }
            long wanted = IdempotencyLimits.RECORD_OVERHEAD_BYTES + (long) most;
            RequestDecision no = room(device, wanted);
            if (no != null) {
                return no;
            }
            known = new RequestRecord(key);
            known.state = RequestRecord.RequestState.UPLOADING;
            known.upload = new byte[most];
            enter(known, device, wanted);
        }
        known.until = now + rules.uploadIdleTimeout();
        nextDeadline.add(new Deadline(known.until, known));
        int fresh = from + piece.length - known.uploaded;
        if (from > known.uploaded || from + piece.length > known.upload.length) {
            return new RequestDecision.More(known.uploaded);
        }
        int before = Math.min(piece.length, known.uploaded - from);
        if (!java.util.Arrays.equals(piece, 0, before, known.upload, from, from + before)) {
            known.uploaded = 0; // another body under this id: it must not be mixed with what came of the first
            if (from != 0) {
                return new RequestDecision.More(0);
            }
            fresh = piece.length;
        }
        if (fresh > 0) {
            System.arraycopy(piece, piece.length - fresh, known.upload, known.uploaded, fresh);
            known.uploaded += fresh;
        }
        boolean whole = last && from + piece.length == known.uploaded && (total < 0 || known.uploaded == total);
        return whole ? new RequestDecision.Uploaded(java.util.Arrays.copyOf(known.upload, known.uploaded))
                : new RequestDecision.More(known.uploaded);
    }

    private RequestDecision heldOff(DeviceQuota device) {
        return new RequestDecision.Refuse(RequestDecision.RejectionReason.HELD_OFF,
                Math.max(device.retryAfter(rules), rules.minRetryAfter()));
    }

    /** Microseconds of Unix time at which an id says it was made, or -1 if it does not say. */
    static long madeAt(String id) {
        if (id.length() != 36) {
            return -1;
        }
        try {
            UUID uuid = UUID.fromString(id);
            return uuid.version() == VERSION && uuid.toString().equals(id)
                    ? (uuid.getMostSignificantBits() >>> 16) * MICROS : -1;
        } catch (IllegalArgumentException e) {
            return -1;
        }
    }

    /** Why a query that may not repeat can't be run under an id that is not known, or null. */
    private RequestDecision age(String id) {
        long made = madeAt(id);
        if (made < 0) {
            return new RequestDecision.BadId(
                    "the id of a query that may not repeat must be a UUID of version 7 in lower case");
        }
        if (made > now + rules.clockSkew()) {
            return new RequestDecision.BadId("the id was made in the future: see the Date of this answer");
        }
        // a clock that is ahead may have made it before the start: it may have run in a life that nothing is known of
        return made < startedAt + rules.clockSkew() || made < now - rules.deduplicationWindow()
                ? new RequestDecision.Forgotten() : null;
    }

    // ---- room ---------------------------------------------------------------------------------------------

    /** Why there is no room for one more, or null once there is: what may repeat is evicted for it, oldest first. */
    private RequestDecision room(DeviceQuota device, long wanted) {
        if (device.open >= rules.maxOpenPerDevice()) {
            return new RequestDecision.Refuse(RequestDecision.RejectionReason.DEVICE_FULL, returns.after(now));
        }
        if (open >= rules.maxOpen()) {
            return new RequestDecision.Refuse(RequestDecision.RejectionReason.FULL, returns.after(now));
        }
        while (device.bytes + wanted > rules.maxBytesPerDevice()
                || device.retained() + device.open >= rules.maxRetainedPerDevice()) {
            if (device.repeatable.isEmpty()) {
                return new RequestDecision.Refuse(RequestDecision.RejectionReason.DEVICE_FULL, returns.after(now));
            }
            drop(device.repeatable.iterator().next());
        }
        while (bytes + wanted > rules.maxRetainedBytes()) {
            if (evictable.isEmpty()) {
                return new RequestDecision.Refuse(RequestDecision.RejectionReason.FULL, returns.after(now));
            }
            drop(evictable.iterator().next());
        }
        return null;
    }

    private void enter(RequestRecord exchange, DeviceQuota device, long wanted) {
        (exchange.state == RequestRecord.RequestState.UPLOADING ? uploads : all).put(exchange.key, exchange);
        device.open++;
        open++;
        reserve(exchange, device, wanted);
    }

    private void reserve(RequestRecord exchange, DeviceQuota device, long wanted) {
        device.bytes += wanted - exchange.reserved;
        bytes += wanted - exchange.reserved;
        exchange.reserved = wanted;
    }

    private void drop(RequestRecord exchange) {
        DeviceQuota device = devices.get(exchange.key.device());
        (exchange.state == RequestRecord.RequestState.UPLOADING ? uploads : all).remove(exchange.key);
        reserve(exchange, device, 0);
        if (exchange.state == RequestRecord.RequestState.ENDED) {
            device.repeatable.remove(exchange);
            device.once.remove(exchange);
            evictable.remove(exchange);
        } else {
            device.open--;
            open--;
        }
    }

    private DeviceQuota device(IdempotencyKey key) {
        DeviceQuota device = devices.get(key.device());
        if (device == null) {
            device = new DeviceQuota(rules, now);
            devices.put(key.device(), device);
        }
        return device;
    }

    // ---- links, ends and time -----------------------------------------------------------------------------

    /** One that waited has left, with or without the outcome. */
    public void waiterLeft(long at, RequestRecord exchange) {
        now = Math.max(now, at);
        if (--exchange.waiting == 0 && exchange.state == RequestRecord.RequestState.OUT) {
            exchange.unheardSince = now;
            if (exchange.mayRepeat) {
                nextDeadline.add(new Deadline(now + rules.abandonedGrace(), exchange));
            }
        }
    }

    /** A query has ended. Its outcome is kept as the rules say; only the first counts, and is returned. */
    public StoredOutcome completed(long at, RequestRecord exchange, StoredOutcome outcome) {
        now = Math.max(now, at);
        if (exchange.state != RequestRecord.RequestState.OUT || all.get(exchange.key) != exchange) {
            return exchange.outcome == null ? outcome : exchange.outcome;
        }
        DeviceQuota device = devices.get(exchange.key.device());
        exchange.state = RequestRecord.RequestState.ENDED;
        exchange.outcome = outcome;
        device.open--;
        open--;
        reserve(exchange, device, IdempotencyLimits.RECORD_OVERHEAD_BYTES + (long) outcome.bytes().length);
        if (exchange.mayRepeat) {
            exchange.until = now + rules.retention();
            device.repeatable.add(exchange);
            evictable.add(exchange);
            boolean kept = true;
            while (kept && (bytes > rules.maxRetainedBytes() || device.bytes > rules.maxBytesPerDevice())) {
                RequestRecord first = (device.bytes > rules.maxBytesPerDevice() ? device.repeatable : evictable)
                        .iterator().next();
                drop(first); // its own, if need be: who waits for it now still gets it
                kept = first != exchange;
            }
        } else {
            device.once.add(exchange);
        }
        nextDeadline.add(new Deadline(exchange.until, exchange));
        return outcome;
    }

    /** What time alone brings about: returns the queries that are to be cancelled, as nobody waits for them. */
    public List<RequestRecord> expire(long at) {
        now = Math.max(now, at);
        var cancel = new ArrayList<RequestRecord>();
        while (!nextDeadline.isEmpty() && nextDeadline.peek().at <= now) {
            RequestRecord e = nextDeadline.poll().exchange;
            if (all.get(e.key) != e && uploads.get(e.key) != e) {
                continue;
            }
            switch (e.state) {
                case OUT -> {
                    if (e.waiting == 0 && !e.cancelling && now - e.unheardSince >= rules.abandonedGrace()) {
                        e.cancelling = true;
                        cancel.add(e);
                    }
                }
                case UPLOADING, ENDED -> {
                    if (e.until <= now) {
                        drop(e);
                    }
                }
                default -> throw new IllegalStateException();
            }
        }
        devices.values().removeIf(d -> d.idle(rules, now));
        return cancel;
    }

    /**
     * A cancelled query has come to its end. It is forgotten, as it may be asked again; whoever came meanwhile is told.
     */
    public void cancelled(long at, RequestRecord exchange) {
        now = Math.max(now, at);
        if (exchange.state == RequestRecord.RequestState.OUT && all.get(exchange.key) == exchange) {
            drop(exchange);
        }
    }

    /** When {@link #expire} has something to do, or {@link Long#MAX_VALUE}. */
    public long nextDeadline() {
        return nextDeadline.isEmpty() ? Long.MAX_VALUE : nextDeadline.peek().at;
    }

    /** How much is held, for the log and for tests. */
    public Usage usage() {
        return new Usage(open, all.size() + uploads.size() - open, bytes, devices.size());
    }

    /** Counts. */
    public record Usage(int open, int retained, long bytes, int devices) {}
}
