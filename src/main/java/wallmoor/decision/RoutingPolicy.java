package wallmoor.decision;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The routing policy of one gatherer: an event-driven state machine that decides which part of a query goes to which
 * worker, when it is sent again, and how the query ends (docs/design.md). It receives events with their time, in
 * microseconds of the caller's clock, and responds with {@link RoutingActions}. It is single-threaded and has no clock
 * and no I/O: equal events after an equal start give equal actions.
 *
 * <p>This class dispatches events to the modules and connects these with each other. After all events of one moment,
 * {@link #onRoundEnd} decides on the queries that they affect.
 */
public final class RoutingPolicy {
    private static final String SWEEP_TIMER = "sweep";

    private final PolicyContext context;
    private final WorkerTable workers;
    private final RequestTable requests = new RequestTable();
    private final TenantQuotas quotas;
    private final SlowStart slowStart;
    private final ReplicaSelector selector;
    private final RedundancyPlanner redundancy;
    private final AdmissionControl admission;
    private final GossipExchange gossip;
    private final OutlierDetector outliers;
    private final AttemptFeedback feedback;
    private final RetryBudget retryBudget;
    private final QueryQuarantine quarantine;
    private final AttemptSender sender;
    private final QueryReplenisher replenisher;
    private final QueryCompletion completion;
    private final WorkerListPolling polling;
    private final MovingAverage meanWorkHint = new MovingAverage(TuningParameters.FLEET_SAMPLE_WEIGHT);
    /**
     * The queries affected by events of this round. Other queries wait for the next sweep, because a busy gatherer has
     * no time to decide on all of them at each event.
     */
    private final Set<TrackedQuery> queriesToDecide = new LinkedHashSet<>();
    /** Whether the sweep timer is running. */
    private boolean sweepPending;
    private boolean sweepDue;

    /**
     * Creates the policy of one gatherer.
     *
     * @param seed the seed of its random draws
     * @throws InvalidSettingsException if the settings are out of range or contradict each other
     */
    public RoutingPolicy(RoutingSettings settings, long seed, RoutingActions actions) {
        context = new PolicyContext(settings, seed, actions);
        workers = new WorkerTable(settings.layout());
        quotas = new TenantQuotas(context);
        retryBudget = new RetryBudget(context);
        slowStart = new SlowStart(context);
        quarantine = new QueryQuarantine(context);
        polling = new WorkerListPolling(context);
        var estimator = new LatencyEstimator(context);
        var strain = new LatencyStrain();
        var idleConnections = new IdleConnections(context);
        var retryPolicy = new RetryPolicy(context);
        selector = new ReplicaSelector(context, workers, estimator, slowStart);
        redundancy = new RedundancyPlanner(context, workers, selector);
        admission = new AdmissionControl(context, requests, selector, estimator, strain);
        gossip = new GossipExchange(context, workers, strain);
        outliers = new OutlierDetector(context, workers, estimator, slowStart, gossip, idleConnections);
        feedback = new AttemptFeedback(context, estimator, slowStart, outliers, idleConnections, admission);
        sender = new AttemptSender(context, selector, slowStart, retryPolicy, retryBudget, outliers, gossip,
                idleConnections);
        replenisher = new QueryReplenisher(context, selector, retryPolicy, retryBudget, outliers, sender);
        completion = new QueryCompletion(context, requests, admission, sender);
    }

    // ---- lifecycle, settings and workers ----

    /** Starts the policy; a cached worker list follows. */
    public void onStart(long at) {
        advance(at);
        slowStart.start();
        polling.start();
    }

    /** Sets the number of gatherers that share the workers, and this gatherer's position among them, from 0. */
    public void onGatherersChanged(int count, int position) {
        context.setGatherers(count, position);
    }

    /**
     * Applies new settings, except for those that can't change after the start. A class keeps its index; a removed
     * class takes no further queries.
     *
     * @throws InvalidSettingsException if the settings are out of range or contradict each other; then nothing has
     * changed
     */
    public void onSettingsChanged(long at, RoutingSettings newSettings, Set<Integer> removedClasses) {
        advance(at);
        context.reload(newSettings, removedClasses);
        admission.reload(newSettings, removedClasses);
    }

    /** Returns the number of workers that are ejected although the worker list has them as up. */
    public long ejectedWorkers() {
        return workers.workers().stream().filter(w -> w.status == WorkerStatus.UP && w.ejected).count();
    }

    /** Handles the expiry of a timer set by {@link RoutingActions#scheduleTimer}. */
    public void onTimer(long at, String token) {
        advance(at);
        if (token.equals(SWEEP_TIMER)) {
            sweepPending = false;
            sweepDue = true;
        } else if (token.equals(WorkerListPolling.TIMER_TOKEN)) {
            polling.onTimer();
        }
    }

    /** Handles a message from another gatherer, identified by its position. */
    public void onPeerMessage(long at, int from, byte[] message) {
        advance(at);
        if (from < 0 || from >= context.settings().gatherers()) {
            return;
        }
        GossipMessage.QuarantineNotice notice = GossipMessage.readQuarantine(message);
        if (notice != null) {
            quarantine.add(notice.signature(), notice.duration());
        }
        gossip.receive(from, message);
    }

    /** Handles an event about the worker list. */
    public void onWorkerList(long at, WorkerListKind kind, List<WorkerListEntry> entries) {
        advance(at);
        switch (kind) {
            case WATCH_FAILED -> {
                polling.recordFailure();
                return;
            }
            case COMPLETE -> {
                polling.recordWatchEvent();
                workers.retainOnly(entries);
            }
            case CHANGES -> polling.recordWatchEvent();
            case CACHED -> workers.retainOnly(entries);
            case ADDITIONAL -> {
                // says nothing about the watch
            }
        }
        for (WorkerListEntry entry : entries) {
            slowStart.recordStart(workers.update(entry), entry.startedAt());
        }
    }

    // ---- queries ----

    /** Handles the arrival of a query; its parts follow at the same time. */
    public void onQueryArrived(long at, QueryArrived arrival) {
        advance(at);
        retryBudget.recordArrival();
        RoutingSettings settings = context.settings();
        int classIndex = Math.min(Math.max(arrival.queryClass(), 0), settings.classes().size() - 1);
        QueryClass classInSettings = settings.classes().get(classIndex);
        QueryClass queryClass = arrival.withIdempotencyKey() ? classInSettings
                : classInSettings.withoutIdempotencyKey();
        double weightFactor = quotas.recordQuery(arrival.tenant());
        long now = context.now();
        long clientStartedAt = context.latencies.clientStartTime(now, arrival, classIndex, settings);
        boolean isLate = clientStartedAt + queryClass.latencyObjective() - now < context.typicalLatency(classIndex);
        if (queryClass.lateValueShare() > 0 && isLate) {
            weightFactor *= queryClass.lateValueShare();
            clientStartedAt = now;
        }
        var query = new TrackedQuery(arrival, classIndex, queryClass, now, weightFactor, clientStartedAt);
        requests.add(query);
        queriesToDecide.add(query);
        scheduleSweep();
    }

    /** Handles the arrival of a part of a query, in its first phase or its second. */
    public void onPartArrived(long at, PartArrived arrival) {
        advance(at);
        retryBudget.recordArrival();
        TrackedQuery query = requests.query(arrival.queryNumber());
        if (query == null) {
            return;
        }
        double workScale = 1;
        if (arrival.workHint() > 0) {
            meanWorkHint.add((double) arrival.workHint());
            workScale = arrival.workHint() / meanWorkHint.orElse((double) arrival.workHint());
        }
        requests.add(new TrackedPart(arrival.id(), query, arrival.shard(), arrival.weight(), workScale));
        queriesToDecide.add(query);
    }

    /** Handles the end of an attempt. */
    public void onAttemptEnded(long at, AttemptEnded end) {
        advance(at);
        TrackedPart part = requests.part(end.part());
        TrackedAttempt attempt = part == null ? null : part.inFlight.remove(end.attempt());
        if (attempt == null) {
            return;
        }
        recordEnd(attempt, end);
        if (part.finished) {
            requests.removeIfUnused(part);
            return;
        }
        queriesToDecide.add(part.query);
        if (end.reason() == AttemptEndReason.RESET) {
            quarantine.recordReset(part.query, attempt.worker, end.duration());
        }
        part.answered = end.reason() == AttemptEndReason.OK;
        part.finished = part.answered || end.partFinished();
        if (part.answered) {
            part.inFlight.values().forEach(sender::cancel);
        }
    }

    /**
     * Handles that the parts answered so far decide a query: it is answered at the end of this round. The end of the
     * attempt whose result decides it follows at the same time.
     */
    public void onQueryDecided(long at, String id) {
        advance(at);
        TrackedQuery query = requests.query(id);
        if (query != null) {
            query.decided = true;
            queriesToDecide.add(query);
        }
    }

    /** Updates the worker's state at the end of an attempt, also if its part is already finished. */
    private void recordEnd(TrackedAttempt attempt, AttemptEnded end) {
        TrackedWorker worker = attempt.worker;
        worker.inFlight.remove(attempt);
        worker.lastUsedAt = context.now();
        if (end.reason() == AttemptEndReason.OK) {
            gossip.recordAnswer(attempt, end.duration());
        } else {
            gossip.recordChange(worker);
        }
        feedback.record(attempt, end);
        if (worker.status == WorkerStatus.REMOVED) {
            workers.removeIfUnused(worker);
        }
        if (end.reason().neverRan) {
            attempt.part.possiblyExecuted.remove(attempt.number);
        }
    }

    /** Handles the disconnection of a query's client. */
    public void onClientDisconnected(long at, String id) {
        advance(at);
        TrackedQuery query = requests.query(id);
        if (query != null) {
            completion.close(query, false);
        }
    }

    /**
     * Handles that the gatherer ends: open queries are answered as if their clients gave up by {@code latest}. Later
     * queries arrive with such a deadline.
     */
    public void onDeadlinesLimited(long at, long latest) {
        advance(at);
        for (TrackedQuery query : requests.queries()) {
            if (query.deadline > latest) {
                query.deadline = latest;
                queriesToDecide.add(query);
            }
        }
    }

    // ---- decisions ----

    /**
     * Ends a round: decides on the queries affected by the events of this moment, or on all queries if a sweep is due.
     */
    public void onRoundEnd(long at) {
        advance(at);
        if (sweepDue) {
            sweepDue = false;
            if (!context.isStalled()) {
                outliers.sweep();
            }
            slowStart.updateWarmWorkers(workers);
            queriesToDecide.clear();
            requests.queries().forEach(this::decide);
        } else {
            List.copyOf(queriesToDecide).stream().filter(requests::contains).forEach(this::decide);
        }
        queriesToDecide.clear();
        gossip.send(!requests.isEmpty());
        if (!requests.isEmpty()) {
            scheduleSweep();
        }
    }

    private void decide(TrackedQuery query) {
        if (completion.endIfTimeIsUp(query)) {
            return;
        }
        if (quarantine.isPoison(query)) {
            quarantine(query);
        } else if (!query.started) {
            if (query.parts.size() >= query.expectedParts) {
                start(query);
            }
        } else if (query.isPhaseComplete()) {
            completion.answer(query, query.phase == 1 || query.firstPhaseComplete);
        } else if (!replenisher.replenish(query)) {
            completion.giveUp(query);
        }
    }

    private void quarantine(TrackedQuery query) {
        long duration = query.queryClass.clientTimeout();
        quarantine.add(query.signature(), duration);
        context.actions.log("query quarantined: query=" + query.arrival.id() + " reason=worker_resets");
        gossip.sendQuarantine(query.signature(), duration);
        completion.giveUp(query);
    }

    /** Starts a phase of a query by sending its first attempts, or rejects the query if it is not admitted. */
    private void start(TrackedQuery query) {
        if (query.phase == 1 && (quarantine.isQuarantined(query) || !admission.admits(query))) {
            completion.giveUp(query);
            return;
        }
        query.started = true;
        List<TrackedPart> ranked = selector.ranked(query.parts);
        int needed = query.partsNeeded(ranked);
        int parts = redundancy.partsToSend(ranked, needed);
        query.awaitingCanary = query.phase == 1 && quarantine.requiresCanary();
        for (int i = 0; i < (query.awaitingCanary ? 1 : parts); i++) {
            TrackedAttempt attempt = sender.send(ranked.get(i), false);
            if (attempt != null) {
                attempt.spare = i >= needed;
            }
        }
    }

    private void scheduleSweep() {
        if (!sweepPending) {
            sweepPending = true;
            context.actions.scheduleTimer(TuningParameters.SWEEP_ROUNDS * context.settings().roundInterval(),
                    SWEEP_TIMER);
        }
    }

    private void advance(long at) {
        context.advance(at, sweepPending);
    }
}
