package wallmoor.rules;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wallmoor.rules.LeaseMessage.LeaseDenial;
import wallmoor.rules.LeaseMessage.LeaseGrant;
import wallmoor.rules.LeaseMessage.LeaseRequest;
import wallmoor.rules.LeaseMessage.VersionUpdate;

/**
 * The holder's side of leases (Gray and Cheriton 1989): a gatherer's lease, renewed well before it expires, and the
 * versions that it knows. Times are microseconds on this process's own monotonic clock, which must go on while the
 * process is paused. Single-threaded; any thread may read a {@link #snapshot()}.
 */
public final class LeaseHolder {
    /** Requests that may still be answered: an answer to an older one would grant no time any more. */
    private static final int MAX_OPEN_REQUESTS = 16;

    private final String name;
    private final long incarnation;
    private final LeaseTiming timing;
    private final RuleEvaluator evaluator;
    private final KnownVersions known = new KnownVersions();
    /** By sequence number, when each unanswered request was made. */
    private final LinkedHashMap<Long, Long> openRequests = new LinkedHashMap<>();
    private Map<String, String> invalidDocuments = Map.of();
    private String denialReason = "";
    private long sequence;
    private long nextRequestAt = Long.MIN_VALUE;
    private long leaseExpiry = Long.MIN_VALUE;
    private RuleSnapshot snapshot = new RuleSnapshot(leaseExpiry, Map.of(), Map.of());

    /**
     * Creates a holder without a lease.
     *
     * @param incarnation of this process: never the same for two processes of one name
     * @param schemas     of the documents that this program reads, by name
     * @param stored      {@link #knownVersions()} of the process before: their fallbacks hold until more is known
     */
    public LeaseHolder(String name, long incarnation, LeaseTiming timing, Map<String, DocumentSchema> schemas,
            List<VersionChain> stored) {
        this.name = name;
        this.incarnation = incarnation;
        this.timing = timing;
        evaluator = new RuleEvaluator(name, schemas);
        learn(stored);
    }

    /** Time has passed. Returns a request to send to the leader at once, and never again later; or null. */
    public LeaseRequest onTick(long now) {
        return now < nextRequestAt ? null : newRequest(now);
    }

    /**
     * The leader has granted a lease, which counts from when it was requested. Returns a request to send at once that
     * tells the leader of versions just learned; or null.
     */
    public LeaseRequest onGrant(long now, LeaseGrant grant) {
        Long requestedAt = takeOpenRequest(grant.holder(), grant.incarnation(), grant.sequence());
        if (requestedAt == null) {
            return null; // for another process, a duplicate, or requested so long ago that the lease is over
        }
        boolean newVersion = learn(grant.chains());
        for (VersionChain chain : grant.chains()) { // the lease holds only for who knows every version in effect
            RuleDocument latest = known.latest(chain.name());
            if (chain.latestVersion() > 0 && (latest == null || latest.version() < chain.latestVersion())) {
                denialReason = "what came of " + chain.name() + " " + chain.latestVersion()
                        + " does not follow from what is known here";
                return null;
            }
        }
        denialReason = "";
        leaseExpiry = Math.max(leaseExpiry, requestedAt + timing.holderDuration());
        snapshot = new RuleSnapshot(leaseExpiry, snapshot.underLease(), snapshot.withoutLease());
        return newVersion ? newRequest(now) : null;
    }

    /** The leader has denied a lease. */
    public void onDenial(LeaseDenial denial) {
        if (takeOpenRequest(denial.holder(), denial.incarnation(), denial.sequence()) != null) {
            denialReason = denial.reason();
        }
    }

    /** A version was accepted or activated. Returns a request to send at once that tells the leader; or null. */
    public LeaseRequest onVersionUpdate(long now, VersionUpdate update) {
        return learn(update.chains()) ? newRequest(now) : null;
    }

    /** Returns what to act on. It changes only in the events above. */
    public RuleSnapshot snapshot() {
        return snapshot;
    }

    /** Returns the known versions of each document, to be stored over a restart. */
    public List<VersionChain> knownVersions() {
        return known.chains();
    }

    /** Returns, by document's name, why this program can't read one of its versions in effect. */
    public Map<String, String> invalidDocuments() {
        return Map.copyOf(invalidDocuments);
    }

    /** Returns why the leader's last answer gave no lease; empty where it gave one. */
    public String denialReason() {
        return denialReason;
    }

    /** Returns when the request was made, and forgets it; null if it is not an open one of this process. */
    private Long takeOpenRequest(String holder, long itsIncarnation, long itsSequence) {
        return itsIncarnation == incarnation && holder.equals(name) ? openRequests.remove(itsSequence) : null;
    }

    private LeaseRequest newRequest(long now) {
        nextRequestAt = now + timing.renewalInterval();
        openRequests.put(++sequence, now);
        if (openRequests.size() > MAX_OPEN_REQUESTS) {
            openRequests.remove(openRequests.keySet().iterator().next());
        }
        return new LeaseRequest(name, incarnation, sequence, known.latestOfEach());
    }

    /** Learns what continues the known versions; returns whether one is known now that was not. */
    private boolean learn(List<VersionChain> chains) {
        KnownVersions.Learned learned = known.learn(chains);
        if (learned.changed()) {
            RuleEvaluator.Evaluation evaluation = evaluator.evaluate(known.chains());
            invalidDocuments = evaluation.invalid();
            snapshot = new RuleSnapshot(leaseExpiry, evaluation.underLease(), evaluation.withoutLease());
        }
        return learned.newVersion();
    }
}
