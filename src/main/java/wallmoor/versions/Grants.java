package wallmoor.versions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import wallmoor.versions.Message.Ask;
import wallmoor.versions.Message.Denied;
import wallmoor.versions.Message.Grant;
import wallmoor.versions.Message.Known;
import wallmoor.versions.Message.News;

/**
 * A voter's side: while it leads it gives leases, knows who may act on what until when, and says when the next version
 * may act. Times are microseconds on this process' own monotonic clock. Single-threaded.
 *
 * <p>Of the log it needs, beside the order, a barrier: when one comes back that was begun at a time, all entries that
 * were committed anywhere before that time have been applied here. A voter that leads no more gets none back, so it
 * need not know that, and no voter's clock is compared with another's.
 */
public final class Grants {
    /** What it does. */
    public interface Actions {
        /** Sends a message to a gatherer; it may be lost. */
        void send(String holder, Message message);

        /** Appends an entry to the log; it may be lost, and will be appended again if it is still wanted. */
        void append(Entry entry);

        /** Begins a barrier; at most one is out. {@link #onBarrier} or {@link #onNoBarrier} must follow. */
        void barrier(long token);
    }

    /** Gatherers that leases are given to, and processes of them: more are denied. */
    private static final int MOST = 10_000;
    /** What was appended and has not come is appended again after a part of a term. */
    private static final int AGAIN = 5;

    private record Process(String holder, long life) {}

    private record Since(long number, long at) {}

    /** One gatherer's process. */
    private static final class Lease {
        final Map<String, Long> known = new HashMap<>();
        long until = Long.MIN_VALUE;
        long seq;
        long askedAt;
    }

    private final String self;
    private final long life;
    private final Terms terms;
    private final Ledger ledger;
    private final Actions actions;
    private final Map<Process, Lease> leases = new LinkedHashMap<>();
    /** Asks that came before the barrier that is out was begun, and those that came after: the last of each process. */
    private Map<Process, Ask> before = new LinkedHashMap<>();
    private Map<Process, Ask> after = new LinkedHashMap<>();
    private final Map<String, Since> pendingSince = new HashMap<>();
    private final Map<String, Long> appendedAt = new HashMap<>();
    /** Voters that were silent when a version was last closed without them. */
    private Set<String> away = Set.of();
    private long token;
    private boolean out;
    private long begunAt;
    private boolean elected;
    private boolean leads;
    private long ledAt;

    /**
     * One that does not lead yet: it does once its own {@link Entry.Lead} comes out of the log.
     *
     * @param life of this process: never the same for two of one voter
     */
    public Grants(String self, long life, Terms terms, Ledger ledger, Actions actions) {
        this.self = self;
        this.life = life;
        this.terms = terms;
        this.ledger = ledger;
        this.actions = actions;
    }

    /** The log has made this voter its leader, or no longer: it says so in the log until that has come out of it. */
    public void onElected(long now, boolean is) {
        elected = is;
        settle(now);
    }

    /** The ledger has taken an entry. */
    public void onApplied(long now, List<Effect> effects) {
        for (Effect e : effects) {
            if (e instanceof Effect.Led) {
                led(now, ledger.leads(self, life));
            } else if (e instanceof Effect.Pending p) {
                waits(now, p.document());
            } else if (e instanceof Effect.Accepted a) {
                tell(now, ledger.chain(a.document().name()));
            } else if (e instanceof Effect.Acts a) {
                tell(now, ledger.chain(a.name()).bare());
            }
        }
        settle(now);
    }

    private void led(long now, boolean own) {
        leads = own;
        ledAt = now;
        leases.clear(); // given as an older leader: they are waited out like any other's
        before.clear();
        after.clear();
        appendedAt.clear();
        pendingSince.clear();
        away = Set.of();
        ledger.names().stream().map(ledger::pending).filter(Objects::nonNull).forEach(d -> waits(now, d));
    }

    private void waits(long now, Document pending) {
        Since before = pendingSince.get(pending.name());
        if (before == null || before.number() != pending.number()) { // it may be told twice
            pendingSince.put(pending.name(), new Since(pending.number(), now));
        }
    }

    private void tell(long now, Chain chain) {
        if (leads) {
            leases.forEach((p, lease) -> {
                if (lease.until > now) {
                    actions.send(p.holder(), new News(List.of(chain)));
                }
            });
        }
    }

    /** A gatherer asks. Its word counts at once; the lease waits for a barrier. */
    public void onAsk(long now, Ask ask) {
        if (!leads) {
            return;
        }
        var process = new Process(ask.holder(), ask.life());
        Lease lease = leases.get(process);
        if (lease == null && leases.size() >= MOST) {
            tidy(now);
            if (leases.size() >= MOST) {
                deny(ask, "leases are out to " + MOST + " gatherers");
                return;
            }
        }
        if (lease == null) {
            lease = new Lease();
            leases.put(process, lease);
        }
        lease.askedAt = now;
        if (ask.seq() <= lease.seq) {
            return; // overtaken: a later one says more
        }
        lease.seq = ask.seq();
        Map<String, Long> its = lease.known;
        ask.known().forEach((n, k) -> its.merge(n, k.number(), Math::max));
        after.put(process, ask);
        settle(now);
        begin(now);
    }

    /** A barrier has come back. */
    public void onBarrier(long now, long of) {
        if (!out || of != token) {
            return;
        }
        out = false;
        if (leads) {
            before.forEach((process, ask) -> answer(process, ask));
        }
        before.clear();
        begin(now);
    }

    /** A barrier has failed: those who asked will ask again. */
    public void onNoBarrier(long now, long of) {
        if (out && of == token) {
            out = false;
            before.clear();
            begin(now);
        }
    }

    /** Time goes on: several times a second. */
    public void onTick(long now) {
        settle(now);
        tidy(now);
    }

    private void tidy(long now) {
        leases.values().removeIf(l -> l.until <= now && now - l.askedAt > terms.term());
    }

    /** Until when leases are out that this voter knows of or must reckon with, by its own clock. */
    public long outUntil() {
        return leases.values().stream().mapToLong(l -> l.until).reduce(ledAt + terms.over(), Math::max);
    }

    private void begin(long now) {
        if (leads && !out && !after.isEmpty()) {
            before.putAll(after);
            after = new LinkedHashMap<>();
            out = true;
            begunAt = now;
            actions.barrier(++token);
        }
    }

    /**
     * Gives a lease. It counts from when it was asked for, which is before the barrier was begun; so it is over here, a
     * term of true time after that, counted by this clock at its fastest.
     */
    private void answer(Process process, Ask ask) {
        var chains = new ArrayList<Chain>();
        for (String n : ask.known().keySet()) {
            if (ledger.head(n) == null) {
                denyLost(ask, n, 0);
                return;
            }
        }
        for (String n : ledger.names()) {
            Document head = ledger.head(n);
            if (head == null) {
                continue;
            }
            Known known = ask.known().getOrDefault(n, new Known(0, ""));
            boolean same = known.number() == head.number();
            if (known.number() > head.number() || same && !known.hash().equals(head.hash())) {
                denyLost(ask, n, head.number());
                return;
            }
            chains.add(same ? ledger.chain(n).bare() : ledger.chain(n));
        }
        Lease lease = leases.computeIfAbsent(process, p -> new Lease());
        lease.until = Math.max(lease.until, begunAt + terms.over());
        actions.send(process.holder(), new Grant(ask.holder(), ask.life(), ask.seq(), chains));
    }

    /** It knows what never was in this log: no gatherer may act on numbers that begin anew. */
    private void denyLost(Ask ask, String name, long head) {
        deny(ask, "it knows " + name + " " + ask.known().get(name).number() + ", the voters have " + head
                + " and not that one: they have lost what they kept; put their files back");
    }

    private void deny(Ask ask, String why) {
        actions.send(ask.holder(), new Denied(ask.holder(), ask.life(), ask.seq(), why));
    }

    /** Lets act what may, and closes what has waited for verdicts for a term. */
    private void settle(long now) {
        if (!leads) {
            if (elected) {
                again(now, new Entry.Lead(self, life));
            }
            return;
        }
        for (String n : ledger.names()) {
            Document pending = ledger.pending(n);
            if (pending != null && waited(n, now - pendingSince.get(n).at())) {
                again(now, new Entry.Close(ledger.epoch(), n, pending.number()));
            }
            Document head = ledger.head(n);
            if (head != null && head.number() > ledger.acting(n) && now >= ledAt + terms.over()
                    && all(now, n, head.number())) {
                again(now, new Entry.Act(ledger.epoch(), n, head.number()));
            }
        }
    }

    /**
     * Whether verdicts have been waited for long enough: for a term; or a part of it where all that are silent were so
     * the last time, and are fewer than half. Else each change would wait a term while one voter is away.
     */
    private boolean waited(String name, long waited) {
        Set<String> silent = ledger.silent(name);
        boolean enough = waited >= terms.term() || waited >= terms.term() / AGAIN && away.containsAll(silent)
                && 2 * silent.size() < ledger.voters().size();
        if (enough) {
            away = silent;
        }
        return enough;
    }

    /** Whether nobody may act without knowing this version. */
    private boolean all(long now, String name, long number) {
        for (Lease l : leases.values()) {
            if (l.until > now && l.known.getOrDefault(name, 0L) < number) {
                return false;
            }
        }
        return true;
    }

    private void again(long now, Entry entry) {
        String key = entry.toString();
        Long at = appendedAt.get(key);
        if (at == null || now - at >= terms.term() / AGAIN) {
            appendedAt.keySet().removeIf(k -> now - appendedAt.get(k) > terms.term());
            appendedAt.put(key, now);
            actions.append(entry);
        }
    }
}
