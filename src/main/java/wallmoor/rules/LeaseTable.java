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
 * The leader's side of leases (Gray and Cheriton 1989): which lease holders have a lease until when and which versions
 * each knows. From that it decides when an accepted version may become active: once no lease is left whose holder does
 * not know it. Times are microseconds on this process's own monotonic clock. Single-threaded.
 *
 * <p>Of the log it needs, beside the order of entries, a barrier: when a barrier succeeds, all entries that were
 * committed anywhere before it started have been applied here. A voter that has lost its leadership gets no barrier to
 * succeed, so it needs no leader lease of its own and no clock of a voter is compared with another's.
 */
public final class LeaseTable {
    /** What the table asks its owner to do. */
    public interface Actions {
        /** Sends a message to a lease holder; it may be lost. */
        void send(String holder, LeaseMessage message);

        /** Appends an entry to the log; it may be lost, and is appended again while it is still wanted. */
        void append(LogEntry entry);

        /** Starts a barrier; at most one runs. {@link #onBarrier} or {@link #onBarrierFailed} must follow. */
        void startBarrier(long token);
    }

    /** Processes that are granted leases at once; more are denied one. */
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
    private boolean elected;
    private boolean isLeader;
    private long leaderSince;

    /**
     * Creates an empty table. It grants leases only after its own {@link LogEntry.LeaderElected} has been applied.
     *
     * @param incarnation of this process: never the same for two processes of one voter
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

    /** The log's election has made this voter the leader, or ended that; a new leader announces itself in the log. */
    public void onElectionChanged(long now, boolean nowElected) {
        elected = nowElected;
        appendDueEntries(now);
    }

    /** The state machine has applied an entry, with these events. */
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
        leases.clear(); // those of an earlier leadership are waited out like any other leader's
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
     * A lease holder asks for a lease. The versions that it knows count at once; the lease is granted once a barrier
     * that starts after this has succeeded.
     */
    public void onLeaseRequest(long now, LeaseRequest request) {
        if (!isLeader) {
            return;
        }
        var process = HolderProcess.of(request);
        if (!leases.containsKey(process) && isFull(now)) {
            deny(request, "leases are out to " + MAX_HOLDERS + " gatherers");
            return;
        }
        LeaseRecord lease = leases.computeIfAbsent(process, p -> new LeaseRecord());
        lease.requestedAt = now;
        if (request.sequence() <= lease.sequence) {
            return; // overtaken by a later request, which says more
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

    /** A barrier has succeeded: the requests that waited for it are answered. */
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

    /** A barrier has failed: its requests get no answer, and are made again by their holders. */
    public void onBarrierFailed(long now, long token) {
        if (barriers.finish(token)) {
            barriers.takeWaiting();
            startBarrierIfNeeded(now);
        }
    }

    /** Time has passed; to be called several times a second. */
    public void onTick(long now) {
        appendDueEntries(now);
        dropExpired(now);
    }

    private void dropExpired(long now) {
        leases.values().removeIf(lease -> lease.expiry <= now && now - lease.requestedAt > timing.leaseTerm());
    }

    /** Returns when the last lease is over that this or an earlier leader may have granted. */
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
     * Grants a lease, or denies it to a holder that knows a version which is not in this log. The lease counts from the
     * request, which came before the barrier started; so it is over within a lease term of true time after that start,
     * counted here by this clock at its fastest.
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

    /** Returns the name of a document of which the holder knows what never was in this log, or null. */
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

    /** Returns the versions in effect of each document, with the documents themselves where the holder lacks one. */
    private List<VersionChain> chainsFor(LeaseRequest request) {
        var chains = new ArrayList<VersionChain>();
        for (String name : stateMachine.documentNames()) {
            RuleDocument latest = stateMachine.latestAccepted(name);
            if (latest != null) {
                KnownVersion known = request.knownVersions().get(name);
                boolean upToDate = known != null && known.version() == latest.version();
                VersionChain chain = stateMachine.chain(name);
                chains.add(upToDate ? chain.withoutDocuments() : chain);
            }
        }
        return chains;
    }

    /** Denies a lease where the voters have lost versions: nobody may act on numbers that begin anew. */
    private void denyUnknownVersion(LeaseRequest request, String name) {
        RuleDocument latest = stateMachine.latestAccepted(name);
        deny(request, "it knows " + name + " " + request.knownVersions().get(name).version() + ", the voters have "
                + (latest == null ? 0 : latest.version())
                + " and not that one: they have lost what they kept; put their files back");
    }

    private void deny(LeaseRequest request, String reason) {
        actions.send(request.holder(),
                new LeaseDenial(request.holder(), request.incarnation(), request.sequence(), reason));
    }

    /** Appends what the leader owes the log: its own election, the end of waits for verdicts, and activations. */
    private void appendDueEntries(long now) {
        if (!isLeader) {
            if (elected) {
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

    /** Returns whether an inactive version may become active: no lease is left whose holder does not know it. */
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
