package wallmoor.decision;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What gatherers tell each other of workers: parts in flight, latencies of answers, and ejections. What is heard is a
 * hint that expires, and weighs less than what this gatherer has seen itself.
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

    /** The gatherer at this position has told of workers. */
    void receive(int from, byte[] message) {
        for (GossipMessage.WorkerReport report : GossipMessage.readReports(message)) {
            workers.byTag(report.tag()).ifPresent(w -> receive(w, report, from));
        }
    }

    private void receive(TrackedWorker worker, GossipMessage.WorkerReport report, int from) {
        PeerReport before = worker.peerReports.remove(from);
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
        if (before != null && before.inFlight() > 1) {
            worker.peerReports.put(from,
                    new PeerReport(before.inFlight() - 1, false, before.reportedAt(), before.expiresAt()));
        }
    }

    /** A part has gone out to this worker or ended there. */
    void recordChange(TrackedWorker worker) {
        if (isWorthwhile()) {
            changed.add(worker);
        }
    }

    /** A worker has answered an attempt. */
    void recordAnswer(TrackedAttempt attempt, long duration) {
        if (isWorthwhile()) {
            double ratio = duration / attempt.part.workScale / context.typicalLatency();
            reports.add(GossipMessage.WorkerReport.latency(attempt.worker.id, ratio));
        }
    }

    /** A worker was ejected or has recovered: that is told whatever it costs. */
    void announceEjection(TrackedWorker worker) {
        changed.add(worker);
    }

    /** What was told of an attempt's worker is told again before it expires, while the attempt is in flight. */
    void renew(TrackedAttempt attempt) {
        long toldAt = Math.max(attempt.sentAt, attempt.worker.gossipedAt);
        if (context.now() - toldAt > TuningParameters.GOSSIP_LIFETIME_LATENCIES * context.typicalLatency()) {
            recordChange(attempt.worker);
        }
    }

    /**
     * Sends what has changed, as {@link #receive} takes it.
     *
     * @param busy whether queries are open: then not more often than {@link TuningParameters#GOSSIP_INTERVAL_LATENCIES}
     */
    void send(boolean busy) {
        if (!context.settings().limits().gossip() || (changed.isEmpty() && reports.isEmpty())
                || (busy && context.now() - lastMessageAt < TuningParameters.GOSSIP_INTERVAL_LATENCIES
                        * context.typicalLatency())) {
            return;
        }
        lastMessageAt = context.now();
        for (TrackedWorker worker : changed) {
            worker.gossipedAt = context.now();
            reports.add(worker.ejected ? GossipMessage.WorkerReport.ejected(worker.id)
                    : GossipMessage.WorkerReport.inFlight(worker.id, worker.inFlight.size()));
        }
        context.actions.broadcast(GossipMessage.write(reports));
        changed.clear();
        reports.clear();
    }

    /** Tells the other gatherers at once to reject queries of this signature for so long (microseconds). */
    void sendQuarantine(int signature, long duration) {
        if (context.settings().limits().gossip()) {
            context.actions.broadcast(GossipMessage.write(new GossipMessage.QuarantineNotice(signature, duration)));
        }
    }

    /** Whether queries are so short of time that telling parts in flight pays for its price. */
    private boolean isWorthwhile() {
        RoutingSettings settings = context.settings();
        double price = settings.costs().gossipMessage() * (settings.gatherers() - 1);
        return settings.limits().gossip() && strain.value() > Math.min(TuningParameters.GOSSIP_STRAIN,
                TuningParameters.GOSSIP_STRAIN_PER_COST * price);
    }
}
