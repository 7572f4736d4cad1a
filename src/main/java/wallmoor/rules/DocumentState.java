package wallmoor.rules;

import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.rules.ProposalRejection.Reason;

/**
 * The versions of one document in the replicated state machine: at most one pending version, which waits for the
 * voters' verdicts, the accepted versions, and which of them is active. State changes depend on log entries alone.
 */
final class DocumentState {
    private final TreeMap<Long, RuleDocument> accepted = new TreeMap<>();
    /** By voter, its objection to the pending version; empty if the voter's program can read it. */
    private final TreeMap<String, String> verdicts = new TreeMap<>();
    private RuleDocument pending;
    private long activeVersion;
    /** The highest version number ever assigned, including those of rejected versions. */
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

    /** Returns the accepted versions that are retained, the oldest first. */
    List<RuleDocument> history() {
        return List.copyOf(accepted.values());
    }

    /** Returns the active version, if any, and the versions accepted after it. */
    VersionChain chain(String name) {
        RuleDocument latest = latestAccepted();
        return new VersionChain(name, activeVersion, latest == null ? 0 : latest.version(),
                List.copyOf(accepted.tailMap(activeVersion, true).values()));
    }

    /** Returns the voters that have sent no verdict on the pending version; empty if no version is pending. */
    SortedSet<String> votersWithoutVerdict(Set<String> voters) {
        var missing = new TreeSet<String>();
        if (pending != null) {
            missing.addAll(voters);
            missing.removeAll(verdicts.keySet());
        }
        return missing;
    }

    /** Applies a valid proposal. A repeated one that is already pending or accepted changes nothing. */
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

    /** Returns the reason why the proposal can't become the next version, or null. */
    private ProposalRejection conflict(RuleProposal proposal) {
        RuleDocument latest = latestAccepted();
        boolean isOnLatest = isParent(latest, proposal);
        RuleDocument winner = pending != null && isOnLatest ? pending : latest;
        if (winner != null && (!isOnLatest || pending != null)) {
            boolean hasSameParent = winner.parentVersion() == proposal.parentVersion()
                    && winner.parentHash().equals(proposal.parentHash());
            return new ProposalRejection(hasSameParent ? Reason.LOST : Reason.OLD_PARENT, proposal.name(),
                    winner.version(), winner.author(), winner.hash());
        } else if (!isOnLatest) {
            return new ProposalRejection(Reason.MALFORMED, proposal.name(), 0, "",
                    "the proposal names a parent, but the document has no accepted version");
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

    /** Applies a verdict: one objection rejects the pending version, and the consent of all voters accepts it. */
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

    /** Decides on the pending version by the verdicts received: a majority without objection accepts it. */
    List<RuleEvent> closeVerdicts(long version, Set<String> voters) {
        if (!isPending(version)) {
            return List.of();
        }
        if (2 * verdicts.size() > voters.size()) {
            return List.of(accept());
        }
        return List.of(reject(Reason.UNHEARD, String.join(", ", votersWithoutVerdict(voters)), ""));
    }

    /** Activates an accepted version; a version older than the active one is never activated again. */
    List<RuleEvent> activate(String name, long version) {
        if (version <= activeVersion || !accepted.containsKey(version)) {
            return List.of();
        }
        activeVersion = version;
        trimHistory();
        return List.of(new RuleEvent.VersionActivated(name, version));
    }

    private void trimHistory() {
        long chars = 0;
        int retained = 0;
        for (RuleDocument document : List.copyOf(accepted.headMap(activeVersion, false).descendingMap().values())) {
            chars += document.body().length() + document.fallback().length();
            if (++retained > RuleStateMachine.MAX_SUPERSEDED_VERSIONS
                    || chars > RuleStateMachine.MAX_SUPERSEDED_CHARS) {
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

    private RuleEvent reject(Reason reason, String blockedBy, String detail) {
        RuleDocument document = pending;
        pending = null;
        return new RuleEvent.ProposalRejected(document.proposal().idempotencyKey(),
                new ProposalRejection(reason, document.name(), document.version(), blockedBy, detail));
    }

    /** Writes the state for a snapshot. The bytes are stored and sent, so the order of fields must not change. */
    void writeTo(ByteWriter writer) {
        writer.writeLong(activeVersion).writeLong(highestVersion).writeLong(pending == null ? 0 : 1);
        if (pending != null) {
            writer.writeDocument(pending).writeLong(verdicts.size());
            verdicts.forEach((voter, objection) -> writer.writeText(voter).writeText(objection));
        }
        writer.writeLong(accepted.size());
        accepted.values().forEach(writer::writeDocument);
    }

    /** Reads a state that {@link #writeTo} wrote. */
    static DocumentState readFrom(ByteReader reader) throws CorruptDataException {
        var state = new DocumentState();
        state.activeVersion = reader.readLong();
        state.highestVersion = reader.readLong();
        if (reader.readLong() == 1) {
            state.pending = reader.readDocument();
            for (long remaining = reader.readCount(); remaining > 0; remaining--) {
                state.verdicts.put(reader.readText(), reader.readText());
            }
        }
        for (long remaining = reader.readCount(); remaining > 0; remaining--) {
            RuleDocument document = reader.readDocument();
            state.accepted.put(document.version(), document);
        }
        return state;
    }
}
