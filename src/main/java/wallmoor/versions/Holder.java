package wallmoor.versions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wallmoor.versions.Message.Ask;
import wallmoor.versions.Message.Denied;
import wallmoor.versions.Message.Grant;
import wallmoor.versions.Message.Known;
import wallmoor.versions.Message.News;

/**
 * A gatherer's side: what versions it knows and how long it may act on them. Times are microseconds on this process'
 * own monotonic clock, which must go on while the process stands still. Single-threaded; the snapshot is for all to
 * read.
 */
public final class Holder {
    /** Asks that an answer may still come to: older ones give no time any more. */
    private static final int MOST_ASKS = 16;

    private final String name;
    private final long life;
    private final Terms terms;
    private final Map<String, Kind> kinds;
    private final Map<String, TreeMap<Long, Document>> known = new TreeMap<>();
    private final Map<String, Long> acting = new HashMap<>();
    /** When each ask was made that is not answered yet. */
    private final LinkedHashMap<Long, Long> asked = new LinkedHashMap<>();
    private final Map<String, String> unreadable = new TreeMap<>();
    private String denied = "";
    private long seq;
    private long askAt = Long.MIN_VALUE;
    private long until = Long.MIN_VALUE;
    private Snapshot snapshot = new Snapshot(until, Map.of(), Map.of());

    /**
     * One that has no lease yet.
     *
     * @param life  of this process: never the same for two of one name
     * @param kinds of this program, by name
     * @param kept  what the process before it kept of {@link #known()}: its fallbacks hold until more is known
     */
    public Holder(String name, long life, Terms terms, Map<String, Kind> kinds, List<Chain> kept) {
        this.name = name;
        this.life = life;
        this.terms = terms;
        this.kinds = Map.copyOf(kinds);
        learn(kept);
    }

    /** Time goes on: what to ask the leader now, or null. The ask is to be sent at once, and not again. */
    public Ask onTick(long now) {
        return now < askAt ? null : ask(now);
    }

    /** An answer has come. Returns an ask to send at once, which tells the leader what is known now; or null. */
    public Ask onGrant(long now, Grant grant) {
        Long at = grant.life() == life && grant.holder().equals(name) ? asked.remove(grant.seq()) : null;
        if (at == null) {
            return null; // of another process, told twice, or asked so long ago that it is over
        }
        boolean more = learn(grant.chains());
        for (Chain c : grant.chains()) { // what holds must be known before any of it is acted on for longer
            Document last = last(c.name());
            if (c.to() > 0 && (last == null || last.number() < c.to())) {
                denied = "what came of " + c.name() + " " + c.to() + " does not follow from what is known here";
                return null;
            }
        }
        denied = "";
        until = Math.max(until, at + terms.lease());
        snapshot = new Snapshot(until, snapshot.leased(), snapshot.unsure());
        return more ? ask(now) : null;
    }

    /** No lease was given. */
    public void onDenied(Denied answer) {
        if (answer.life() == life && answer.holder().equals(name) && asked.remove(answer.seq()) != null) {
            denied = answer.why();
        }
    }

    /** Something new holds. Returns an ask to send at once, which tells the leader that it is known here; or null. */
    public Ask onNews(long now, News news) {
        return learn(news.chains()) ? ask(now) : null;
    }

    /** What to act on; it changes only in the events above. */
    public Snapshot snapshot() {
        return snapshot;
    }

    /** What is known, to be kept over a restart. */
    public List<Chain> known() {
        return known.entrySet().stream().map(e -> new Chain(e.getKey(), acting.getOrDefault(e.getKey(), 0L),
                e.getValue().lastKey(), List.copyOf(e.getValue().values()))).toList();
    }

    /** Documents of which a version that holds can't be read by this program, and why. */
    public Map<String, String> unreadable() {
        return Map.copyOf(unreadable);
    }

    /** Why the leader gave no lease when last asked, or an empty text. */
    public String denied() {
        return denied;
    }

    private Ask ask(long now) {
        askAt = now + terms.renew();
        asked.put(++seq, now);
        if (asked.size() > MOST_ASKS) {
            asked.remove(asked.keySet().iterator().next());
        }
        var its = new HashMap<String, Known>();
        known.forEach(
                (n, versions) -> its.put(n, new Known(versions.lastKey(), versions.lastEntry().getValue().hash())));
        return new Ask(name, life, seq, its);
    }

    private Document last(String of) {
        var versions = known.get(of);
        return versions == null ? null : versions.lastEntry().getValue();
    }

    /** Whether a version has come to be known that was not. */
    private boolean learn(List<Chain> chains) {
        boolean more = false;
        boolean acts = false;
        for (Chain c : chains) {
            Document last = last(c.name());
            if (!c.documents().isEmpty() && c.to() > (last == null ? 0 : last.number()) && c.linked() && follows(c)) {
                var versions = known.computeIfAbsent(c.name(), n -> new TreeMap<>());
                c.documents().forEach(d -> versions.put(d.number(), d));
                more = true;
            }
            var versions = known.getOrDefault(c.name(), new TreeMap<>());
            if (versions.containsKey(c.from()) && c.from() > acting.getOrDefault(c.name(), 0L)) {
                acting.put(c.name(), c.from());
                acts = true;
            }
            versions.headMap(acting.getOrDefault(c.name(), 0L), false).clear();
        }
        if (more || acts) {
            publish();
        }
        return more;
    }

    /** Whether what is known is not other than what came. */
    private boolean follows(Chain c) {
        var versions = known.getOrDefault(c.name(), new TreeMap<>());
        return c.documents().stream().allMatch(d -> versions.getOrDefault(d.number(), d).equals(d))
                && (versions.isEmpty() || c.from() >= versions.firstKey()
                        || c.documents().contains(versions.firstEntry().getValue()));
    }

    private void publish() {
        var leased = new HashMap<String, Act>();
        var unsure = new HashMap<String, Act>();
        unreadable.clear();
        known.forEach((n, versions) -> {
            long from = acting.getOrDefault(n, 0L);
            long to = versions.lastKey();
            var bodies = new ArrayList<Body>();
            var fallbacks = new ArrayList<Body>();
            Kind kind = kinds.get(n);
            for (Document d : versions.values()) {
                try {
                    if (kind == null) {
                        throw new UnreadableException("this program has no kind " + n);
                    }
                    bodies.add(kind.check(d));
                    fallbacks.add(kind.read(d.fallback()));
                } catch (UnreadableException e) {
                    unreadable.put(n, name + " cannot read " + n + " " + d.number() + ": " + e.getMessage());
                }
            }
            if (fallbacks.isEmpty()) {
                return;
            }
            var least = new Act(Act.Basis.FALLBACK, from, to, fallbacks.stream().reduce(kind::meet).orElseThrow());
            unsure.put(n, least);
            // what was never told to act acts nowhere, not even what it gives beside a fallback
            leased.put(n, from == 0 || unreadable.containsKey(n) ? least : new Act(from == to ? Act.Basis.VERSION
                    : Act.Basis.CAREFUL, from, to, bodies.stream().reduce(kind::meet).orElseThrow()));
        });
        snapshot = new Snapshot(until, leased, unsure);
    }
}
