package wallmoor.decision;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * What this gatherer knows of one worker: its entry in the list, its parts in flight, its latency and failures, and
 * what other gatherers told of it. Times are microseconds of the caller's clock. The modules of the policy read and
 * change it; {@link WorkerTable} holds it.
 */
final class TrackedWorker {
    final String id;

    // ---- as the list has it ----

    int zone;
    int cell;
    WorkerStatus status = WorkerStatus.UP;
    /** Capacity in comparison with other workers. */
    double size = 1;
    /** When its slow start began; {@link Absent#VALUE} for long ago. */
    long slowStartFrom = Absent.VALUE;

    // ---- parts ----

    /** This gatherer's attempts in flight, oldest first. */
    final Set<TrackedAttempt> inFlight = new LinkedHashSet<>();
    /** Parts sent lately, also while it was not known to be in slow start; null before the first. */
    private SlidingWindowSum sentParts;
    /** When a part was sent or ended last. */
    long lastUsedAt;

    // ---- latency ----

    /** Smoothed latency of a part of mean work (microseconds). */
    final MovingAverage latency = new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT);
    /** Parts of all gatherers in flight when the parts of those samples were sent. */
    final MovingAverage inFlightAtSend = new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT);
    final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
    /** When it last answered this gatherer. */
    long answeredAt;
    /** When another gatherer last told of an answer. */
    long peerAnsweredAt;

    // ---- outlier detection ----

    final DecayingRate failureRate = new DecayingRate(TuningParameters.FAILURE_HALF_LIFE);
    boolean ejected;
    /** From when on a part may be sent as the trial of a half-open circuit. */
    long halfOpenAt;
    /** Trials since the ejection. */
    int halfOpenTrials;
    /** It could not be connected to, broke its connection, or rejected a part. */
    boolean unreachable;
    /** Its process has gone, as far as can be told: when it answers again it has just started. */
    boolean processLost;

    // ---- gossip ----

    /** What other gatherers, by position, have told. */
    final Map<Integer, PeerReport> peerReports = new LinkedHashMap<>();
    /** When this gatherer last told of it. */
    long gossipedAt;

    /** A worker of which nothing is known but its id. */
    TrackedWorker(String id) {
        this.id = id;
    }

    /** A part goes out; it counts over this window, which is the same at each call (microseconds). */
    void recordSent(long now, long window) {
        if (sentParts == null) {
            sentParts = new SlidingWindowSum(window);
        }
        sentParts.add(now, 1);
    }

    /** Parts sent within the window that ends now. */
    double sentWithinWindow(long now) {
        return sentParts == null ? 0 : sentParts.sum(now);
    }

    /** Another process has taken its place: what was learnt of the one before no longer holds. */
    void forgetProcess() {
        latency.reset();
        ejected = false;
        failureRate.reset();
        markReachable();
    }

    /** It has answered, or a new process has started. */
    void markReachable() {
        unreachable = false;
        processLost = false;
        halfOpenTrials = 0;
    }

    /** Parts in flight here: this gatherer's, and what others have told lately. */
    double totalInFlight(long now) {
        return peerReports.isEmpty() ? inFlight.size()
                : inFlight.size() + peerReports.values().stream().filter(r -> r.expiresAt() > now)
                        .mapToInt(PeerReport::inFlight).sum();
    }

    /** How many gatherers told that they ejected it since it last answered this one. */
    long peersThatEjected(long now) {
        return peerReports.isEmpty() ? 0
                : peerReports.values().stream()
                        .filter(r -> r.ejected() && r.expiresAt() > now && r.reportedAt() > answeredAt).count();
    }

    /** When an answer of it was last heard of, by this gatherer or by one that told of it. */
    long lastAnsweredAt() {
        return Math.max(answeredAt, peerAnsweredAt);
    }
}
