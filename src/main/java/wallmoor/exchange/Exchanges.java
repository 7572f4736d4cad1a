package wallmoor.exchange;

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
public final class Exchanges {
    private record Due(long at, Exchange exchange) {}

    private static final int VERSION = 7;
    private static final int MICROS = 1000;

    private final Rules rules;
    private final long startedAt;
    private final Returns returns;
    private final Map<Key, Exchange> all = new HashMap<>();
    /** Bodies that are still coming, apart from queries: one may come again for a query that is known. */
    private final Map<Key, Exchange> uploads = new HashMap<>();
    private final Map<String, Device> devices = new LinkedHashMap<>();
    /** All that ended and may repeat, in the order of their ends: the first to be evicted. */
    private final Set<Exchange> evictable = new LinkedHashSet<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private int open;
    private long bytes;
    private long now;

    /** None yet. Nothing is known of what ran before {@code startedAt}, microseconds of Unix time. */
    public Exchanges(Rules rules, long startedAt) {
        this.rules = rules;
        this.startedAt = startedAt;
        this.now = startedAt;
        returns = new Returns(rules);
    }

    // ---- asking -------------------------------------------------------------------------------------------

    /**
     * A device asks for a query to be run.
     *
     * @param digest three words of a cryptographic hash of the query as asked, the class in it
     */
    public Decision ask(long at, Key key, long[] digest, boolean mayRepeat) {
        now = Math.max(now, at);
        Device device = device(key);
        if (!device.mayAsk(rules, now)) {
            return heldOff(device);
        }
        Exchange upload = uploads.get(key);
        if (upload != null) { // this is it, whole
            drop(upload);
        }
        Exchange known = all.get(key);
        if (known != null) {
            if (known.digest != digest[0] || known.digest2 != digest[1] || known.digest3 != digest[2]) {
                return new Decision.Conflict();
            }
            if (known.state == Exchange.State.ENDED) {
                return new Decision.Replay(known.outcome);
            }
            known.waiting++;
            return new Decision.Attach(known);
        }
        if (!mayRepeat) {
            Decision no = age(key.id());
            if (no != null) {
                return no;
            }
        }
        // of one that may not repeat the outcome must have its place before anything runs
        long wanted = Rules.OVERHEAD + (mayRepeat ? 0 : rules.mostOutcome());
        Decision no = room(device, wanted);
        if (no != null) {
            return no;
        }
        var exchange = new Exchange(key);
        exchange.state = Exchange.State.OUT;
        exchange.digest = digest[0];
        exchange.digest2 = digest[1];
        exchange.digest3 = digest[2];
        exchange.mayRepeat = mayRepeat;
        exchange.waiting = 1;
        exchange.until = mayRepeat ? 0 : madeAt(key.id()) + rules.window() + rules.skew();
        enter(exchange, device, wanted);
        return new Decision.Run(exchange);
    }

    /** A device asks for what has become of a query. {@code await}: its asker waits if there is no outcome yet. */
    public Decision outcome(long at, Key key, boolean await) {
        now = Math.max(now, at);
        Device device = device(key);
        if (!device.mayAsk(rules, now)) {
            return heldOff(device);
        }
        Exchange known = all.get(key);
        Exchange upload = uploads.get(key);
        if (known == null && upload != null) {
            return new Decision.More(upload.uploaded);
        }
        if (known == null) {
            // of an id that tells its age it can be said whether it would still be remembered
            return madeAt(key.id()) >= 0 && age(key.id()) instanceof Decision.Forgotten f ? f : new Decision.Unknown();
        }
        if (known.state == Exchange.State.ENDED) {
            return new Decision.Replay(known.outcome);
        }
        known.waiting += await ? 1 : 0;
        return new Decision.Attach(known);
    }

    /**
     * A piece of a query's body. What was taken before is passed over, so that a piece may come twice, from wherever.
     *
     * @param from  the offset of its first byte
     * @param total the length of the whole body, or -1 where only the last piece shows it
     * @param last  whether it is the last piece
     */
    public Decision piece(long at, Key key, int from, byte[] piece, int total, boolean last) {
        now = Math.max(now, at);
        Device device = device(key);
        if (from == 0 && !device.mayAsk(rules, now)) { // a body counts once, however many pieces it is in
            return heldOff(device);
        }
        int most = total < 0 ? rules.mostOutcome() : total;
        if (most > rules.mostOutcome() || (long) from + piece.length > most) {
            return new Decision.BadId("a body has " + rules.mostOutcome() + " bytes at most, and no more than it says");
        }
        Exchange known = uploads.get(key);
        if (known == null || from == 0 && known.upload.length != most) {
            if (from != 0) {
                return new Decision.More(0);
            }
            if (known != null) {
                drop(known);
            }
            long wanted = Rules.OVERHEAD + (long) most;
            Decision no = room(device, wanted);
            if (no != null) {
                return no;
            }
            known = new Exchange(key);
            known.state = Exchange.State.UPLOADING;
            known.upload = new byte[most];
            enter(known, device, wanted);
        }
        known.until = now + rules.uploadIdle();
        due.add(new Due(known.until, known));
        int fresh = from + piece.length - known.uploaded;
        if (from > known.uploaded || from + piece.length > known.upload.length) {
            return new Decision.More(known.uploaded);
        }
        int before = Math.min(piece.length, known.uploaded - from);
        if (!java.util.Arrays.equals(piece, 0, before, known.upload, from, from + before)) {
            known.uploaded = 0; // another body under this id: it must not be mixed with what came of the first
            if (from != 0) {
                return new Decision.More(0);
            }
            fresh = piece.length;
        }
        if (fresh > 0) {
            System.arraycopy(piece, piece.length - fresh, known.upload, known.uploaded, fresh);
            known.uploaded += fresh;
        }
        boolean whole = last && from + piece.length == known.uploaded && (total < 0 || known.uploaded == total);
        return whole ? new Decision.Uploaded(java.util.Arrays.copyOf(known.upload, known.uploaded))
                : new Decision.More(known.uploaded);
    }

    private Decision heldOff(Device device) {
        return new Decision.Refuse(Decision.Why.HELD_OFF, Math.max(device.wait(rules), rules.returnFirst()));
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
    private Decision age(String id) {
        long made = madeAt(id);
        if (made < 0) {
            return new Decision.BadId(
                    "the id of a query that may not repeat must be a UUID of version 7 in lower case");
        }
        if (made > now + rules.skew()) {
            return new Decision.BadId("the id was made in the future: see the Date of this answer");
        }
        // a clock that is ahead may have made it before the start: it may have run in a life that nothing is known of
        return made < startedAt + rules.skew() || made < now - rules.window() ? new Decision.Forgotten() : null;
    }

    // ---- room ---------------------------------------------------------------------------------------------

    /** Why there is no room for one more, or null once there is: what may repeat is evicted for it, oldest first. */
    private Decision room(Device device, long wanted) {
        if (device.open >= rules.openEach()) {
            return new Decision.Refuse(Decision.Why.DEVICE_FULL, returns.after(now));
        }
        if (open >= rules.open()) {
            return new Decision.Refuse(Decision.Why.FULL, returns.after(now));
        }
        while (device.bytes + wanted > rules.bytesEach() || device.retained() + device.open >= rules.retainedEach()) {
            if (device.repeatable.isEmpty()) {
                return new Decision.Refuse(Decision.Why.DEVICE_FULL, returns.after(now));
            }
            drop(device.repeatable.iterator().next());
        }
        while (bytes + wanted > rules.retainedBytes()) {
            if (evictable.isEmpty()) {
                return new Decision.Refuse(Decision.Why.FULL, returns.after(now));
            }
            drop(evictable.iterator().next());
        }
        return null;
    }

    private void enter(Exchange exchange, Device device, long wanted) {
        (exchange.state == Exchange.State.UPLOADING ? uploads : all).put(exchange.key, exchange);
        device.open++;
        open++;
        reserve(exchange, device, wanted);
    }

    private void reserve(Exchange exchange, Device device, long wanted) {
        device.bytes += wanted - exchange.reserved;
        bytes += wanted - exchange.reserved;
        exchange.reserved = wanted;
    }

    private void drop(Exchange exchange) {
        Device device = devices.get(exchange.key.device());
        (exchange.state == Exchange.State.UPLOADING ? uploads : all).remove(exchange.key);
        reserve(exchange, device, 0);
        if (exchange.state == Exchange.State.ENDED) {
            device.repeatable.remove(exchange);
            device.once.remove(exchange);
            evictable.remove(exchange);
        } else {
            device.open--;
            open--;
        }
    }

    private Device device(Key key) {
        Device device = devices.get(key.device());
        if (device == null) {
            device = new Device(rules, now);
            devices.put(key.device(), device);
        }
        return device;
    }

    // ---- links, ends and time -----------------------------------------------------------------------------

    /** One that waited has left, with or without the outcome. */
    public void left(long at, Exchange exchange) {
        now = Math.max(now, at);
        if (--exchange.waiting == 0 && exchange.state == Exchange.State.OUT) {
            exchange.unheardSince = now;
            if (exchange.mayRepeat) {
                due.add(new Due(now + rules.grace(), exchange));
            }
        }
    }

    /** A query has ended. Its outcome is kept as the rules say; only the first counts, and is returned. */
    public Outcome ended(long at, Exchange exchange, Outcome outcome) {
        now = Math.max(now, at);
        if (exchange.state != Exchange.State.OUT || all.get(exchange.key) != exchange) {
            return exchange.outcome == null ? outcome : exchange.outcome;
        }
        Device device = devices.get(exchange.key.device());
        exchange.state = Exchange.State.ENDED;
        exchange.outcome = outcome;
        device.open--;
        open--;
        reserve(exchange, device, Rules.OVERHEAD + (long) outcome.bytes().length);
        if (exchange.mayRepeat) {
            exchange.until = now + rules.retain();
            device.repeatable.add(exchange);
            evictable.add(exchange);
            boolean kept = true;
            while (kept && (bytes > rules.retainedBytes() || device.bytes > rules.bytesEach())) {
                Exchange first = (device.bytes > rules.bytesEach() ? device.repeatable : evictable).iterator().next();
                drop(first); // its own, if need be: who waits for it now still gets it
                kept = first != exchange;
            }
        } else {
            device.once.add(exchange);
        }
        due.add(new Due(exchange.until, exchange));
        return outcome;
    }

    /** What time alone brings about: returns the queries that are to be cancelled, as nobody waits for them. */
    public List<Exchange> tick(long at) {
        now = Math.max(now, at);
        var cancel = new ArrayList<Exchange>();
        while (!due.isEmpty() && due.peek().at <= now) {
            Exchange e = due.poll().exchange;
            if (all.get(e.key) != e && uploads.get(e.key) != e) {
                continue;
            }
            switch (e.state) {
                case OUT -> {
                    if (e.waiting == 0 && !e.cancelling && now - e.unheardSince >= rules.grace()) {
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
    public void cancelled(long at, Exchange exchange) {
        now = Math.max(now, at);
        if (exchange.state == Exchange.State.OUT && all.get(exchange.key) == exchange) {
            drop(exchange);
        }
    }

    /** When {@link #tick} has something to do, or {@link Long#MAX_VALUE}. */
    public long due() {
        return due.isEmpty() ? Long.MAX_VALUE : due.peek().at;
    }

    /** How much is held, for the log and for tests. */
    public Held held() {
        return new Held(open, all.size() + uploads.size() - open, bytes, devices.size());
    }

    /** Counts. */
    public record Held(int open, int retained, long bytes, int devices) {}
}
