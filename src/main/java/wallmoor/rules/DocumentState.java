package wallmoor.rules;

import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.rules.ProposalRejection.Reason;

/**
 * The versions of one document in the replicated state machine: at most one pending version that waits for the voters'
 * verdicts, the accepted ones, and which of these is active. Its transitions depend on log entries alone.
 */
final class DocumentState {
    private final TreeMap<Long, RuleDocument> accepted = new TreeMap<>();
    /** By voter, its objection to the pending version; empty where its program can read it. */
    private final TreeMap<String, String> verdicts = new TreeMap<>();
    private RuleDocument pending;
    private long activeVersion;
    /** The highest version number ever assigned, also to a version that was rejected. */
    private long highestVersion;

    /** Returns the latest accepted version, or null. */
    RuleDocument latestAccepted() {
        return accepted.isEmpty() ? null : accepted.lastEntry().getValue();
    }

    /** Returns the version that waits for verdicts, or null. */
    RuleDocument pending() {
        return pending;
    }

    /** Returns the number of the active version; 0 before the first. */
    long activeVersion() {
        return activeVersion;
    }

    /** Returns the accepted versions that are kept, the oldest first. */
    List<RuleDocument> history() {
        return List.copyOf(accepted.values());
    }

    /** Returns the active version, if any, and those accepted after it. */
    VersionChain chain(String name) {
        RuleDocument latest = latestAccepted();
        return new VersionChain(name, activeVersion, latest == null ? 0 : latest.version(),
                List.copyOf(accepted.tailMap(activeVersion, true).values()));
    }

    /** Returns the voters that have sent no verdict on the pending version; none where nothing is pending. */
    SortedSet<String> votersWithoutVerdict(Set<String> voters) {
        var silent = new TreeSet<String>();
        if (pending != null) {
            silent.addAll(voters);
            silent.removeAll(verdicts.keySet());
        }
        return silent;
    }

    /** Applies a well-formed proposal. One that is pending or accepted already is idempotent. */
    RuleEvent propose(RuleProposal proposal) {
        if (pending != null && pending.proposal().equals(proposal)) {
            return new RuleEvent.VersionPending(pending);
        }
        for (RuleDocument document : accepted.values()) {
            if (document.proposal().equals(proposal)) {
                return new RuleEvent.VersionAccepted(proposal.idempotencyKey(), document);
            }
        }
        ProposalRejection rejection = conflict(proposal);
        if (rejection != null) {
            return new RuleEvent.ProposalRejected(proposal.idempotencyKey(), rejection);
        }
        pending = RuleDocument.of(proposal, ++highestVersion);
        verdicts.clear();
        return new RuleEvent.VersionPending(pending);
    }

    /** Returns why the proposal can't become the next version, or null. */
    private ProposalRejection conflict(RuleProposal proposal) {
        RuleDocument latest = latestAccepted();
        boolean onLatest = isParent(latest, proposal);
        RuleDocument winner = pending != null && onLatest ? pending : latest;
        if (winner != null && (!onLatest || pending != null)) {
            boolean sameParent = winner.parentVersion() == proposal.parentVersion()
                    && winner.parentHash().equals(proposal.parentHash());
            return new ProposalRejection(sameParent ? Reason.LOST : Reason.OLD_PARENT, proposal.name(),
                    winner.version(), winner.author(), winner.hash());
        } else if (!onLatest) {
            return new ProposalRejection(Reason.MALFORMED, proposal.name(), 0, "",
                    "there is no version yet, so it can have no parent");
        }
        int inactive = accepted.tailMap(activeVersion, false).size();
        return inactive < RuleStateMachine.MAX_INACTIVE_VERSIONS ? null
                : new ProposalRejection(Reason.BUSY, proposal.name(), latest.version(), "",
                        Integer.toString(inactive));
    }

    private static boolean isParent(RuleDocument latest, RuleProposal proposal) {
        return latest == null ? proposal.parentVersion() == 0 && proposal.parentHash().isEmpty()
                : proposal.parentVersion() == latest.version() && proposal.parentHash().equals(latest.hash());
    }

    /** Applies a verdict: one objection rejects the pending version, and consent of all voters accepts it. */
    List<RuleEvent> addVerdict(LogEntry.VoterVerdict verdict, Set<String> voters) {
        if (!isPending(verdict.version()) || !pending.hash().equals(verdict.hash())
                || !voters.contains(verdict.voter())) {
            return List.of();
        }
        verdicts.put(verdict.voter(), verdict.objection());
        if (!verdict.objection().isEmpty()) {
            return List.of(reject(Reason.UNREADABLE, verdict.voter(), verdict.objection()));
        }
        return verdicts.size() == voters.size() ? List.of(accept()) : List.of();
    }

    /** Decides the pending version by the verdicts that came: a majority without objection accepts it. */
    List<RuleEvent> closeVerdicts(long version, Set<String> voters) {
        if (!isPending(version)) {
            return List.of();
        }
        if (2 * verdicts.size() > voters.size()) {
            return List.of(accept());
        }
        return List.of(reject(Reason.UNHEARD, String.join(", ", votersWithoutVerdict(voters)), ""));
    }

    /** Activates an accepted version; an older one than the active is never activated again. */
    List<RuleEvent> activate(String name, long version) {
        if (version <= activeVersion || !accepted.containsKey(version)) {
            return List.of();
        }
        activeVersion = version;
        dropOldHistory();
        return List.of(new RuleEvent.VersionActivated(name, version));
    }

    private void dropOldHistory() {
        long chars = 0;
        int kept = 0;
        for (RuleDocument document : List.copyOf(accepted.headMap(activeVersion, false).descendingMap().values())) {
            chars += document.body().length() + document.fallback().length();
            if (++kept > RuleStateMachine.MAX_SUPERSEDED_VERSIONS || chars > RuleStateMachine.MAX_SUPERSEDED_CHARS) {
                accepted.remove(document.version());
            }
        }
    }

    private boolean isPending(long version) {
        return pending != null && pending.version() == version;
    }

    private RuleEvent accept() {
        RuleDocument document = pending;
        pending = null;
        accepted.put(document.version(), document);
        return new RuleEvent.VersionAccepted(document.proposal().idempotencyKey(), document);
    }

    private RuleEvent reject(Reason reason, String opponent, String detail) {
        RuleDocument document = pending;
        pending = null;
        return new RuleEvent.ProposalRejected(document.proposal().idempotencyKey(),
                new ProposalRejection(reason, document.name(), document.version(), opponent, detail));
    }

    /** Writes the state for a snapshot; the bytes are stored and sent, so their order may not change. */
    void writeTo(ByteWriter to) {
        to.writeLong(activeVersion).writeLong(highestVersion).writeLong(pending == null ? 0 : 1);
        if (pending != null) {
            to.writeDocument(pending).writeLong(verdicts.size());
            verdicts.forEach((voter, objection) -> to.writeText(voter).writeText(objection));
        }
        to.writeLong(accepted.size());
        accepted.values().forEach(to::writeDocument);
    }

    /** Reads what {@link #writeTo} wrote. */
    static DocumentState readFrom(ByteReader from) throws CorruptDataException {
        var state = new DocumentState();
        state.activeVersion = from.readLong();
        state.highestVersion = from.readLong();
        if (from.readLong() == 1) {
            state.pending = from.readDocument();
            for (long left = from.readCount(); left > 0; left--) {
                state.verdicts.put(from.readText(), from.readText());
            }
        }
        for (long left = from.readCount(); left > 0; left--) {
            RuleDocument document = from.readDocument();
            state.accepted.put(document.version(), document);
        }
        return state;
    }
}
