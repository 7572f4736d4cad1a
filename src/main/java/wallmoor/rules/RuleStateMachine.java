package wallmoor.rules;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import wallmoor.rules.ProposalRejection.Reason;

/**
 * The replicated state machine behind the log, as in Raft: every voter applies the same entries in the same order and
 * so reaches the same state, which is the versions of all documents and the leader. It relies on no other property of
 * the log. It never parses the body of a document, as voters may run different releases; a
 * {@link LogEntry.VoterVerdict} reports whether a voter's program can read it. Single-threaded.
 */
public final class RuleStateMachine {
    /** Maximum characters of a body and its fallback; enough for 10,000 sites' summaries with a short hash each. */
    public static final int MAX_BODY_CHARS = 1 << 19;
    /** Maximum accepted versions of a document that are not active yet; lease holders store and merge all of them. */
    static final int MAX_INACTIVE_VERSIONS = 4;
    /** Maximum versions of a document before the active one that are retained, for rollbacks and the history. */
    static final int MAX_SUPERSEDED_VERSIONS = 32;
    /**
     * Maximum characters of the retained versions before the active one. With the versions in effect, six documents
     * take at most 21 Mi, a third of a 64 MB heap.
     */
    static final int MAX_SUPERSEDED_CHARS = 1 << 20;
    /** Maximum number of documents: one for each schema of this release, and spare ones for later releases. */
    private static final int MAX_DOCUMENTS = 6;
    private static final int MAX_AUTHOR_CHARS = 256;
    private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9_-]{0,31}");

    private final Set<String> voters;
    private final Map<String, DocumentState> documents = new TreeMap<>();
    private long leaderEpoch;
    private String leader = "";
    private long leaderIncarnation;

    /**
     * Creates the state before the first entry.
     *
     * @param voters names of all voters, running or not
     */
    public RuleStateMachine(Collection<String> voters) {
        this.voters = new TreeSet<>(voters);
        if (voters.isEmpty() || this.voters.size() != voters.size()) {
            throw new IllegalArgumentException(
                    "voters must be a non-empty list without duplicate names, but is " + voters);
        }
    }

    /**
     * Applies the next entry of the log.
     *
     * @return the changes; empty if the entry is outdated, such as an entry of an older leader
     */
    public List<RuleEvent> apply(LogEntry entry) {
        if (entry instanceof LogEntry.ProposeVersion propose) {
            return List.of(propose(propose.proposal()));
        } else if (entry instanceof LogEntry.VoterVerdict verdict) {
            DocumentState state = documents.get(verdict.name());
            return state == null ? List.of() : state.addVerdict(verdict, voters);
        } else if (entry instanceof LogEntry.CloseVerdicts close) {
            DocumentState state = documents.get(close.name());
            return state == null || close.leaderEpoch() != leaderEpoch ? List.of()
                    : state.closeVerdicts(close.version(), voters);
        } else if (entry instanceof LogEntry.LeaderElected elected) {
            leader = elected.voter();
            leaderIncarnation = elected.incarnation();
            return List.of(new RuleEvent.LeaderChanged(leader, leaderIncarnation, ++leaderEpoch));
        }
        var activate = (LogEntry.ActivateVersion) entry;
        DocumentState state = documents.get(activate.name());
        return state == null || activate.leaderEpoch() != leaderEpoch ? List.of()
                : state.activate(activate.name(), activate.version());
    }

    private RuleEvent propose(RuleProposal proposal) {
        String error = validationError(proposal);
        if (error != null) {
            return new RuleEvent.ProposalRejected(proposal.idempotencyKey(),
                    new ProposalRejection(Reason.MALFORMED, proposal.name(), 0, "", error));
        }
        return documents.computeIfAbsent(proposal.name(), name -> new DocumentState()).propose(proposal);
    }

    /** Returns the error in a malformed proposal, or null. */
    private String validationError(RuleProposal proposal) {
        if (!NAME.matcher(proposal.name()).matches()) {
            return "the document name must match " + NAME.pattern();
        } else if (!documents.containsKey(proposal.name()) && documents.size() >= MAX_DOCUMENTS) {
            return "the maximum of " + MAX_DOCUMENTS + " documents exist already";
        } else if (proposal.body().length() + proposal.fallback().length() > MAX_BODY_CHARS) {
            return "body and fallback together have more than " + MAX_BODY_CHARS + " characters";
        }
        return proposal.author().isBlank() || proposal.author().length() > MAX_AUTHOR_CHARS
                ? "the author must not be blank and must have at most " + MAX_AUTHOR_CHARS + " characters" : null;
    }

    /** Returns the number of leaders so far, which is the fencing token of the current leader's entries. */
    public long leaderEpoch() {
        return leaderEpoch;
    }

    /** Returns whether this process of this voter is the leader. */
    public boolean isLeader(String voter, long incarnation) {
        return leader.equals(voter) && leaderIncarnation == incarnation;
    }

    /** Returns the name of the leader; empty before the first one. */
    public String leader() {
        return leader;
    }

    /** Returns the names of all voters. */
    public Set<String> voters() {
        return Set.copyOf(voters);
    }

    /** Returns the names of all documents, sorted. */
    public List<String> documentNames() {
        return List.copyOf(documents.keySet());
    }

    /** Returns the accepted versions of a document that are retained, the oldest first. */
    public List<RuleDocument> history(String name) {
        DocumentState state = documents.get(name);
        return state == null ? List.of() : state.history();
    }

    /** Returns the latest accepted version, or null. */
    public RuleDocument latestAccepted(String name) {
        DocumentState state = documents.get(name);
        return state == null ? null : state.latestAccepted();
    }

    /** Returns the number of the active version, or 0 if there is none. */
    public long activeVersion(String name) {
        DocumentState state = documents.get(name);
        return state == null ? 0 : state.activeVersion();
    }

    /** Returns the version that waits for verdicts, or null. */
    public RuleDocument pending(String name) {
        DocumentState state = documents.get(name);
        return state == null ? null : state.pending();
    }

    /** Returns the voters that have sent no verdict on the pending version; empty if no version is pending. */
    public SortedSet<String> votersWithoutVerdict(String name) {
        DocumentState state = documents.get(name);
        return state == null ? Collections.emptySortedSet() : state.votersWithoutVerdict(voters);
    }

    /** Returns the active version of a document, if any, and the versions accepted after it. */
    public VersionChain chain(String name) {
        DocumentState state = documents.get(name);
        return state == null ? new VersionChain(name, 0, 0, List.of()) : state.chain(name);
    }

    /** Returns the complete state as bytes, for a snapshot of the log. Equal states give equal bytes. */
    public byte[] takeSnapshot() {
        var writer = new ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION).writeLong(leaderEpoch).writeText(leader)
                .writeLong(leaderIncarnation).writeLong(documents.size());
        documents.forEach((name, state) -> state.writeTo(writer.writeText(name)));
        return writer.toByteArray();
    }

    /**
     * Restores the state from a snapshot.
     *
     * @throws CorruptDataException if the bytes are not a snapshot that {@link #takeSnapshot} returned
     */
    public static RuleStateMachine restoreSnapshot(Collection<String> voters, byte[] snapshot)
            throws CorruptDataException {
        var restored = new RuleStateMachine(voters);
        var reader = new ByteReader(snapshot).readFormatVersion();
        restored.leaderEpoch = reader.readLong();
        restored.leader = reader.readText();
        restored.leaderIncarnation = reader.readLong();
        for (long remaining = reader.readCount(); remaining > 0; remaining--) {
            restored.documents.put(reader.readText(), DocumentState.readFrom(reader));
        }
        reader.expectEnd();
        return restored;
    }
}
