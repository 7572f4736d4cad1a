package wallmoor.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import wallmoor.decision.Absent;
import wallmoor.decision.AttemptEnded;
import wallmoor.decision.PartArrived;
import wallmoor.decision.QueryArrived;
import wallmoor.decision.RoutingActions;
import wallmoor.decision.RoutingPolicy;
import wallmoor.decision.RoutingSettings;
import wallmoor.decision.WorkerListEntry;
import wallmoor.decision.WorkerListKind;
import wallmoor.decision.WorkerStatus;
import wallmoor.metrics.GathererMetrics;
import wallmoor.metrics.GathererMetrics.QueryEnd;

/**
 * The blocking facade of the decision module: threads take queries in, pick what is next for them, report how attempts
 * ended and tick the timers. One lock stands round the module; it is held for a decision, never for I/O or while
 * something is waited for. Each call is a round of its own: what the module decides is there when the call returns.
 */
public final class Gatherer {
    /** How long past its deadline a query is left to the module before it is failed here (microseconds). */
    private static final long OVERDUE = 5_000;

    /** A query that ends this close to its deadline has run out of time (microseconds). */
    private static final long NEAR_DEADLINE = 100_000;

    /** Ids remembered of nodes that left, so that an operator may still name one: a release of a large fleet. */
    private static final int MOST_FORMERLY = 512;

    private record Timer(long at, String token, Attempt attempt) {}

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition timers = lock.newCondition();
    private final Condition watchWanted = lock.newCondition();
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final RoutingPolicy brain;
    private final GathererMetrics figures;
    /** The classes' names, by place. */
    private volatile List<String> classes;
    private int bundle;
    private final Map<String, Query> queries = new HashMap<>();
    private final Map<String, Query> byPart = new HashMap<>();
    private final Map<String, Worker> workers = new HashMap<>();
    /** Nodes that operators took out: to the module they drain, whatever a list says. */
    private final Set<String> banned = new HashSet<>();
    /** Nodes that have left the list, those that left first in front. */
    private final Set<String> formerly = new LinkedHashSet<>();
    private final PriorityQueue<Timer> due = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final Set<String> fresh = new HashSet<>();
    private final Set<Query> touched = new HashSet<>();
    private long numbers;
    private boolean wanted;
    private long now;

    /**
     * Makes a gatherer.
     *
     * @param clock microseconds of Unix time that only go forward
     * @throws IllegalArgumentException if the settings contradict themselves
     */
    public Gatherer(RoutingSettings settings, long seed, LongSupplier clock, Consumer<String> log) {
        this(settings, List.of(), seed, clock, log, new GathererMetrics());
    }

    /**
     * The same, with figures of its queries.
     *
     * @param classes the names that the figures have, by the place of each class in the settings
     */
    public Gatherer(RoutingSettings settings, List<String> classes, long seed, LongSupplier clock, Consumer<String> log,
            GathererMetrics figures) {
        this.clock = clock;
        this.log = log;
        this.classes = classes;
        this.figures = figures;
        bundle = Math.max(1, settings.limits().maxBatch());
        brain = new RoutingPolicy(settings, seed, new Decided());
    }

    /** Microseconds on the clock that deadlines are given on. */
    public long now() {
        return clock.getAsLong();
    }

    // ---- queries ------------------------------------------------------------------------------------------

    /**
     * Takes a query; its thread then calls {@link #awaitStep} until a final answer comes. Null if its id is already
     * held, or
     * parts of an earlier query of that id are still out: a worker would take the new ones for second copies.
     *
     * @param carries what the front's workers need of it
     */
    public Query open(String id, int queryClass, long deadline, boolean repeat, List<Query.PartRequest> asks,
            Object carries) {
        lock.lock();
        try {
            if (queries.containsKey(id) || stillOut(id, asks)) {
                return null;
            }
            var query = new Query(id, named(queryClass), deadline, carries, lock.newCondition());
            for (Query.PartRequest ask : asks) {
                query.parts.add(new Query.QueryPart(partId(id, ask), ask.shard()));
            }
            queries.put(id, query);
            figures.queryStarted(query.className);
            query.parts.forEach(p -> byPart.put(p.id, query));
            long number = ++numbers;
            round(() -> {
                brain.onQueryArrived(now, new QueryArrived(id, number, queryClass, 0, null, deadline, Absent.VALUE,
                        asks.size(), repeat));
                for (int i = 0; i < asks.size(); i++) {
                    Query.PartRequest ask = asks.get(i);
                    brain.onPartArrived(now, new PartArrived(query.parts.get(i).id, number, ask.shard(), ask.weight(),
                            ask.hint()));
                }
            });
            return query;
        } finally {
            lock.unlock();
        }
    }

    private static String partId(String id, Query.PartRequest ask) {
        return id + "." + ask.shard();
    }

    private boolean stillOut(String id, List<Query.PartRequest> asks) {
        for (Query.PartRequest ask : asks) {
            if (byPart.containsKey(partId(id, ask))) {
                return true;
            }
        }
        return false;
    }

    /** Waits for what is next for this query. After a {@link Step.FinalStep} nothing more comes. */
    public Step awaitStep(Query query) throws InterruptedException {
        lock.lock();
        try {
            while (true) {
                Step step = next(query);
                if (step != null) {
                    return step;
                } else if (query.finalStep != null) {
                    callOff(query); // where the module may not cancel, nothing is left out behind a final answer
                    if (query.steps.isEmpty()) {
                        return query.finalStep;
                    }
                } else {
                    long left = query.deadline + OVERDUE - now();
                    if (left <= 0) { // the module has failed it: its client still gets an answer
                        log.accept("query " + query.id + " is overdue");
                        round(() -> brain.onClientDisconnected(now, query.id));
                        finish(query, new Step.Fail(true, query.mayHaveRun()));
                    } else {
                        query.stepAvailable.await(left, TimeUnit.MICROSECONDS);
                    }
                }
            }
        } finally {
            lock.unlock();
        }
    }

    /** The next step that still holds; what may no longer begin ends here as never sent. Null if there is none. */
    private Step next(Query query) {
        while (true) {
            Step step = query.steps.poll();
            if (step instanceof Step.Send send) {
                withdraw(send);
                if (!send.attempts().isEmpty()) {
                    return send;
                }
            } else if (!(step instanceof Step.Cancel cancel && cancel.attempt().ended)) {
                return step;
            }
        }
    }

    /** Takes out of a call what may not begin any more, and ends it. */
    private void withdraw(Step.Send send) {
        var forbidden = new ArrayList<Attempt>();
        String address = send.worker().address();
        long at = now();
        for (Attempt attempt : send.attempts()) {
            if (!attempt.checkPermission(at, address).granted()) {
                forbidden.add(attempt);
            }
        }
        if (!forbidden.isEmpty()) {
            send.attempts().removeAll(forbidden);
            round(() -> forbidden.forEach(a -> end(a, AttemptOutcome.NOT_SENT, null)));
        }
    }

    /** The client of this query has left. */
    public void clientDisconnected(Query query) {
        query.clientDisconnected = true;
        lock.lock();
        try {
            if (query.finalStep == null) {
                round(() -> brain.onClientDisconnected(now, query.id));
                finish(query, new Step.ClientGone());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Runs a query to its end: hands its steps to the workers and returns the final answer. */
    public Step.FinalStep run(Query query, WorkerTransport through) throws InterruptedException {
        boolean over = false;
        try {
            while (true) {
                Step step = awaitStep(query);
                if (step instanceof Step.FinalStep end) {
                    over = true;
                    return end;
                }
                hand(step, through);
            }
        } finally {
            if (!over) { // an exception ended this thread: what the module decided is still carried out
                clientDisconnected(query);
                for (Step step = rest(query); step != null; step = rest(query)) {
                    hand(step, through);
                }
            }
        }
    }

    private static void hand(Step step, WorkerTransport through) {
        if (step instanceof Step.Send send) {
            through.send(send);
        } else if (step instanceof Step.Cancel cancel) {
            through.cancel(cancel);
        }
    }

    private Step rest(Query query) {
        lock.lock();
        try {
            return next(query);
        } finally {
            lock.unlock();
        }
    }

    private String named(int queryClass) {
        return queryClass >= 0 && queryClass < classes.size() ? classes.get(queryClass) : "class-" + queryClass;
    }

    /** These attempts were written whole to their worker. */
    public void recordSent(List<Attempt> attempts) {
        attempts.forEach(a -> figures.addAttempts(a.query.className, 1));
    }

    /** How many queries have no final answer yet. */
    public int openQueries() {
        lock.lock();
        try {
            return queries.size();
        } finally {
            lock.unlock();
        }
    }

    /** How many queries and parts of them have no final answer yet: what {@code Limits.MaxOpen} bounds. */
    public int openQueriesAndParts() {
        lock.lock();
        try {
            int held = queries.size();
            for (Query q : queries.values()) {
                held += q.parts.size();
            }
            return held;
        } finally {
            lock.unlock();
        }
    }

    /** Queries, parts and timers of attempts that are kept here: none once all queries and attempts have ended. */
    int retainedEntries() {
        lock.lock();
        try {
            int timers = 0;
            for (Timer timer : due) {
                timers += timer.attempt == null ? 0 : 1;
            }
            return queries.size() + byPart.size() + timers;
        } finally {
            lock.unlock();
        }
    }

    // ---- outcomes -----------------------------------------------------------------------------------------

    /** An attempt has ended. Only its first report counts. */
    public void report(Attempt attempt, AttemptOutcome outcome, byte[] value) {
        lock.lock();
        try {
            round(() -> end(attempt, outcome, value));
        } finally {
            lock.unlock();
        }
    }

    /** Several attempts have ended at once, as when their connection broke: one round. */
    public void report(Map<Attempt, AttemptOutcome> ended) {
        lock.lock();
        try {
            round(() -> ended.forEach((attempt, outcome) -> end(attempt, outcome, null)));
        } finally {
            lock.unlock();
        }
    }

    private void end(Attempt a, AttemptOutcome outcome, byte[] value) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        a.query.inFlight.remove(a);
        due.removeIf(t -> t.attempt == a);
        a.query.cancelledUnanswered |= a.cancelled && a.query.finalStep == null;
        boolean closed = a.query.finalStep != null;
        a.query.attemptMayHaveRun |= !outcome.code.neverRan;
        if (outcome == AttemptOutcome.SERVED && !closed) {
            a.part.value = value;
        }
        if (closed && a.query.inFlight.isEmpty()) {
            forget(a.query);
        }
        brain.onAttemptEnded(now,
                new AttemptEnded(a.part.id, a.number, a.worker.id(), outcome.code, now - a.startedAt(outcome),
                        closed || outcome == AttemptOutcome.SERVED, Map.of()));
    }

    // ---- time ---------------------------------------------------------------------------------------------

    /** Waits for the next timer, for at most so long, and runs what is due. */
    public void tick(long atMostMillis) throws InterruptedException {
        lock.lock();
        try {
            long wait = due.isEmpty() ? atMostMillis * 1000 : Math.min(atMostMillis * 1000, due.peek().at - now());
            if (wait > 0) {
                timers.await(wait, TimeUnit.MICROSECONDS);
            }
            if (!due.isEmpty() && due.peek().at <= now()) {
                round(() -> {
                    while (!due.isEmpty() && due.peek().at <= now) {
                        fire(due.poll());
                    }
                });
            }
        } finally {
            lock.unlock();
        }
    }

    /** Runs timers until the thread is interrupted. */
    public void runTimers() {
        try {
            while (true) {
                tick(1000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void fire(Timer timer) {
        if (timer.attempt == null) {
            brain.onTimer(now, timer.token);
        } else if (!timer.attempt.ended && !timer.attempt.cancelled) {
            timer.attempt.cancelled = true;
            step(timer.attempt.query, new Step.Cancel(timer.attempt, AttemptOutcome.TIMED_OUT));
        }
    }

    private void schedule(Timer timer) {
        due.add(timer);
        if (due.peek() == timer) {
            timers.signal();
        }
    }

    // ---- membership ---------------------------------------------------------------------------------------

    /** Starts the module on the list as it was last held. */
    public void start(List<WorkerEndpoint> known) {
        lock.lock();
        try {
            round(() -> {
                brain.onStart(now);
                list(WorkerListKind.CACHED, known);
            });
        } finally {
            lock.unlock();
        }
    }

    /** News of the list: all of it, or the changes. */
    public void updateEndpoints(boolean whole, List<WorkerEndpoint> members) {
        lock.lock();
        try {
            round(() -> list(whole ? WorkerListKind.COMPLETE : WorkerListKind.CHANGES, members));
        } finally {
            lock.unlock();
        }
    }

    /** News of some nodes that came from elsewhere than the list. */
    public void mergeEndpoints(List<WorkerEndpoint> members) {
        lock.lock();
        try {
            round(() -> list(WorkerListKind.ADDITIONAL, members));
        } finally {
            lock.unlock();
        }
    }

    /** Leaves a node out from now on, whatever lists say of it, or takes lists at their word again. */
    public void setBanned(String id, boolean out) {
        lock.lock();
        try {
            Worker worker = workers.get(id);
            if ((out ? banned.add(id) : banned.remove(id)) && worker != null) {
                round(() -> list(WorkerListKind.ADDITIONAL, List.of(worker.endpoint())));
            }
        } finally {
            lock.unlock();
        }
    }

    /** Whether a list names this node, or named it, or an operator took it out. */
    public boolean isKnownWorker(String id) {
        lock.lock();
        try {
            return workers.containsKey(id) || formerly.contains(id) || banned.contains(id);
        } finally {
            lock.unlock();
        }
    }

    /**
     * How many nodes the list names, and how many of them are avoided, by an operator's word or as the module decides.
     */
    public record WorkerCounts(int known, int excluded) {}

    /** The nodes known now. */
    public WorkerCounts workerCounts() {
        lock.lock();
        try {
            long out = banned.stream().filter(workers::containsKey).count();
            return new WorkerCounts(workers.size(), (int) (out + brain.ejectedWorkers()));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Whole new settings; what is under way goes on with the class that it came with.
     *
     * @param names    the classes' names, by place
     * @param vanished places of classes that are no longer in force
     * @throws IllegalArgumentException if the settings contradict themselves; nothing has changed then
     */
    public void updateSettings(RoutingSettings next, List<String> names, Set<Integer> vanished) {
        lock.lock();
        try {
            now = Math.max(now, now());
            brain.onSettingsChanged(now, next, vanished);
            classes = names;
            bundle = Math.max(1, next.limits().maxBatch());
        } finally {
            lock.unlock();
        }
    }

    /**
     * So many gatherers share what they have in common from now on, and this is this one's place among them, from 0.
     */
    public void setFleetPosition(int count, int place) {
        lock.lock();
        try {
            brain.onGatherersChanged(count, place);
        } finally {
            lock.unlock();
        }
    }

    /** The watch on the list has ended or never came up; the module says when to ask again. */
    public void watchFailed() {
        lock.lock();
        try {
            wanted = false;
            round(() -> brain.onWorkerList(now, WorkerListKind.WATCH_FAILED, List.of()));
        } finally {
            lock.unlock();
        }
    }

    /** A sound watch has been lost and is asked anew by who watches; the module hears of it only if that fails. */
    public void watchReconnecting() {
        lock.lock();
        try {
            wanted = false;
        } finally {
            lock.unlock();
        }
    }

    /** The list is to be had elsewhere: it is asked for there at once, whatever wait the module had in mind. */
    public void requestWatch() {
        lock.lock();
        try {
            wanted = true;
            watchWanted.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until the module wants the list watched, at most until then (microseconds); {@link Long#MAX_VALUE}: for
     * ever.
     */
    public void awaitWatchRequest(long until) throws InterruptedException {
        lock.lock();
        try {
            while (!wanted && until == Long.MAX_VALUE) {
                watchWanted.await();
            }
            for (long left = until - now(); !wanted && left > 0; left = until - now()) {
                watchWanted.await(left, TimeUnit.MICROSECONDS);
            }
        } finally {
            lock.unlock();
        }
    }

    private void list(WorkerListKind kind, List<WorkerEndpoint> told) {
        // of a node named twice the last entry alone: one that stays gone must not seem to serve even for a moment
        var members = new LinkedHashMap<String, WorkerEndpoint>();
        for (WorkerEndpoint m : told) {
            members.put(m.id(), m);
        }
        // one that stays must not seem gone even for a moment: writers look on
        if (kind == WorkerListKind.COMPLETE || kind == WorkerListKind.CACHED) {
            workers.values().stream().filter(w -> !members.containsKey(w.id())).forEach(this::left);
            workers.keySet().retainAll(members.keySet()); // what is still out at one that is gone holds on to it
        }
        var entries = new ArrayList<WorkerListEntry>();
        for (WorkerEndpoint m : members.values()) {
            boolean out = banned.contains(m.id());
            workers.computeIfAbsent(m.id(), Worker::new).update(m, out);
            WorkerStatus state = switch (m.state()) {
                case SERVING -> out ? WorkerStatus.DRAINING : WorkerStatus.UP;
                case DRAINING -> WorkerStatus.DRAINING;
                case GONE -> WorkerStatus.REMOVED;
            };
            entries.add(new WorkerListEntry(m.id(), m.zone(), m.kind(), m.cell(), state, m.size(),
                    m.upSince() <= 0 ? Absent.VALUE : m.upSince()));
        }
        brain.onWorkerList(now, kind, entries);
        members.values().stream().filter(m -> m.state() == WorkerEndpoint.EndpointState.GONE)
                .forEach(m -> left(workers.remove(m.id())));
    }

    private void left(Worker worker) {
        worker.markRemoved();
        formerly.remove(worker.id());
        formerly.add(worker.id());
        if (formerly.size() > MOST_FORMERLY) {
            formerly.remove(formerly.iterator().next());
        }
    }

    // ---- rounds -------------------------------------------------------------------------------------------

    /** Runs events of one moment, then lets the module decide. What it throws is logged in full and ends no thread. */
    private void round(Runnable events) {
        now = Math.max(now, now());
        try {
            events.run();
            brain.onRoundEnd(now);
        } catch (RuntimeException e) {
            var trace = new java.io.StringWriter();
            e.printStackTrace(new java.io.PrintWriter(trace));
            log.accept("the module failed: " + trace);
        }
        for (Query q : touched) {
            q.stepAvailable.signalAll();
        }
        touched.clear();
        fresh.clear();
    }

    private void step(Query query, Step step) {
        query.steps.add(step);
        touched.add(query);
    }

    /** Sets the final answer; the steps before it, calls to cancel among them, are still handed out first. */
    private void finish(Query query, Step.FinalStep end) {
        if (query.finalStep == null) {
            query.finalStep = end;
            figures.queryEnded(query.className,
                    end instanceof Step.Answer ? QueryEnd.SERVED : end instanceof Step.Reject
                            ? QueryEnd.REFUSED : end instanceof Step.Fail ? QueryEnd.FAILED : QueryEnd.CLIENT_GONE);
            queries.remove(query.id);
            if (query.inFlight.isEmpty()) {
                forget(query);
            }
            query.stepAvailable.signalAll();
        }
    }

    /** Whether waiting in vain, rather than answers that failed, brought a query to its end. */
    private boolean late(Query q) {
        return q.cancelledUnanswered || now >= q.deadline - NEAR_DEADLINE;
    }

    private void forget(Query query) {
        query.parts.forEach(p -> byPart.remove(p.id));
    }

    /** Calls off all that a query has out. */
    private void callOff(Query query) {
        for (Attempt a : query.inFlight) {
            if (!a.cancelled) {
                a.cancelled = true;
                step(query, new Step.Cancel(a, AttemptOutcome.CANCELLED));
            }
        }
        touched.clear();
    }

    /** Turns the module's actions into steps. Runs inside a round. */
    private final class Decided implements RoutingActions {

        @Override
        public void startAttempt(String part, String leaf, long giveUpAfter, long beginWithin) {
            Query q = byPart.get(part);
            Query.QueryPart p = q.part(part);
            Worker worker = workers.get(leaf);
            long until = Math.min(q.deadline, now + giveUpAfter);
            var attempt = new Attempt(q, p, p.attempts++, worker, now, until,
                    beginWithin < until - now ? now + beginWithin : until);
            q.inFlight.add(attempt);
            schedule(new Timer(until, null, attempt));
            for (Iterator<Step> i = q.steps.descendingIterator(); i.hasNext();) {
                if (i.next() instanceof Step.Send s && s.worker() == worker && s.attempts().size() < bundle
                        && s.attempts().get(0).assignedAt == now) {
                    s.attempts().add(attempt);
                    return;
                }
            }
            step(q, new Step.Send(worker, new ArrayList<>(List.of(attempt)), fresh.remove(leaf)));
        }

        @Override
        public void cancelAttempt(String part, int number) {
            Query q = byPart.get(part);
            if (q == null) {
                return;
            }
            for (Attempt a : q.inFlight) {
                if (a.part.id.equals(part) && a.number == number && !a.cancelled) {
                    a.cancelled = true;
                    step(q, new Step.Cancel(a, AttemptOutcome.CANCELLED));
                }
            }
        }

        @Override
        public void answer(String query, boolean whole) {
            Query q = queries.get(query);
            if (q != null) {
                finish(q, new Step.Answer(whole, q.receivedValues()));
            }
        }

        @Override
        public void reject(String query, long comeBackAfter) {
            Query q = queries.get(query);
            if (q != null) {
                finish(q, new Step.Reject(comeBackAfter, q.wasAttempted(), late(q)));
            }
        }

        @Override
        public void fail(String query) {
            Query q = queries.get(query);
            if (q != null) {
                finish(q, new Step.Fail(late(q), q.mayHaveRun()));
            }
        }

        @Override
        public void scheduleTimer(long in, String token) {
            schedule(new Timer(now + in, token, null));
        }

        @Override
        public void closeIdleConnections(String leaf) {
            fresh.add(leaf);
        }

        @Override
        public void broadcast(byte[] contents) {
            // gatherers have no way to talk to each other here
        }

        @Override
        public void watchWorkerList() {
            wanted = true;
            watchWanted.signalAll();
        }

        @Override
        public void log(String line) {
            log.accept(line);
        }
    }
}
