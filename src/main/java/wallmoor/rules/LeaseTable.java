package wallmoor.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import wallmoor.rules.LeaseMessage.KnownVersion;
import wallmoor.rules.LeaseMessage.LeaseDenial;
import wallmoor.rules.LeaseMessage.LeaseGrant;
import wallmoor.rules.LeaseMessage.LeaseRequest;
import wallmoor.rules.LeaseMessage.VersionUpdate;

/**
 * The leader's side of the lease protocol (Gray and Cheriton 1989): the expiry of each holder's lease and the versions
 * that each holder knows. The leader activates an accepted version once all holders of unexpired leases know it. Times
 * are microseconds on this process's own monotonic clock. Single-threaded.
 *
 * <p>Besides the order of entries, the log must provide a barrier: when a barrier succeeds, all entries that any voter
 * had committed before it started have been applied here. Barriers of a voter that is no longer the leader fail, so the
 * leader needs no lease of its own, and clocks of different voters are never compared.
 */
public final class LeaseTable {
    /** The actions that the owner of the table performs for it. */
    public interface Actions {
        /** Sends a message to a lease holder. The message may be lost. */
        void send(String holder, LeaseMessage message);

        /** Appends an entry to the log. The entry may be lost; the table appends it again while it is needed. */
        void append(LogEntry entry);

        /**
         * Starts a barrier. At most one runs at a time. When it ends, the owner calls {@link #onBarrier} or
         * {@link #onBarrierFailed}.
         */
        void startBarrier(long token);
    }

    /** Maximum number of processes with a lease; further processes are denied one. */
    private static final int MAX_HOLDERS = 10_000;

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
    private final BarrierQueue barriers = new BarrierQueue();
    private final VerdictTimer verdictTimer;
    private final AppendRetry appendRetry;
    private boolean isElected;
    private boolean isLeader;
    private long leaderSince;

    /**
     * Creates an empty table. It grants leases only after its own {@link LogEntry.LeaderElected} has been applied.
     *
     * @param self         name of this voter
     * @param incarnation  number of this process; must differ between two processes of the same voter
     * @param timing       durations of the lease protocol
     * @param stateMachine the state machine of this voter, which its owner applies the log to
     * @param actions      actions that the owner performs for the table
     */
    public LeaseTable(String self, long incarnation, LeaseTiming timing, RuleStateMachine stateMachine,
            Actions actions) {
        this.self = self;
        this.incarnation = incarnation;
        this.timing = timing;
        this.stateMachine = stateMachine;
        this.actions = actions;
        verdictTimer = new VerdictTimer(timing.leaseTerm());
        appendRetry = new AppendRetry(timing.leaseTerm());
    }

    /**
     * Handles an election of the log that made this voter the leader, or ended its leadership. A new leader appends
     * {@link LogEntry.LeaderElected}.
     */
    public void onElectionChanged(long now, boolean isNowElected) {
        isElected = isNowElected;
        appendDueEntries(now);
    }

    /** Handles the events of an entry that the state machine has applied. */
    public void onApplied(long now, List<RuleEvent> events) {
        for (RuleEvent event : events) {
            if (event instanceof RuleEvent.LeaderChanged) {
                onLeaderChanged(now);
            } else if (event instanceof RuleEvent.VersionPending pending) {
                verdictTimer.start(now, pending.document());
            } else if (event instanceof RuleEvent.VersionAccepted accepted) {
                sendUpdate(now, stateMachine.chain(accepted.document().name()));
            } else if (event instanceof RuleEvent.VersionActivated activated) {
                sendUpdate(now, stateMachine.chain(activated.name()).withoutDocuments());
            }
        }
        appendDueEntries(now);
    }

    private void onLeaderChanged(long now) {
        isLeader = stateMachine.isLeader(self, incarnation);
        leaderSince = now;
        leases.clear(); // leases of this voter's earlier leadership are waited out like those of any other leader
        barriers.clear();
        appendRetry.clear();
        verdictTimer.clear();
        stateMachine.documentNames().stream().map(stateMachine::pending).filter(Objects::nonNull)
                .forEach(pending -> verdictTimer.start(now, pending));
    }

    private void sendUpdate(long now, VersionChain chain) {
        if (isLeader) {
            leases.forEach((process, lease) -> {
                if (lease.expiry > now) {
                    actions.send(process.holder(), new VersionUpdate(List.of(chain)));
                }
            });
        }
    }

    /**
     * Handles a lease request. The versions that the holder knows are recorded at once. The lease is granted when a
     * barrier that starts after this call has succeeded.
     */
    public void onLeaseRequest(long now, LeaseRequest request) {
        if (!isLeader) {
            return;
        }
        var process = HolderProcess.of(request);
        if (!leases.containsKey(process) && isFull(now)) {
            deny(request, "the maximum of " + MAX_HOLDERS + " gatherers have a lease already");
            return;
        }
        LeaseRecord lease = leases.computeIfAbsent(process, p -> new LeaseRecord());
        lease.requestedAt = now;
        if (request.sequence() <= lease.sequence) {
            return; // outdated: a later request with newer known versions has arrived already
        }
        lease.sequence = request.sequence();
        request.knownVersions()
                .forEach((name, known) -> lease.knownVersions.merge(name, known.version(), Math::max));
        barriers.add(request);
        appendDueEntries(now);
        startBarrierIfNeeded(now);
    }

    private boolean isFull(long now) {
        if (leases.size() >= MAX_HOLDERS) {
            dropExpired(now);
        }
        return leases.size() >= MAX_HOLDERS;
    }

    /** Handles a barrier that succeeded: answers the requests that waited for it. */
    public void onBarrier(long now, long token) {
        if (!barriers.finish(token)) {
            return;
        }
        Map<HolderProcess, LeaseRequest> waiting = barriers.takeWaiting();
        if (isLeader) {
            waiting.forEach(this::grantOrDeny);
        }
        startBarrierIfNeeded(now);
    }

    /** Handles a barrier that failed: drops the requests that waited for it, which their holders repeat. */
    public void onBarrierFailed(long now, long token) {
        if (barriers.finish(token)) {
            barriers.takeWaiting();
            startBarrierIfNeeded(now);
        }
    }

    /** Handles a timer tick. The owner calls it several times a second. */
    public void onTick(long now) {
        appendDueEntries(now);
        dropExpired(now);
    }

    private void dropExpired(long now) {
        leases.values().removeIf(lease -> lease.expiry <= now && now - lease.requestedAt > timing.leaseTerm());
    }

    /** Returns the time at which the last lease expires that this or an earlier leader may have granted. */
    public long latestExpiry() {
        return leases.values().stream().mapToLong(lease -> lease.expiry)
                .reduce(leaderSince + timing.grantorWait(), Math::max);
    }

    private void startBarrierIfNeeded(long now) {
        if (isLeader && barriers.start(now)) {
            actions.startBarrier(barriers.token());
        }
    }

    /**
     * Grants a lease, or denies it if the holder knows a version that is not in this log. The lease counts from the
     * time of the request, which is before the start of the barrier. So it expires within one lease term of true time
     * after that start; its expiry here allows for a clock that runs at its fastest rate.
     */
    private void grantOrDeny(HolderProcess process, LeaseRequest request) {
        String unknown = versionNotInLog(request);
        if (unknown != null) {
            denyUnknownVersion(request, unknown);
            return;
        }
        LeaseRecord lease = leases.computeIfAbsent(process, p -> new LeaseRecord());
        lease.expiry = Math.max(lease.expiry, barriers.startedAt() + timing.grantorWait());
        actions.send(process.holder(), new LeaseGrant(request.holder(), request.incarnation(), request.sequence(),
                chainsFor(request)));
    }

    /** Returns the name of a document of which the holder knows a version that is not in this log, or null. */
    private String versionNotInLog(LeaseRequest request) {
        for (String name : request.knownVersions().keySet()) {
            if (stateMachine.latestAccepted(name) == null) {
                return name;
            }
        }
        for (String name : stateMachine.documentNames()) {
            KnownVersion known = request.knownVersions().get(name);
            RuleDocument latest = stateMachine.latestAccepted(name);
            if (known != null && (known.version() > latest.version()
                    || (known.version() == latest.version() && !known.hash().equals(latest.hash())))) {
                return name;
            }
        }
        return null;
    }

    /** Returns the versions in effect of each document; with their contents if the holder lacks the latest version. */
    private List<VersionChain> chainsFor(LeaseRequest request) {
        var chains = new ArrayList<VersionChain>();
        for (String name : stateMachine.documentNames()) {
            RuleDocument latest = stateMachine.latestAccepted(name);
            if (latest != null) {
                KnownVersion known = request.knownVersions().get(name);
                boolean isUpToDate = known != null && known.version() == latest.version();
                VersionChain chain = stateMachine.chain(name);
                chains.add(isUpToDate ? chain.withoutDocuments() : chain);
            }
        }
        return chains;
    }

    /** Denies a lease if the voters have lost versions, as they may assign the lost version numbers again. */
    private void denyUnknownVersion(LeaseRequest request, String name) {
        RuleDocument latest = stateMachine.latestAccepted(name);
        deny(request, "this gatherer knows " + name + " " + request.knownVersions().get(name).version()
                + ", which is not in the voters' log; their latest version is "
                + (latest == null ? 0 : latest.version())
                + ": the voters have lost stored data; restore the voters' files");
    }

    private void deny(LeaseRequest request, String reason) {
        actions.send(request.holder(),
                new LeaseDenial(request.holder(), request.incarnation(), request.sequence(), reason));
    }

    /** Appends the entries that are due: the leader's election, the closing of verdicts, and activations. */
    private void appendDueEntries(long now) {
        if (!isLeader) {
            if (isElected) {
                append(now, new LogEntry.LeaderElected(self, incarnation));
            }
            return;
        }
        for (String name : stateMachine.documentNames()) {
            RuleDocument pending = stateMachine.pending(name);
            if (pending != null && verdictTimer.isOver(now, name, stateMachine.votersWithoutVerdict(name),
                    stateMachine.voters().size())) {
                append(now, new LogEntry.CloseVerdicts(stateMachine.leaderEpoch(), name, pending.version()));
            }
            RuleDocument latest = stateMachine.latestAccepted(name);
            if (latest != null && mayActivate(now, name, latest.version())) {
                append(now, new LogEntry.ActivateVersion(stateMachine.leaderEpoch(), name, latest.version()));
            }
        }
    }

    /** Returns whether a version may become active: all holders of unexpired leases must know it. */
    private boolean mayActivate(long now, String name, long version) {
        return version > stateMachine.activeVersion(name) && now >= leaderSince + timing.grantorWait()
                && leases.values().stream().allMatch(
                        lease -> lease.expiry <= now || lease.knownVersions.getOrDefault(name, 0L) >= version);
    }

    private void append(long now, LogEntry entry) {
        if (appendRetry.isDue(now, entry)) {
            actions.append(entry);
        }
    }
}
