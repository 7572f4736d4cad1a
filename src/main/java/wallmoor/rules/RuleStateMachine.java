package wallmoor.rules;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * All versions of all documents, as every voter has them: fed with the log's entries in their one order, it comes to
 * the same state everywhere. It assumes nothing of the log but that order, and never reads a body: programs of two
 * releases must come to the same. What a body is worth comes in as voters' verdicts. Single-threaded.
 */
public final class RuleStateMachine {
    /** Characters of a body and its fallback together: the summaries of 10,000 sites with a short hash each fit. */
    public static final int MAX_BODY_CHARS = 1 << 19;
    /** Accepted versions that don't act yet: a gatherer keeps and meets them all. */
    static final int MAX_INACTIVE_VERSIONS = 4;
    /** Versions kept of a document that act no more, for rollbacks and to tell what went before. */
    private static final int MAX_SUPERSEDED_VERSIONS = 32;
    /** Characters of them; with those that hold, six documents are 21 Mi at worst, a third of a gatherer of 64 MB. */
    private static final int MAX_SUPERSEDED_CHARS = 1 << 20;
    /** Documents: there are four kinds, and room for two of later programs. */
    private static final int MAX_DOCUMENTS = 6;
    private static final int MAX_AUTHOR_CHARS = 256;
    private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9_-]{0,31}");

    /** One document. */
    static final class DocumentState {
        final TreeMap<Long, RuleDocument> accepted = new TreeMap<>();
        /** What each voter said of the pending one: empty where it can read it. */
        final TreeMap<String, String> verdicts = new TreeMap<>();
        RuleDocument pending;
        long activeVersion;
        /** The highest number ever given. */
        long highestNumber;

        RuleDocument latestAccepted() {
            return accepted.isEmpty() ? null : accepted.lastEntry().getValue();
        }
    }

    private final Set<String> voters;
    private final Map<String, DocumentState> documents = new TreeMap<>();
    private long leaderEpoch;
    private String leader = "";
    private long incarnation;

    /** An empty one. {@code voters} are the names of all that vote, up or not. */
    public RuleStateMachine(Collection<String> voters) {
        this.voters = new TreeSet<>(voters);
        if (voters.isEmpty() || this.voters.size() != voters.size()) {
            throw new IllegalArgumentException("voters: each needs a name of its own");
        }
    }

    /** Takes the next entry; what came of it. An entry that is not current any more comes to nothing. */
    public List<RuleEvent> apply(LogEntry entry) {
        if (entry instanceof LogEntry.ProposeVersion p) {
            return List.of(propose(p.proposal()));
        } else if (entry instanceof LogEntry.VoterVerdict v) {
            return verdict(v);
        } else if (entry instanceof LogEntry.CloseVerdicts c) {
            return close(c);
        } else if (entry instanceof LogEntry.LeaderElected l) {
            leader = l.voter();
            incarnation = l.incarnation();
            return List.of(new RuleEvent.LeaderChanged(leader, incarnation, ++leaderEpoch));
        }
        return act((LogEntry.ActivateVersion) entry);
    }

    private RuleEvent propose(RuleProposal p) {
        DocumentState line = documents.get(p.name());
        String key = p.idempotencyKey();
        String malformed = malformed(p, line);
        if (malformed != null) {
            return new RuleEvent.ProposalRejected(key,
                    new ProposalRejection(ProposalRejection.Reason.MALFORMED, p.name(), 0, "", malformed));
        }
        if (line == null) {
            line = new DocumentState();
            documents.put(p.name(), line);
        }
        if (line.pending != null && line.pending.proposal().equals(p)) {
            return new RuleEvent.VersionPending(line.pending); // told twice
        }
        for (RuleDocument d : line.accepted.values()) {
            if (d.proposal().equals(p)) {
                return new RuleEvent.VersionAccepted(key, d);
            }
        }
        RuleDocument head = line.latestAccepted();
        boolean onHead = p.parentVersion() == number(head) && p.parentHash().equals(head == null ? "" : head.hash());
        RuleDocument winner = line.pending != null && onHead ? line.pending : head;
        if (winner != null && (!onHead || line.pending != null)) {
            boolean lost = winner.parentVersion() == p.parentVersion() && winner.parentHash().equals(p.parentHash());
            return new RuleEvent.ProposalRejected(key,
                    new ProposalRejection(lost ? ProposalRejection.Reason.LOST : ProposalRejection.Reason.OLD_PARENT,
                            p.name(),
                            winner.version(), winner.author(), winner.hash()));
        } else if (!onHead) {
            return new RuleEvent.ProposalRejected(key,
                    new ProposalRejection(ProposalRejection.Reason.MALFORMED, p.name(), 0, "",
                            "there is no version yet, so it can have no parent"));
        }
        int waiting = line.accepted.tailMap(line.activeVersion, false).size();
        if (waiting >= MAX_INACTIVE_VERSIONS) {
            return new RuleEvent.ProposalRejected(key,
                    new ProposalRejection(ProposalRejection.Reason.BUSY, p.name(), head.version(), "",
                            Integer.toString(waiting)));
        }
        line.pending = RuleDocument.of(p, ++line.highestNumber);
        line.verdicts.clear();
        return new RuleEvent.VersionPending(line.pending);
    }

    private String malformed(RuleProposal p, DocumentState line) {
        if (!NAME.matcher(p.name()).matches()) {
            return "is no name of a document";
        } else if (line == null && documents.size() >= MAX_DOCUMENTS) {
            return "there are " + MAX_DOCUMENTS + " documents already";
        } else if (p.body().length() + p.fallback().length() > MAX_BODY_CHARS) {
            return "has more than " + MAX_BODY_CHARS + " characters";
        }
        return p.author().isBlank() || p.author().length() > MAX_AUTHOR_CHARS
                ? "has no author of 1 to " + MAX_AUTHOR_CHARS + " characters" : null;
    }

    private List<RuleEvent> verdict(LogEntry.VoterVerdict v) {
        DocumentState line = documents.get(v.name());
        if (line == null || line.pending == null || line.pending.version() != v.version()
                || !line.pending.hash().equals(v.hash()) || !voters.contains(v.voter())) {
            return List.of();
        }
        line.verdicts.put(v.voter(), v.objection());
        if (!v.objection().isEmpty()) {
            return List.of(refuse(line, ProposalRejection.Reason.UNREADABLE, v.voter(), v.objection()));
        }
        return line.verdicts.size() == voters.size() ? List.of(accept(line)) : List.of();
    }

    private List<RuleEvent> close(LogEntry.CloseVerdicts c) {
        DocumentState line = documents.get(c.name());
        if (c.leaderEpoch() != leaderEpoch || line == null || line.pending == null
                || line.pending.version() != c.version()) {
            return List.of();
        }
        if (2 * line.verdicts.size() > voters.size()) {
            return List.of(accept(line));
        }
        return List.of(
                refuse(line, ProposalRejection.Reason.UNHEARD, String.join(", ", votersWithoutVerdict(c.name())), ""));
    }

    private static RuleEvent accept(DocumentState line) {
        RuleDocument d = line.pending;
        line.pending = null;
        line.accepted.put(d.version(), d);
        return new RuleEvent.VersionAccepted(d.proposal().idempotencyKey(), d);
    }

    private static RuleEvent refuse(DocumentState line, ProposalRejection.Reason why, String by, String detail) {
        RuleDocument d = line.pending;
        line.pending = null;
        return new RuleEvent.ProposalRejected(d.proposal().idempotencyKey(),
                new ProposalRejection(why, d.name(), d.version(), by, detail));
    }

    private List<RuleEvent> act(LogEntry.ActivateVersion a) {
        DocumentState line = documents.get(a.name());
        if (a.leaderEpoch() != leaderEpoch || line == null || a.version() <= line.activeVersion
                || !line.accepted.containsKey(a.version())) {
            return List.of();
        }
        line.activeVersion = a.version();
        long text = 0;
        int kept = 0;
        for (RuleDocument d : List.copyOf(line.accepted.headMap(line.activeVersion, false).descendingMap().values())) {
            text += d.body().length() + d.fallback().length();
            if (++kept > MAX_SUPERSEDED_VERSIONS || text > MAX_SUPERSEDED_CHARS) {
                line.accepted.remove(d.version());
            }
        }
        return List.of(new RuleEvent.VersionActivated(a.name(), a.version()));
    }

    // ---- what is asked of it ------------------------------------------------------------------------------

    /** How often a voter has come to lead. */
    public long leaderEpoch() {
        return leaderEpoch;
    }

    /** Whether this process of this voter leads. */
    public boolean isLeader(String member, long itsLife) {
        return leader.equals(member) && incarnation == itsLife;
    }

    /** Who leads, or an empty text. */
    public String leader() {
        return leader;
    }

    /** All that vote. */
    public Set<String> voters() {
        return Set.copyOf(voters);
    }

    /** The names of all documents. */
    public List<String> documentNames() {
        return List.copyOf(documents.keySet());
    }

    /** Versions of a document that are kept, the oldest first. */
    public List<RuleDocument> history(String name) {
        DocumentState line = documents.get(name);
        return line == null ? List.of() : List.copyOf(line.accepted.values());
    }

    /** The last accepted version, or null. */
    public RuleDocument latestAccepted(String name) {
        DocumentState line = documents.get(name);
        return line == null ? null : line.latestAccepted();
    }

    /** The version that acts, or 0. */
    public long activeVersion(String name) {
        DocumentState line = documents.get(name);
        return line == null ? 0 : line.activeVersion;
    }

    /** The version that waits for verdicts, or null. */
    public RuleDocument pending(String name) {
        DocumentState line = documents.get(name);
        return line == null ? null : line.pending;
    }

    /** Voters of which no verdict has come on the version that waits for them. */
    public SortedSet<String> votersWithoutVerdict(String name) {
        var silent = new TreeSet<>(voters);
        DocumentState line = documents.get(name);
        if (line == null || line.pending == null) {
            silent.clear();
        } else {
            silent.removeAll(line.verdicts.keySet());
        }
        return silent;
    }

    /** The versions that hold: the one that acts, if any, and those after it. */
    public VersionChain chain(String name) {
        DocumentState line = documents.get(name);
        List<RuleDocument> from = line == null ? List.of()
                : List.copyOf(line.accepted.tailMap(line.activeVersion, true).values());
        return new VersionChain(name, activeVersion(name), number(latestAccepted(name)), from);
    }

    private static long number(RuleDocument d) {
        return d == null ? 0 : d.version();
    }

    // ---- as bytes -----------------------------------------------------------------------------------------

    /** All of it as bytes, for a snapshot of the log. */
    public byte[] takeSnapshot() {
        var to = new ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION).writeLong(leaderEpoch)
                .writeText(leader).writeLong(incarnation).writeLong(documents.size());
        documents.forEach((name, line) -> {
            to.writeText(name).writeLong(line.activeVersion).writeLong(line.highestNumber)
                    .writeLong(line.pending == null ? 0 : 1);
            if (line.pending != null) {
                to.writeDocument(line.pending).writeLong(line.verdicts.size());
                line.verdicts.forEach((m, why) -> to.writeText(m).writeText(why));
            }
            to.writeLong(line.accepted.size());
            line.accepted.values().forEach(to::writeDocument);
        });
        return to.toByteArray();
    }

    /** The one that was saved. */
    public static RuleStateMachine restoreSnapshot(Collection<String> voters, byte[] saved)
            throws CorruptDataException {
        var ledger = new RuleStateMachine(voters);
        var from = new ByteReader(saved).readFormatVersion();
        ledger.leaderEpoch = from.readLong();
        ledger.leader = from.readText();
        ledger.incarnation = from.readLong();
        for (long n = from.readCount(); n > 0; n--) {
            var line = new DocumentState();
            ledger.documents.put(from.readText(), line);
            line.activeVersion = from.readLong();
            line.highestNumber = from.readLong();
            if (from.readLong() == 1) {
                line.pending = from.readDocument();
                for (long v = from.readCount(); v > 0; v--) {
                    line.verdicts.put(from.readText(), from.readText());
                }
            }
            for (long d = from.readCount(); d > 0; d--) {
                RuleDocument document = from.readDocument();
                line.accepted.put(document.version(), document);
            }
        }
        from.expectEnd();
        return ledger;
    }
}
