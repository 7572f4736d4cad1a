package wallmoor.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** What a root remembers of leaves, queries, parts and attempts. {@link RoutingPolicy} alone reads and changes it. */
final class State {
    private State() {}

    static final class TrackedWorker {
        final String id;
        int zone;
        int cell;
        WorkerStatus status = WorkerStatus.UP;
        /** As the list has it, for comparison with others. */
        double size = 1;
        long slowStartFrom = Absent.VALUE;
        /** What it was sent, also while it was not known to be cold; null before the first part. */
        private SlidingWindowSum recordSent;
        final MovingAverage latency;
        final MovingAverage inFlightAtSend;
        double bestLatency = Double.NaN;
        double concurrencyLimit;
        boolean aboveLimit;
        final DecayingRate failureRate;
        long answeredAt;
        long peerAnsweredAt;
        boolean ejected;
        long lastUsedAt;
        long gossipedAt;
        /** It could not be connected to, broke its connection, or turned a part away. */
        boolean unreachable;
        /** Its process has gone, as far as can be told: when it answers again it has just started. */
        boolean processLost;
        long halfOpenAt;
        /** Trials since it was well. */
        int halfOpenTrials;
        final Set<TrackedAttempt> inFlight = new LinkedHashSet<>();
        /** What other roots, by number, have told of their parts here. */
        final Map<Integer, PeerReport> peerReports = new LinkedHashMap<>();

        TrackedWorker(String id, double latencyStep, double knee, double failHalfLife) {
            this.failureRate = new DecayingRate(failHalfLife);
            this.id = id;
            this.latency = new MovingAverage(latencyStep);
            this.inFlightAtSend = new MovingAverage(latencyStep);
            this.concurrencyLimit = knee;
        }

        /** A part goes out; it counts over this window, which is the same at each call. */
        void recordSent(long now, long window) {
            if (recordSent == null) {
                recordSent = new SlidingWindowSum(window);
            }
            recordSent.add(now, 1);
        }

        /** Parts sent within the window that ends now. */
        double sentWithinWindow(long now) {
            return recordSent == null ? 0 : recordSent.sum(now);
        }

        /** A new process: what was known of the old one no longer holds. */
        void forgetProcess() {
            latency.reset();
            ejected = false;
            failureRate.reset();
            markReachable();
        }

        void markReachable() {
            unreachable = false;
            processLost = false;
            halfOpenTrials = 0;
        }

        /** Parts out here: our own and what other roots have told lately. */
        double totalInFlight(long now) {
            return peerReports.isEmpty() ? inFlight.size()
                    : inFlight.size() + peerReports.values().stream().filter(t -> t.expiresAt() > now)
                            .mapToInt(PeerReport::inFlight).sum();
        }

        /** How many roots told that it is ill since it last answered us. */
        long peersThatEjected(long now) {
            return peerReports.isEmpty() ? 0
                    : peerReports.values().stream()
                            .filter(t -> t.ejected() && t.expiresAt() > now && t.reportedAt() > answeredAt).count();
        }

        /** When an answer of this leaf was last heard, by this root or by one that told of it. */
        long lastAnsweredAt() {
            return Math.max(answeredAt, peerAnsweredAt);
        }
    }

    /** What another root told of a leaf, held true until a time. */
    record PeerReport(int inFlight, boolean ejected, long reportedAt, long expiresAt) {}

    static final class TrackedAttempt {
        final TrackedPart part;
        final TrackedWorker worker;
        final int number;
        final long sentAt;
        final int inFlightBefore;
        /** With other roots' parts, as far as known. */
        final double totalInFlightBefore;
        boolean late;
        boolean afterIdle;
        boolean cancelled;
        boolean spare;

        TrackedAttempt(TrackedPart part, TrackedWorker leaf, int number, long sentAt, int outBefore, double allBefore) {
            this.part = part;
            this.worker = leaf;
            this.number = number;
            this.sentAt = sentAt;
            this.inFlightBefore = outBefore;
            this.totalInFlightBefore = allBefore;
        }
    }

    static final class TrackedPart {
        final String id;
        final TrackedQuery query;
        final int shard;
        final double weight;
        final double workScale;
        int attemptCount;
        boolean answered;
        boolean finished;
        /** Attempts that may have run, with the times of their sends, in order. */
        final Map<Integer, Long> possiblyExecuted = new LinkedHashMap<>();
        final Map<Integer, TrackedAttempt> inFlight = new LinkedHashMap<>();
        final List<TrackedWorker> triedWorkers = new ArrayList<>();

        TrackedPart(String id, TrackedQuery query, int shard, double weight, double scale) {
            this.id = id;
            this.query = query;
            this.shard = shard;
            this.weight = weight;
            this.workScale = scale;
        }

        /** Takes down an attempt that goes out. */
        void recordSent(TrackedAttempt a) {
            attemptCount++;
            possiblyExecuted.put(a.number, a.sentAt);
            inFlight.put(a.number, a);
            triedWorkers.add(a.worker);
            a.worker.inFlight.add(a);
        }

        boolean mayHaveExecuted() {
            return !possiblyExecuted.isEmpty();
        }

        /** The send of the first attempt that may have run; there must be one. */
        long firstPossibleExecution() {
            return possiblyExecuted.values().iterator().next();
        }

        boolean hasTimelyAttempt() {
            for (TrackedAttempt a : inFlight.values()) {
                if (!a.late && !a.cancelled) {
                    return true;
                }
            }
            return false;
        }
    }

    static final class TrackedQuery {
        final QueryArrived arrival;
        /** Its class's place in the settings; the nearest one where the index given lies outside. */
        final int classIndex;
        final QueryClass queryClass;
        final long arrivedAt;
        /** When its client asked first, as far as can be told. */
        final long clientStartedAt;
        final double weightFactor;
        List<TrackedPart> parts = new ArrayList<>();
        int expectedParts;
        int phase = 1;
        boolean started;
        boolean firstPhaseComplete;
        /** One part goes ahead of the others: they wait for its answer. */
        boolean scouting;
        double predictedPartTime;
        double poisonEvidence;
        final Set<TrackedWorker> resetWorkers = new LinkedHashSet<>();

        TrackedQuery(QueryArrived arrived, int index, QueryClass kind, long at, double worthShare, long firstTry) {
            this.arrival = arrived;
            this.classIndex = index;
            this.queryClass = kind;
            this.arrivedAt = at;
            this.clientStartedAt = firstTry;
            this.weightFactor = worthShare;
            this.expectedParts = arrived.partCount();
        }

        double answeredWeight() {
            double in = 0; // asked at each event of the query: a loop costs a tenth of a stream
            for (TrackedPart p : parts) {
                in += p.answered ? p.weight : 0;
            }
            return in;
        }

        /** What a client's next try of the same query shares with this one. */
        int signature() {
            return Objects.hash(arrival.queryClass(), arrival.tenant(), arrival.key(),
                    parts.stream().map(p -> p.shard).toList());
        }

        boolean mayHaveExecuted() {
            return parts.stream().anyMatch(TrackedPart::mayHaveExecuted);
        }
    }
}
