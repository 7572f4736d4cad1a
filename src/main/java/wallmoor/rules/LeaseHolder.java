package wallmoor.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wallmoor.rules.LeaseMessage.KnownVersion;
import wallmoor.rules.LeaseMessage.LeaseDenial;
import wallmoor.rules.LeaseMessage.LeaseGrant;
import wallmoor.rules.LeaseMessage.LeaseRequest;
import wallmoor.rules.LeaseMessage.VersionUpdate;

/**
 * A gatherer's side: what versions it knows and how long it may act on them. Times are microseconds on this process'
 * own monotonic clock, which must go on while the process stands still. Single-threaded; the snapshot is for all to
 * read.
 */
public final class LeaseHolder {
    /** Asks that an answer may still come to: older ones give no time any more. */
    private static final int MAX_OPEN_REQUESTS = 16;

    private final String name;
    private final long incarnation;
    private final LeaseTiming timing;
    private final Map<String, DocumentSchema> schemas;
    private final Map<String, TreeMap<Long, RuleDocument>> knownVersions = new TreeMap<>();
    private final Map<String, Long> activeVersions = new HashMap<>();
    /** When each ask was made that is not answered yet. */
    private final LinkedHashMap<Long, Long> openRequests = new LinkedHashMap<>();
    private final Map<String, String> invalidDocuments = new TreeMap<>();
    private String denialReason = "";
    private long sequence;
    private long nextRequestAt = Long.MIN_VALUE;
    private long leaseExpiry = Long.MIN_VALUE;
    private RuleSnapshot snapshot = new RuleSnapshot(leaseExpiry, Map.of(), Map.of());

    /**
     * One that has no lease yet.
     *
     * @param life  of this process: never the same for two of one name
     * @param kinds of this program, by name
     * @param kept  what the process before it kept of {@link #knownVersions()}: its fallbacks hold until more is known
     */
    public LeaseHolder(String name, long life, LeaseTiming terms, Map<String, DocumentSchema> kinds,
            List<VersionChain> kept) {
        this.name = name;
        this.incarnation = life;
        this.timing = terms;
        this.schemas = Map.copyOf(kinds);
        learn(kept);
    }

    /** Time goes on: what to ask the leader now, or null. The ask is to be sent at once, and not again. */
    public LeaseRequest onTick(long now) {
        return now < nextRequestAt ? null : newRequest(now);
    }

    /** An answer has come. Returns an ask to send at once, which tells the leader what is known now; or null. */
    public LeaseRequest onGrant(long now, LeaseGrant grant) {
        Long at = grant.incarnation() == incarnation && grant.holder().equals(name)
                ? openRequests.remove(grant.sequence()) : null;
        if (at == null) {
            return null; // of another process, told twice, or asked so long ago that it is over
        }
        boolean more = learn(grant.chains());
        for (VersionChain c : grant.chains()) { // what holds must be known before any of it is acted on for longer
            RuleDocument last = latestKnown(c.name());
            if (c.latestVersion() > 0 && (last == null || last.version() < c.latestVersion())) {
                denialReason = "what came of " + c.name() + " " + c.latestVersion()
                        + " does not follow from what is known here";
                return null;
            }
        }
        denialReason = "";
        leaseExpiry = Math.max(leaseExpiry, at + timing.holderDuration());
        snapshot = new RuleSnapshot(leaseExpiry, snapshot.underLease(), snapshot.withoutLease());
        return more ? newRequest(now) : null;
    }

    /** No lease was given. */
    public void onDenial(LeaseDenial answer) {
        if (answer.incarnation() == incarnation && answer.holder().equals(name)
                && openRequests.remove(answer.sequence()) != null) {
            denialReason = answer.reason();
        }
    }

    /** Something new holds. Returns an ask to send at once, which tells the leader that it is known here; or null. */
    public LeaseRequest onVersionUpdate(long now, VersionUpdate news) {
        return learn(news.chains()) ? newRequest(now) : null;
    }

    /** What to act on; it changes only in the events above. */
    public RuleSnapshot snapshot() {
        return snapshot;
    }

    /** What is known, to be kept over a restart. */
    public List<VersionChain> knownVersions() {
        return knownVersions.entrySet().stream()
                .map(e -> new VersionChain(e.getKey(), activeVersions.getOrDefault(e.getKey(), 0L),
                        e.getValue().lastKey(), List.copyOf(e.getValue().values())))
                .toList();
    }

    /** Documents of which a version that holds can't be read by this program, and why. */
    public Map<String, String> invalidDocuments() {
        return Map.copyOf(invalidDocuments);
    }

    /** Why the leader gave no lease when last asked, or an empty text. */
    public String denialReason() {
        return denialReason;
    }

    private LeaseRequest newRequest(long now) {
        nextRequestAt = now + timing.renewalInterval();
        openRequests.put(++sequence, now);
        if (openRequests.size() > MAX_OPEN_REQUESTS) {
            openRequests.remove(openRequests.keySet().iterator().next());
        }
        var its = new HashMap<String, KnownVersion>();
        knownVersions.forEach(
                (n, versions) -> its.put(n,
                        new KnownVersion(versions.lastKey(), versions.lastEntry().getValue().hash())));
        return new LeaseRequest(name, incarnation, sequence, its);
    }

    private RuleDocument latestKnown(String of) {
        var versions = knownVersions.get(of);
        return versions == null ? null : versions.lastEntry().getValue();
    }

    /** Whether a version has come to be known that was not. */
    private boolean learn(List<VersionChain> chains) {
        boolean more = false;
        boolean acts = false;
        for (VersionChain c : chains) {
            RuleDocument last = latestKnown(c.name());
            if (!c.documents().isEmpty() && c.latestVersion() > (last == null ? 0 : last.version()) && c.isLinked()
                    && follows(c)) {
                var versions = knownVersions.computeIfAbsent(c.name(), n -> new TreeMap<>());
                c.documents().forEach(d -> versions.put(d.version(), d));
                more = true;
            }
            var versions = knownVersions.getOrDefault(c.name(), new TreeMap<>());
            if (versions.containsKey(c.activeVersion())
                    && c.activeVersion() > activeVersions.getOrDefault(c.name(), 0L)) {
                activeVersions.put(c.name(), c.activeVersion());
                acts = true;
            }
            versions.headMap(activeVersions.getOrDefault(c.name(), 0L), false).clear();
        }
        if (more || acts) {
            publish();
        }
        return more;
    }

    /** Whether what is known is not other than what came. */
    private boolean follows(VersionChain c) {
        var versions = knownVersions.getOrDefault(c.name(), new TreeMap<>());
        return c.documents().stream().allMatch(d -> versions.getOrDefault(d.version(), d).equals(d))
                && (versions.isEmpty() || c.activeVersion() >= versions.firstKey()
                        || c.documents().contains(versions.firstEntry().getValue()));
    }

    private void publish() {
        var leased = new HashMap<String, EffectiveRule>();
        var unsure = new HashMap<String, EffectiveRule>();
        invalidDocuments.clear();
        knownVersions.forEach((n, versions) -> {
            long from = activeVersions.getOrDefault(n, 0L);
            long to = versions.lastKey();
            var bodies = new ArrayList<RuleBody>();
            var fallbacks = new ArrayList<RuleBody>();
            DocumentSchema kind = schemas.get(n);
            for (RuleDocument d : versions.values()) {
                try {
                    if (kind == null) {
                        throw new InvalidRuleException("this program has no kind " + n);
                    }
                    bodies.add(kind.validate(d));
                    fallbacks.add(kind.parse(d.fallback()));
                } catch (InvalidRuleException e) {
                    invalidDocuments.put(n, name + " cannot read " + n + " " + d.version() + ": " + e.getMessage());
                }
            }
            if (fallbacks.isEmpty()) {
                return;
            }
            var least = new EffectiveRule(EffectiveRule.Basis.FALLBACK, from, to,
                    fallbacks.stream().reduce(kind::meet).orElseThrow());
            unsure.put(n, least);
            // what was never told to act acts nowhere, not even what it gives beside a fallback
            leased.put(n,
                    from == 0 || invalidDocuments.containsKey(n) ? least
                            : new EffectiveRule(from == to ? EffectiveRule.Basis.VERSION
                                    : EffectiveRule.Basis.CAREFUL, from, to,
                                    bodies.stream().reduce(kind::meet).orElseThrow()));
        });
        snapshot = new RuleSnapshot(leaseExpiry, leased, unsure);
    }
}
