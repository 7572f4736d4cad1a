package wallmoor.decision;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Exchanges reports on workers with other gatherers: parts in flight, latencies of answers, and ejections. A received
 * report is a hint that expires, and it weighs less than this gatherer's own observations.
 */
final class GossipExchange {
    private final PolicyContext context;
    private final WorkerTable workers;
    private final LatencyStrain strain;
    /** Workers whose parts in flight or ejection have changed since the last message. */
    private final Set<TrackedWorker> changed = new LinkedHashSet<>();
    private final List<GossipMessage.WorkerReport> reports = new ArrayList<>();
    private long lastMessageAt;

    GossipExchange(PolicyContext context, WorkerTable workers, LatencyStrain strain) {
        this.context = context;
        this.workers = workers;
        this.strain = strain;
    }

    /** Applies the reports in a message from the gatherer at this position. */
    void receive(int from, byte[] message) {
        for (GossipMessage.WorkerReport report : GossipMessage.readReports(message)) {
            workers.byTag(report.tag()).ifPresent(w -> receive(w, report, from));
        }
    }

    private void receive(TrackedWorker worker, GossipMessage.WorkerReport report, int from) {
        PeerReport previous = worker.peerReports.remove(from);
        long now = context.now();
        if (!report.isLatency()) {
            double lifetime = (report.isEjected() ? TuningParameters.EJECTION_LATENCIES
                    : TuningParameters.GOSSIP_LIFETIME_LATENCIES) * context.typicalLatency();
            int inFlight = report.isEjected() ? 0 : report.code();
            worker.peerReports.put(from, new PeerReport(inFlight, report.isEjected(), now, now + (long) lifetime));
            return;
        }
        worker.latency.add(context.typicalLatency() * report.latencyRatio(), TuningParameters.GOSSIP_SAMPLE_WEIGHT);
        worker.peerAnsweredAt = now;
        if (previous != null && previous.inFlight() > 1) {
            worker.peerReports.put(from,
                    new PeerReport(previous.inFlight() - 1, false, previous.reportedAt(), previous.expiresAt()));
        }
    }

    /** Records that a part was sent to this worker or ended there. */
    void recordChange(TrackedWorker worker) {
        if (isWorthwhile()) {
            changed.add(worker);
        }
    }

    /** Records that a worker has answered an attempt. */
    void recordAnswer(TrackedAttempt attempt, long duration) {
        if (isWorthwhile()) {
            double ratio = duration / attempt.part.workScale / context.typicalLatency();
            reports.add(GossipMessage.WorkerReport.latency(attempt.worker.id, ratio));
        }
    }

    /** Schedules a report that a worker was ejected or has recovered; this is sent whatever its cost. */
    void announceEjection(TrackedWorker worker) {
        changed.add(worker);
    }

    /** Reports an attempt's worker again once its last report has expired while the attempt is still in flight. */
    void renew(TrackedAttempt attempt) {
        long reportedAt = Math.max(attempt.sentAt, attempt.worker.lastGossipedAt);
        if (context.now() - reportedAt > TuningParameters.GOSSIP_LIFETIME_LATENCIES * context.typicalLatency()) {
            recordChange(attempt.worker);
        }
    }

    /**
     * Sends the reports collected since the last message, in the format that {@link #receive} reads.
     *
     * @param busy whether queries are open; then messages are at least {@link
     *             TuningParameters#GOSSIP_INTERVAL_LATENCIES} apart
     */
    void send(boolean busy) {
        if (!context.settings().limits().gossip() || (changed.isEmpty() && reports.isEmpty())
                || (busy && context.now() - lastMessageAt < TuningParameters.GOSSIP_INTERVAL_LATENCIES
                        * context.typicalLatency())) {
            return;
        }
        lastMessageAt = context.now();
        for (TrackedWorker worker : changed) {
            worker.lastGossipedAt = context.now();
            reports.add(worker.ejected ? GossipMessage.WorkerReport.ejected(worker.id)
                    : GossipMessage.WorkerReport.inFlight(worker.id, worker.inFlight.size()));
        }
        context.actions.broadcast(GossipMessage.write(reports));
        changed.clear();
        reports.clear();
    }

    /** Notifies the other gatherers at once to reject queries of this signature for this duration (microseconds). */
    void sendQuarantine(int signature, long duration) {
        if (context.settings().limits().gossip()) {
            context.actions.broadcast(GossipMessage.write(new GossipMessage.QuarantineNotice(signature, duration)));
        }
    }

    /**
     * Returns whether queries use so much of their latency objective that reporting parts in flight is worth its cost.
     */
    private boolean isWorthwhile() {
        RoutingSettings settings = context.settings();
        double cost = settings.costs().gossipMessage() * (settings.gatherers() - 1);
        return settings.limits().gossip() && strain.value() > Math.min(TuningParameters.GOSSIP_MIN_STRAIN,
                TuningParameters.GOSSIP_STRAIN_PER_COST * cost);
    }
}
