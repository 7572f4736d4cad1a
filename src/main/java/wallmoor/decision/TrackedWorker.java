package wallmoor.decision;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * This gatherer's state of one worker: its entry in the worker list, its parts in flight, its latency and failures, and
 * the reports of other gatherers. Times are microseconds of the caller's clock. The modules of the policy read and
 * update it; {@link WorkerTable} owns it.
 */
final class TrackedWorker {
    final String id;

    // ---- from the worker list ----

    int zone;
    int cell;
    WorkerStatus status = WorkerStatus.UP;
    /** Capacity relative to other workers. */
    double size = 1;
    /** When the worker's slow start began; {@link Absent#VALUE} for long ago. */
    long slowStartFrom = Absent.VALUE;

    // ---- parts ----

    /** This gatherer's attempts in flight, oldest first. */
    final Set<TrackedAttempt> inFlight = new LinkedHashSet<>();
    /** Parts sent recently, counted also while the worker was not known to be in slow start; null before the first. */
    private SlidingWindowSum sentParts;
    /** When a part was last sent or ended. */
    long lastUsedAt;

    // ---- latency ----

    /** The smoothed latency of a part of mean work (microseconds). */
    final MovingAverage latency = new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT);
    /** The smoothed number of parts of all gatherers in flight when the parts of those samples were sent. */
    final MovingAverage inFlightAtSend = new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT);
    final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
    /** When the worker last answered this gatherer. */
    long answeredAt;
    /** When another gatherer last reported an answer of the worker. */
    long peerAnsweredAt;

    // ---- outlier detection ----

    final DecayingRate failureRate = new DecayingRate(TuningParameters.FAILURE_HALF_LIFE_MICROS);
    boolean ejected;
    /** When a part may be sent as the trial of a half-open circuit. */
    long halfOpenAt;
    /** The number of trials since the ejection. */
    int halfOpenTrials;
    /** Whether the worker could not be connected to, broke its connection, or rejected a part. */
    boolean unreachable;
    /** Whether the worker's process seems to have ended, so that its next answer comes from a new process. */
    boolean processLost;

    // ---- gossip ----

    /** The last reports of other gatherers, by position. */
    final Map<Integer, PeerReport> peerReports = new LinkedHashMap<>();
    /** When this gatherer last reported on the worker. */
    long lastGossipedAt;

    /** Creates the state of a worker of which only the id is known. */
    TrackedWorker(String id) {
        this.id = id;
    }

    /**
     * Records that a part is sent.
     *
     * @param window time over which sent parts are counted (microseconds); the same at each call
     */
    void recordSent(long now, long window) {
        if (sentParts == null) {
            sentParts = new SlidingWindowSum(window);
        }
        sentParts.add(now, 1);
    }

    /** Returns the number of parts sent within the window that ends now. */
    double sentWithinWindow(long now) {
        return sentParts == null ? 0 : sentParts.sum(now);
    }

    /** Resets the statistics of the previous process after the worker's restart. */
    void resetForNewProcess() {
        latency.reset();
        ejected = false;
        failureRate.reset();
        markReachable();
    }

    /** Marks the worker as reachable after an answer or a restart. */
    void markReachable() {
        unreachable = false;
        processLost = false;
        halfOpenTrials = 0;
    }

    /**
     * Returns the parts in flight at the worker: this gatherer's, and those in unexpired reports of other gatherers.
     */
    double totalInFlight(long now) {
        return peerReports.isEmpty() ? inFlight.size()
                : inFlight.size() + peerReports.values().stream().filter(report -> report.expiresAt() > now)
                        .mapToInt(PeerReport::inFlight).sum();
    }

    /** Returns the number of gatherers that reported an ejection of the worker since it last answered this one. */
    long peersThatEjected(long now) {
        return peerReports.isEmpty() ? 0
                : peerReports.values().stream()
                        .filter(report -> report.ejected() && report.expiresAt() > now
                                && report.reportedAt() > answeredAt)
                        .count();
    }

    /** Returns when the worker last answered, this gatherer or one that reported it. */
    long lastAnsweredAt() {
        return Math.max(answeredAt, peerAnsweredAt);
    }
}
