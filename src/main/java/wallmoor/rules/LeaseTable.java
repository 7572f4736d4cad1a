package wallmoor.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import wallmoor.rules.LeaseMessage.KnownVersion;
import wallmoor.rules.LeaseMessage.LeaseDenial;
import wallmoor.rules.LeaseMessage.LeaseGrant;
import wallmoor.rules.LeaseMessage.LeaseRequest;
import wallmoor.rules.LeaseMessage.VersionUpdate;

/**
 * A voter's side: while it leads it gives leases, knows who may act on what until when, and says when the next version
 * may act. Times are microseconds on this process' own monotonic clock. Single-threaded.
 *
 * <p>Of the log it needs, beside the order, a barrier: when one comes back that was begun at a time, all entries that
 * were committed anywhere before that time have been applied here. A voter that leads no more gets none back, so it
 * need not know that, and no voter's clock is compared with another's.
 */
public final class LeaseTable {
    /** What it does. */
    public interface Actions {
        /** Sends a message to a gatherer; it may be lost. */
        void send(String holder, LeaseMessage message);

        /** Appends an entry to the log; it may be lost, and will be appended again if it is still wanted. */
        void append(LogEntry entry);

        /** Begins a barrier; at most one is out. {@link #onBarrier} or {@link #onBarrierFailed} must follow. */
        void startBarrier(long token);
    }

    /** Gatherers that leases are given to, and processes of them: more are denied. */
    private static final int MAX_HOLDERS = 10_000;
    /** What was appended and has not come is appended again after a part of a term. */
    private static final int RETRIES_PER_TERM = 5;

    private record HolderProcess(String holder, long incarnation) {}

    private record PendingSince(long version, long at) {}

    /** One gatherer's process. */
    private static final class LeaseRecord {
        final Map<String, Long> knownVersions = new HashMap<>();
        long expiry = Long.MIN_VALUE;
        long sequence;
        long requestedAt;
    }

    private final String self;
    private final long incarnation;
    private final LeaseTiming timing;
    private final RuleStateMachine stateMachine;
    private final Actions actions;
    private final Map<HolderProcess, LeaseRecord> leases = new LinkedHashMap<>();
    /** Asks that came before the barrier that is out was begun, and those that came after: the last of each process. */
    private Map<HolderProcess, LeaseRequest> waitingForBarrier = new LinkedHashMap<>();
    private Map<HolderProcess, LeaseRequest> waitingForNextBarrier = new LinkedHashMap<>();
    private final Map<String, PendingSince> pendingSince = new HashMap<>();
    private final Map<String, Long> appendedAt = new HashMap<>();
    /** Voters that were silent when a version was last closed without them. */
    private Set<String> absentVoters = Set.of();
    private long barrierToken;
    private boolean barrierRunning;
    private long barrierStartedAt;
    private boolean elected;
    private boolean isLeader;
    private long leaderSince;

    /**
     * One that does not lead yet: it does once its own {@link LogEntry.LeaderElected} comes out of the log.
     *
     * @param life of this process: never the same for two of one voter
     */
    public LeaseTable(String self, long life, LeaseTiming terms, RuleStateMachine ledger, Actions actions) {
        this.self = self;
        this.incarnation = life;
        this.timing = terms;
        this.stateMachine = ledger;
        this.actions = actions;
    }

    /** The log has made this voter its leader, or no longer: it says so in the log until that has come out of it. */
    public void onElectionChanged(long now, boolean is) {
        elected = is;
        appendDueEntries(now);
    }

    /** The ledger has taken an entry. */
    public void onApplied(long now, List<RuleEvent> effects) {
        for (RuleEvent e : effects) {
            if (e instanceof RuleEvent.LeaderChanged) {
                onLeaderChanged(now, stateMachine.isLeader(self, incarnation));
            } else if (e instanceof RuleEvent.VersionPending p) {
                startVerdictTimer(now, p.document());
            } else if (e instanceof RuleEvent.VersionAccepted a) {
                sendUpdate(now, stateMachine.chain(a.document().name()));
            } else if (e instanceof RuleEvent.VersionActivated a) {
                sendUpdate(now, stateMachine.chain(a.name()).withoutDocuments());
            }
        }
        appendDueEntries(now);
    }

    private void onLeaderChanged(long now, boolean own) {
        isLeader = own;
        leaderSince = now;
        leases.clear(); // given as an older leader: they are waited out like any other's
        waitingForBarrier.clear();
        waitingForNextBarrier.clear();
        appendedAt.clear();
        pendingSince.clear();
        absentVoters = Set.of();
        stateMachine.documentNames().stream().map(stateMachine::pending).filter(Objects::nonNull)
                .forEach(d -> startVerdictTimer(now, d));
    }

    private void startVerdictTimer(long now, RuleDocument pending) {
        PendingSince before = pendingSince.get(pending.name());
        if (before == null || before.version() != pending.version()) { // it may be told twice
            pendingSince.put(pending.name(), new PendingSince(pending.version(), now));
        }
    }

    private void sendUpdate(long now, VersionChain chain) {
        if (isLeader) {
            leases.forEach((p, lease) -> {
                if (lease.expiry > now) {
                    actions.send(p.holder(), new VersionUpdate(List.of(chain)));
                }
            });
        }
    }

    /** A gatherer asks. Its word counts at once; the lease waits for a barrier. */
    public void onLeaseRequest(long now, LeaseRequest ask) {
        if (!isLeader) {
            return;
        }
        var process = new HolderProcess(ask.holder(), ask.incarnation());
        LeaseRecord lease = leases.get(process);
        if (lease == null && leases.size() >= MAX_HOLDERS) {
            dropExpired(now);
            if (leases.size() >= MAX_HOLDERS) {
                deny(ask, "leases are out to " + MAX_HOLDERS + " gatherers");
                return;
            }
        }
        if (lease == null) {
            lease = new LeaseRecord();
            leases.put(process, lease);
        }
        lease.requestedAt = now;
        if (ask.sequence() <= lease.sequence) {
            return; // overtaken: a later one says more
        }
        lease.sequence = ask.sequence();
        Map<String, Long> its = lease.knownVersions;
        ask.knownVersions().forEach((n, k) -> its.merge(n, k.version(), Math::max));
        waitingForNextBarrier.put(process, ask);
        appendDueEntries(now);
        startBarrierIfNeeded(now);
    }

    /** A barrier has come back. */
    public void onBarrier(long now, long of) {
        if (!barrierRunning || of != barrierToken) {
            return;
        }
        barrierRunning = false;
        if (isLeader) {
            waitingForBarrier.forEach((process, ask) -> grantLease(process, ask));
        }
        waitingForBarrier.clear();
        startBarrierIfNeeded(now);
    }

    /** A barrier has failed: those who asked will ask again. */
    public void onBarrierFailed(long now, long of) {
        if (barrierRunning && of == barrierToken) {
            barrierRunning = false;
            waitingForBarrier.clear();
            startBarrierIfNeeded(now);
        }
    }

    /** Time goes on: several times a second. */
    public void onTick(long now) {
        appendDueEntries(now);
        dropExpired(now);
    }

    private void dropExpired(long now) {
        leases.values().removeIf(l -> l.expiry <= now && now - l.requestedAt > timing.leaseTerm());
    }

    /** Until when leases are out that this voter knows of or must reckon with, by its own clock. */
    public long latestExpiry() {
        return leases.values().stream().mapToLong(l -> l.expiry).reduce(leaderSince + timing.grantorWait(), Math::max);
    }

    private void startBarrierIfNeeded(long now) {
        if (isLeader && !barrierRunning && !waitingForNextBarrier.isEmpty()) {
            waitingForBarrier.putAll(waitingForNextBarrier);
            waitingForNextBarrier = new LinkedHashMap<>();
            barrierRunning = true;
            barrierStartedAt = now;
            actions.startBarrier(++barrierToken);
        }
    }

    /**
     * Gives a lease. It counts from when it was asked for, which is before the barrier was begun; so it is over here, a
     * term of true time after that, counted by this clock at its fastest.
     */
    private void grantLease(HolderProcess process, LeaseRequest ask) {
        var chains = new ArrayList<VersionChain>();
        for (String n : ask.knownVersions().keySet()) {
            if (stateMachine.latestAccepted(n) == null) {
                denyUnknownVersion(ask, n, 0);
                return;
            }
        }
        for (String n : stateMachine.documentNames()) {
            RuleDocument head = stateMachine.latestAccepted(n);
            if (head == null) {
                continue;
            }
            KnownVersion known = ask.knownVersions().getOrDefault(n, new KnownVersion(0, ""));
            boolean same = known.version() == head.version();
            if (known.version() > head.version() || same && !known.hash().equals(head.hash())) {
                denyUnknownVersion(ask, n, head.version());
                return;
            }
            chains.add(same ? stateMachine.chain(n).withoutDocuments() : stateMachine.chain(n));
        }
        LeaseRecord lease = leases.computeIfAbsent(process, p -> new LeaseRecord());
        lease.expiry = Math.max(lease.expiry, barrierStartedAt + timing.grantorWait());
        actions.send(process.holder(), new LeaseGrant(ask.holder(), ask.incarnation(), ask.sequence(), chains));
    }

    /** It knows what never was in this log: no gatherer may act on numbers that begin anew. */
    private void denyUnknownVersion(LeaseRequest ask, String name, long head) {
        deny(ask, "it knows " + name + " " + ask.knownVersions().get(name).version() + ", the voters have " + head
                + " and not that one: they have lost what they kept; put their files back");
    }

    private void deny(LeaseRequest ask, String why) {
        actions.send(ask.holder(), new LeaseDenial(ask.holder(), ask.incarnation(), ask.sequence(), why));
    }

    /** Lets act what may, and closes what has waited for verdicts for a term. */
    private void appendDueEntries(long now) {
        if (!isLeader) {
            if (elected) {
                appendWithRetry(now, new LogEntry.LeaderElected(self, incarnation));
            }
            return;
        }
        for (String n : stateMachine.documentNames()) {
            RuleDocument pending = stateMachine.pending(n);
            if (pending != null && verdictWaitOver(n, now - pendingSince.get(n).at())) {
                appendWithRetry(now, new LogEntry.CloseVerdicts(stateMachine.leaderEpoch(), n, pending.version()));
            }
            RuleDocument head = stateMachine.latestAccepted(n);
            if (head != null && head.version() > stateMachine.activeVersion(n)
                    && now >= leaderSince + timing.grantorWait()
                    && allHoldersKnow(now, n, head.version())) {
                appendWithRetry(now, new LogEntry.ActivateVersion(stateMachine.leaderEpoch(), n, head.version()));
            }
        }
    }

    /**
     * Whether verdicts have been waited for long enough: for a term; or a part of it where all that are silent were so
     * the last time, and are fewer than half. Else each change would wait a term while one voter is away.
     */
    private boolean verdictWaitOver(String name, long waited) {
        Set<String> silent = stateMachine.votersWithoutVerdict(name);
        boolean enough = waited >= timing.leaseTerm()
                || waited >= timing.leaseTerm() / RETRIES_PER_TERM && absentVoters.containsAll(silent)
                        && 2 * silent.size() < stateMachine.voters().size();
        if (enough) {
            absentVoters = silent;
        }
        return enough;
    }

    /** Whether nobody may act without knowing this version. */
    private boolean allHoldersKnow(long now, String name, long number) {
        for (LeaseRecord l : leases.values()) {
            if (l.expiry > now && l.knownVersions.getOrDefault(name, 0L) < number) {
                return false;
            }
        }
        return true;
    }

    private void appendWithRetry(long now, LogEntry entry) {
        String key = entry.toString();
        Long at = appendedAt.get(key);
        if (at == null || now - at >= timing.leaseTerm() / RETRIES_PER_TERM) {
            appendedAt.keySet().removeIf(k -> now - appendedAt.get(k) > timing.leaseTerm());
            appendedAt.put(key, now);
            actions.append(entry);
        }
    }
}
