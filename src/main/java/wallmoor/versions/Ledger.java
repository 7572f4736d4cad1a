package wallmoor.versions;

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
public final class Ledger {
    /** Characters of a body and its fallback together: the summaries of 10,000 sites with a short hash each fit. */
    public static final int MOST_TEXT = 1 << 19;
    /** Accepted versions that don't act yet: a gatherer keeps and meets them all. */
    static final int MOST_WAITING = 4;
    /** Versions kept of a document that act no more, for rollbacks and to tell what went before. */
    private static final int KEEP = 32;
    /** Characters of them; with those that hold, six documents are 21 Mi at worst, a third of a gatherer of 64 MB. */
    private static final int KEEP_TEXT = 1 << 20;
    /** Documents: there are four kinds, and room for two of later programs. */
    private static final int MOST_NAMES = 6;
    private static final int MOST_AUTHOR = 256;
    private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9_-]{0,31}");

    /** One document. */
    static final class Line {
        final TreeMap<Long, Document> accepted = new TreeMap<>();
        /** What each voter said of the pending one: empty where it can read it. */
        final TreeMap<String, String> verdicts = new TreeMap<>();
        Document pending;
        long acting;
        /** The highest number ever given. */
        long last;

        Document head() {
            return accepted.isEmpty() ? null : accepted.lastEntry().getValue();
        }
    }

    private final Set<String> voters;
    private final Map<String, Line> lines = new TreeMap<>();
    private long epoch;
    private String leader = "";
    private long life;

    /** An empty one. {@code voters} are the names of all that vote, up or not. */
    public Ledger(Collection<String> voters) {
        this.voters = new TreeSet<>(voters);
        if (voters.isEmpty() || this.voters.size() != voters.size()) {
            throw new IllegalArgumentException("voters: each needs a name of its own");
        }
    }

    /** Takes the next entry; what came of it. An entry that is not current any more comes to nothing. */
    public List<Effect> apply(Entry entry) {
        if (entry instanceof Entry.Propose p) {
            return List.of(propose(p.proposal()));
        } else if (entry instanceof Entry.Verdict v) {
            return verdict(v);
        } else if (entry instanceof Entry.Close c) {
            return close(c);
        } else if (entry instanceof Entry.Lead l) {
            leader = l.member();
            life = l.life();
            return List.of(new Effect.Led(leader, life, ++epoch));
        }
        return act((Entry.Act) entry);
    }

    private Effect propose(Proposal p) {
        Line line = lines.get(p.name());
        String key = p.key();
        String malformed = malformed(p, line);
        if (malformed != null) {
            return new Effect.Refused(key, new Refusal(Refusal.Reason.MALFORMED, p.name(), 0, "", malformed));
        }
        if (line == null) {
            line = new Line();
            lines.put(p.name(), line);
        }
        if (line.pending != null && line.pending.proposal().equals(p)) {
            return new Effect.Pending(line.pending); // told twice
        }
        for (Document d : line.accepted.values()) {
            if (d.proposal().equals(p)) {
                return new Effect.Accepted(key, d);
            }
        }
        Document head = line.head();
        boolean onHead = p.parentNumber() == number(head) && p.parentHash().equals(head == null ? "" : head.hash());
        Document winner = line.pending != null && onHead ? line.pending : head;
        if (winner != null && (!onHead || line.pending != null)) {
            boolean lost = winner.parentNumber() == p.parentNumber() && winner.parentHash().equals(p.parentHash());
            return new Effect.Refused(key, new Refusal(lost ? Refusal.Reason.LOST : Refusal.Reason.OLD_PARENT, p.name(),
                    winner.number(), winner.author(), winner.hash()));
        } else if (!onHead) {
            return new Effect.Refused(key, new Refusal(Refusal.Reason.MALFORMED, p.name(), 0, "",
                    "there is no version yet, so it can have no parent"));
        }
        int waiting = line.accepted.tailMap(line.acting, false).size();
        if (waiting >= MOST_WAITING) {
            return new Effect.Refused(key,
                    new Refusal(Refusal.Reason.BUSY, p.name(), head.number(), "", Integer.toString(waiting)));
        }
        line.pending = Document.of(p, ++line.last);
        line.verdicts.clear();
        return new Effect.Pending(line.pending);
    }

    private String malformed(Proposal p, Line line) {
        if (!NAME.matcher(p.name()).matches()) {
            return "is no name of a document";
        } else if (line == null && lines.size() >= MOST_NAMES) {
            return "there are " + MOST_NAMES + " documents already";
        } else if (p.body().length() + p.fallback().length() > MOST_TEXT) {
            return "has more than " + MOST_TEXT + " characters";
        }
        return p.author().isBlank() || p.author().length() > MOST_AUTHOR
                ? "has no author of 1 to " + MOST_AUTHOR + " characters" : null;
    }

    private List<Effect> verdict(Entry.Verdict v) {
        Line line = lines.get(v.name());
        if (line == null || line.pending == null || line.pending.number() != v.number()
                || !line.pending.hash().equals(v.hash()) || !voters.contains(v.member())) {
            return List.of();
        }
        line.verdicts.put(v.member(), v.why());
        if (!v.why().isEmpty()) {
            return List.of(refuse(line, Refusal.Reason.UNREADABLE, v.member(), v.why()));
        }
        return line.verdicts.size() == voters.size() ? List.of(accept(line)) : List.of();
    }

    private List<Effect> close(Entry.Close c) {
        Line line = lines.get(c.name());
        if (c.epoch() != epoch || line == null || line.pending == null || line.pending.number() != c.number()) {
            return List.of();
        }
        if (2 * line.verdicts.size() > voters.size()) {
            return List.of(accept(line));
        }
        return List.of(refuse(line, Refusal.Reason.UNHEARD, String.join(", ", silent(c.name())), ""));
    }

    private static Effect accept(Line line) {
        Document d = line.pending;
        line.pending = null;
        line.accepted.put(d.number(), d);
        return new Effect.Accepted(d.proposal().key(), d);
    }

    private static Effect refuse(Line line, Refusal.Reason why, String by, String detail) {
        Document d = line.pending;
        line.pending = null;
        return new Effect.Refused(d.proposal().key(), new Refusal(why, d.name(), d.number(), by, detail));
    }

    private List<Effect> act(Entry.Act a) {
        Line line = lines.get(a.name());
        if (a.epoch() != epoch || line == null || a.number() <= line.acting || !line.accepted.containsKey(a.number())) {
            return List.of();
        }
        line.acting = a.number();
        long text = 0;
        int kept = 0;
        for (Document d : List.copyOf(line.accepted.headMap(line.acting, false).descendingMap().values())) {
            text += d.body().length() + d.fallback().length();
            if (++kept > KEEP || text > KEEP_TEXT) {
                line.accepted.remove(d.number());
            }
        }
        return List.of(new Effect.Acts(a.name(), a.number()));
    }

    // ---- what is asked of it ------------------------------------------------------------------------------

    /** How often a voter has come to lead. */
    public long epoch() {
        return epoch;
    }

    /** Whether this process of this voter leads. */
    public boolean leads(String member, long itsLife) {
        return leader.equals(member) && life == itsLife;
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
    public List<String> names() {
        return List.copyOf(lines.keySet());
    }

    /** Versions of a document that are kept, the oldest first. */
    public List<Document> history(String name) {
        Line line = lines.get(name);
        return line == null ? List.of() : List.copyOf(line.accepted.values());
    }

    /** The last accepted version, or null. */
    public Document head(String name) {
        Line line = lines.get(name);
        return line == null ? null : line.head();
    }

    /** The version that acts, or 0. */
    public long acting(String name) {
        Line line = lines.get(name);
        return line == null ? 0 : line.acting;
    }

    /** The version that waits for verdicts, or null. */
    public Document pending(String name) {
        Line line = lines.get(name);
        return line == null ? null : line.pending;
    }

    /** Voters of which no verdict has come on the version that waits for them. */
    public SortedSet<String> silent(String name) {
        var silent = new TreeSet<>(voters);
        Line line = lines.get(name);
        if (line == null || line.pending == null) {
            silent.clear();
        } else {
            silent.removeAll(line.verdicts.keySet());
        }
        return silent;
    }

    /** The versions that hold: the one that acts, if any, and those after it. */
    public Chain chain(String name) {
        Line line = lines.get(name);
        List<Document> from = line == null ? List.of() : List.copyOf(line.accepted.tailMap(line.acting, true).values());
        return new Chain(name, acting(name), number(head(name)), from);
    }

    private static long number(Document d) {
        return d == null ? 0 : d.number();
    }

    // ---- as bytes -----------------------------------------------------------------------------------------

    /** All of it as bytes, for a snapshot of the log. */
    public byte[] save() {
        var to = new Forms.Writer().number(Forms.FORM).number(epoch).text(leader).number(life).number(lines.size());
        lines.forEach((name, line) -> {
            to.text(name).number(line.acting).number(line.last).number(line.pending == null ? 0 : 1);
            if (line.pending != null) {
                to.document(line.pending).number(line.verdicts.size());
                line.verdicts.forEach((m, why) -> to.text(m).text(why));
            }
            to.number(line.accepted.size());
            line.accepted.values().forEach(to::document);
        });
        return to.bytes();
    }

    /** The one that was saved. */
    public static Ledger restore(Collection<String> voters, byte[] saved) throws DamagedException {
        var ledger = new Ledger(voters);
        var from = new Forms.Reader(saved).form();
        ledger.epoch = from.number();
        ledger.leader = from.text();
        ledger.life = from.number();
        for (long n = from.count(); n > 0; n--) {
            var line = new Line();
            ledger.lines.put(from.text(), line);
            line.acting = from.number();
            line.last = from.number();
            if (from.number() == 1) {
                line.pending = from.document();
                for (long v = from.count(); v > 0; v--) {
                    line.verdicts.put(from.text(), from.text());
                }
            }
            for (long d = from.count(); d > 0; d--) {
                Document document = from.document();
                line.accepted.put(document.number(), document);
            }
        }
        from.end();
        return ledger;
    }
}
