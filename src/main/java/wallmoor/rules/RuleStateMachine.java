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
 * so reaches the same state, which is all versions of all documents and who leads. It assumes nothing of the log but
 * that order. It never parses a document's body, as voters may run different releases; whether a body can be read comes
 * in as {@link LogEntry.VoterVerdict}. Single-threaded.
 */
public final class RuleStateMachine {
    /** Characters of a body and its fallback together: the summaries of 10,000 sites with a short hash each fit. */
    public static final int MAX_BODY_CHARS = 1 << 19;
    /** Accepted versions of a document that are not active yet: every lease holder keeps and merges them all. */
    static final int MAX_INACTIVE_VERSIONS = 4;
    /** Versions kept of a document that came before the active one, for rollbacks and the history shown. */
    static final int MAX_SUPERSEDED_VERSIONS = 32;
    /** Characters of these; with the versions in effect, six documents take 21 Mi at worst, a third of a 64 MB heap. */
    static final int MAX_SUPERSEDED_CHARS = 1 << 20;
    /** Documents: one for each schema of this release, and room for those of later ones. */
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
     * @param voters the names of all voters, whether they run or not
     */
    public RuleStateMachine(Collection<String> voters) {
        this.voters = new TreeSet<>(voters);
        if (voters.isEmpty() || this.voters.size() != voters.size()) {
            throw new IllegalArgumentException("voters: each needs a name of its own");
        }
    }

    /**
     * Applies the next entry of the log.
     *
     * @return what changed; nothing where the entry is outdated, such as one of an older leader
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
        String malformed = malformed(proposal);
        if (malformed != null) {
            return new RuleEvent.ProposalRejected(proposal.idempotencyKey(),
                    new ProposalRejection(Reason.MALFORMED, proposal.name(), 0, "", malformed));
        }
        return documents.computeIfAbsent(proposal.name(), name -> new DocumentState()).propose(proposal);
    }

    /** Returns what is wrong with the proposal's form, or null. */
    private String malformed(RuleProposal proposal) {
        if (!NAME.matcher(proposal.name()).matches()) {
            return "is no name of a document";
        } else if (!documents.containsKey(proposal.name()) && documents.size() >= MAX_DOCUMENTS) {
            return "there are " + MAX_DOCUMENTS + " documents already";
        } else if (proposal.body().length() + proposal.fallback().length() > MAX_BODY_CHARS) {
            return "has more than " + MAX_BODY_CHARS + " characters";
        }
        return proposal.author().isBlank() || proposal.author().length() > MAX_AUTHOR_CHARS
                ? "has no author of 1 to " + MAX_AUTHOR_CHARS + " characters" : null;
    }

    /** Returns how many leaders there have been: the fencing token of entries that a leader appends. */
    public long leaderEpoch() {
        return leaderEpoch;
    }

    /** Returns whether this process of this voter is the leader. */
    public boolean isLeader(String voter, long incarnation) {
        return leader.equals(voter) && leaderIncarnation == incarnation;
    }

    /** Returns the name of the leader; empty before the first. */
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

    /** Returns the accepted versions of a document that are kept, the oldest first. */
    public List<RuleDocument> history(String name) {
        DocumentState state = documents.get(name);
        return state == null ? List.of() : state.history();
    }

    /** Returns the latest accepted version, or null. */
    public RuleDocument latestAccepted(String name) {
        DocumentState state = documents.get(name);
        return state == null ? null : state.latestAccepted();
    }

    /** Returns the number of the active version, or 0. */
    public long activeVersion(String name) {
        DocumentState state = documents.get(name);
        return state == null ? 0 : state.activeVersion();
    }

    /** Returns the version that waits for verdicts, or null. */
    public RuleDocument pending(String name) {
        DocumentState state = documents.get(name);
        return state == null ? null : state.pending();
    }

    /** Returns the voters that have sent no verdict on the pending version; none where nothing is pending. */
    public SortedSet<String> votersWithoutVerdict(String name) {
        DocumentState state = documents.get(name);
        return state == null ? Collections.emptySortedSet() : state.votersWithoutVerdict(voters);
    }

    /** Returns the active version of a document, if any, and those accepted after it. */
    public VersionChain chain(String name) {
        DocumentState state = documents.get(name);
        return state == null ? new VersionChain(name, 0, 0, List.of()) : state.chain(name);
    }

    /** Returns the complete state as bytes, for a snapshot of the log; equal states give equal bytes. */
    public byte[] takeSnapshot() {
        var to = new ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION).writeLong(leaderEpoch).writeText(leader)
                .writeLong(leaderIncarnation).writeLong(documents.size());
        documents.forEach((name, state) -> state.writeTo(to.writeText(name)));
        return to.toByteArray();
    }

    /**
     * Restores the state from a snapshot.
     *
     * @throws CorruptDataException if the bytes are not what {@link #takeSnapshot} returned
     */
    public static RuleStateMachine restoreSnapshot(Collection<String> voters, byte[] snapshot)
            throws CorruptDataException {
        var restored = new RuleStateMachine(voters);
        var from = new ByteReader(snapshot).readFormatVersion();
        restored.leaderEpoch = from.readLong();
        restored.leader = from.readText();
        restored.leaderIncarnation = from.readLong();
        for (long left = from.readCount(); left > 0; left--) {
            restored.documents.put(from.readText(), DocumentState.readFrom(from));
        }
        from.expectEnd();
        return restored;
    }
}
