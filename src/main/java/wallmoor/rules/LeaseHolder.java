package wallmoor.rules;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wallmoor.rules.LeaseMessage.LeaseDenial;
import wallmoor.rules.LeaseMessage.LeaseGrant;
import wallmoor.rules.LeaseMessage.LeaseRequest;
import wallmoor.rules.LeaseMessage.VersionUpdate;

/**
 * The holder's side of the lease protocol (Gray and Cheriton 1989): a gatherer's lease, which is renewed well before it
 * expires, and the versions that the gatherer knows. Times are microseconds on this process's own monotonic clock,
 * which must advance while the process is paused. Single-threaded; any thread may read the returned snapshots.
 */
public final class LeaseHolder {
    /** Unanswered requests that are remembered; a lease granted on an older one would be over already. */
    private static final int MAX_OPEN_REQUESTS = 16;

    private final String name;
    private final long incarnation;
    private final LeaseTiming timing;
    private final RuleEvaluator evaluator;
    private final KnownVersions known = new KnownVersions();
    /** By sequence number, the time at which each unanswered request was made. */
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
     * @param name        name of this gatherer
     * @param incarnation number of this process; must differ between two processes of the same name
     * @param timing      durations of the lease protocol
     * @param schemas     schemas of the documents that this program reads, by document name
     * @param stored      {@link #knownVersions()} of the previous process; their fallbacks are in effect until a lease
     *                    is granted
     */
    public LeaseHolder(String name, long incarnation, LeaseTiming timing, Map<String, DocumentSchema> schemas,
            List<VersionChain> stored) {
        this.name = name;
        this.incarnation = incarnation;
        this.timing = timing;
        evaluator = new RuleEvaluator(name, schemas);
        learn(stored);
    }

    /**
     * Handles a timer tick. Returns a lease request if one is due, or null. The caller sends it to the leader at once
     * and does not resend it.
     */
    public LeaseRequest onTick(long now) {
        return now < nextRequestAt ? null : newRequest(now);
    }

    /**
     * Handles a granted lease, whose duration counts from the time of its request. Returns a request to send at once
     * that reports newly learned versions to the leader, or null if there are none.
     */
    public LeaseRequest onGrant(long now, LeaseGrant grant) {
        Long requestedAt = takeOpenRequest(grant.holder(), grant.incarnation(), grant.sequence());
        if (requestedAt == null) {
            return null; // for another process, a duplicate, or a request so old that its lease is over
        }
        boolean hasNewVersion = learn(grant.chains());
        for (VersionChain chain : grant.chains()) { // the lease is valid only if every version in effect is known here
            RuleDocument latest = known.latest(chain.name());
            if (chain.latestVersion() > 0 && (latest == null || latest.version() < chain.latestVersion())) {
                denialReason = "the leader's versions of " + chain.name() + " up to " + chain.latestVersion()
                        + " do not continue the versions known here, of which the latest is "
                        + (latest == null ? 0 : latest.version());
                return null;
            }
        }
        denialReason = "";
        leaseExpiry = Math.max(leaseExpiry, requestedAt + timing.holderDuration());
        snapshot = new RuleSnapshot(leaseExpiry, snapshot.underLease(), snapshot.withoutLease());
        return hasNewVersion ? newRequest(now) : null;
    }

    /** Handles a denied lease. */
    public void onDenial(LeaseDenial denial) {
        if (takeOpenRequest(denial.holder(), denial.incarnation(), denial.sequence()) != null) {
            denialReason = denial.reason();
        }
    }

    /**
     * Handles the leader's notice that a version was accepted or activated. Returns a request to send at once that
     * reports newly learned versions to the leader, or null if there are none.
     */
    public LeaseRequest onVersionUpdate(long now, VersionUpdate update) {
        return learn(update.chains()) ? newRequest(now) : null;
    }

    /** Returns the rules in effect. They change only when one of the handlers above is called. */
    public RuleSnapshot snapshot() {
        return snapshot;
    }

    /** Returns the known versions of each document, which the caller stores for the next process. */
    public List<VersionChain> knownVersions() {
        return known.chains();
    }

    /** Returns, by document name, why this program can't read one of the versions in effect. */
    public Map<String, String> invalidDocuments() {
        return Map.copyOf(invalidDocuments);
    }

    /** Returns why the leader's last response gave no lease; empty if it gave one. */
    public String denialReason() {
        return denialReason;
    }

    /** Removes an unanswered request of this process. Returns when it was made, or null if there is no such request. */
    private Long takeOpenRequest(String holder, long requestIncarnation, long requestSequence) {
        return requestIncarnation == incarnation && holder.equals(name) ? openRequests.remove(requestSequence) : null;
    }

    private LeaseRequest newRequest(long now) {
        nextRequestAt = now + timing.renewalInterval();
        openRequests.put(++sequence, now);
        if (openRequests.size() > MAX_OPEN_REQUESTS) {
            openRequests.remove(openRequests.keySet().iterator().next());
        }
        return new LeaseRequest(name, incarnation, sequence, known.latestOfEach());
    }

    /** Adds the chains that continue the known versions. Returns whether a version was added. */
    private boolean learn(List<VersionChain> chains) {
        KnownVersions.Learned learned = known.learn(chains);
        if (learned.hasChanged()) {
            RuleEvaluator.Evaluation evaluation = evaluator.evaluate(known.chains());
            invalidDocuments = evaluation.invalid();
            snapshot = new RuleSnapshot(leaseExpiry, evaluation.underLease(), evaluation.withoutLease());
        }
        return learned.hasNewVersion();
    }
}
