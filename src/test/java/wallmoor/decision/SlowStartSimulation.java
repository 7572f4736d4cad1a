package wallmoor.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Several policies and the workers that they share on one simulated clock. The workers of the first cell fail together
 * and restart in slow start, so that all demand for their shards depends on what the gatherers send them. Each worker
 * records when parts reach it, and {@link #worstExcess} compares these times with the bound in the settings.
 */
final class SlowStartSimulation {
    /** A millisecond in microseconds. */
    static final long MS = 1000;
    static final long SECOND_MICROS = 1_000 * MS;
    private static final int CORES = 2;
    /** Relative speed of the slow kind of machines, which is half of them. */
    private static final double SLOW_MACHINE_SPEED = 0.75;
    /** Maximum relative error of sizes in worker lists. */
    private static final double MAX_SIZE_ERROR = 0.1;
    private static final long HOP_MICROS = 1 * MS;
    /**
     * Number of calls from which the slack of the bound is 2 x the square root + 2; below it is 3 x the square root +
     * 3.
     */
    private static final int LARGE_BOUND_CALLS = 30;
    /**
     * A window violates the bound only if more than this share of its parts came from gatherers notified of the
     * worker's start.
     */
    private static final double MIN_NOTIFIED_SHARE = 2.0 / 3;

    /**
     * A simulated scenario.
     *
     * @param seed           the seed of the random draws
     * @param gatherers      number of gatherers
     * @param cells          cells of three workers each; those of the first are restarted
     * @param parts          parts of a query
     * @param meanWork       mean work of a part on a fast warm core (microseconds)
     * @param load           demand relative to capacity before the burst
     * @param burst          demand during the burst, relative to that before it
     * @param restartedShare share of the gatherers that are restarted while workers are in slow start
     * @param maxConnectTime maximum time of a first connection to a worker (microseconds)
     * @param maxListDelay   maximum time until a worker list shows a worker's start (microseconds)
     */
    record Scenario(long seed, int gatherers, int cells, int parts, long meanWork, double load, double burst,
            double restartedShare,
            long maxConnectTime,
            long maxListDelay) {}

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private record Arrival(long at, int gatherer) {}

    private record Call(SimulatedGatherer gatherer, String part, int number, long sentAt, long work) {}

    private final Scenario scenario;
    private final Random random;
    private final RoutingSettings settings;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SimulatedGatherer> gatherers = new ArrayList<>();
    private final Map<String, SimulatedWorker> workers = new HashMap<>();
    private long order;
    private long now = 1_700_000_000 * SECOND_MICROS;
    private final long simulationStart = now;

    SlowStartSimulation(Scenario scenario, RoutingSettings settings) {
        this.scenario = scenario;
        this.settings = settings;
        random = new Random(scenario.seed);
        for (int i = 0; i < 3 * scenario.cells; i++) {
            workers.put("w" + i, new SimulatedWorker("w" + i,
                    i % scenario.cells, random.nextBoolean() ? 1 : SLOW_MACHINE_SPEED));
        }
        for (int i = 0; i < scenario.gatherers; i++) {
            gatherers.add(new SimulatedGatherer(i));
        }
    }

    /**
     * Runs the scenario to its end: the first cell fails at 10 s and restarts at 11 to 12 s, and the burst lasts from
     * 11 to 18 s.
     */
    SlowStartSimulation run() {
        gatherers.forEach(SimulatedGatherer::start);
        workers.values().stream().filter(worker -> worker.cell == 0).forEach(worker -> {
            schedule(10 * SECOND_MICROS, worker::crash);
            schedule(11 * SECOND_MICROS + random.nextLong(SECOND_MICROS), worker::recover);
        });
        for (SimulatedGatherer gatherer : gatherers) {
            if (random.nextDouble() < scenario.restartedShare) {
                schedule(12 * SECOND_MICROS + random.nextLong(8 * SECOND_MICROS), gatherer::restart);
            }
        }
        long end = simulationStart + 24 * SECOND_MICROS;
        while (!events.isEmpty() && events.peek().at < end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        return this;
    }

    private void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, order++, action));
    }

    private boolean inBurst() {
        return now >= simulationStart + 11 * SECOND_MICROS && now < simulationStart + 18 * SECOND_MICROS;
    }

    /** Returns the most by which any window at a worker in slow start exceeds the bound; 0 or less if none does. */
    double worstExcess() {
        return workers.values().stream().mapToDouble(SimulatedWorker::excess).max().orElse(0);
    }

    /** Returns the number of parts that reached workers while they were in slow start. */
    int arrivalsInSlowStart() {
        return workers.values().stream().mapToInt(worker -> worker.arrivals.size()).sum();
    }

    /**
     * Returns the number of parts that a worker with this share of its capacity may get within the window, with the
     * slack.
     */
    private double bound(double capacityShare, double speed) {
        PlatformRules rules = settings.rules();
        double partsPerSecond = CORES * speed * 1e6 / scenario.meanWork;
        double calls = rules.overloadMultiple() * capacityShare * partsPerSecond * rules.overloadWindow() / 1e6;
        return calls + (calls < LARGE_BOUND_CALLS ? 3 * Math.sqrt(calls) + 3 : 2 * Math.sqrt(calls) + 2);
    }

    /** A worker: cores, a queue before them, and a process that may be down. */
    private final class SimulatedWorker {
        final String id;
        final int cell;
        final double speed;
        private final double size;
        final List<Arrival> arrivals = new ArrayList<>();
        final Map<Integer, Long> notifiedAt = new HashMap<>();
        private final ArrayDeque<Call> queue = new ArrayDeque<>();
        private int busy;
        private boolean isDown;
        private int incarnation;
        private long startedAt = Absent.VALUE;

        SimulatedWorker(String id, int cell, double speed) {
            this.id = id;
            this.cell = cell;
            this.speed = speed;
            size = speed * (1 - MAX_SIZE_ERROR + 2 * MAX_SIZE_ERROR * random.nextDouble());
        }

        double capacityShare(long at) {
            PlatformRules rules = settings.rules();
            return startedAt == Absent.VALUE || at - startedAt >= rules.slowStartWindow() ? 1
                    : rules.slowStartShare()
                            + (1 - rules.slowStartShare()) * (at - startedAt) / rules.slowStartWindow();
        }

        private boolean isInSlowStart(long at) {
            return startedAt != Absent.VALUE && at - startedAt < settings.rules().slowStartWindow();
        }

        void crash() {
            isDown = true;
            incarnation++;
            busy = 0;
            queue.clear();
            for (SimulatedGatherer gatherer : gatherers) {
                gatherer.reset(id);
            }
        }

        void recover() {
            isDown = false;
            startedAt = now;
            arrivals.clear();
            for (SimulatedGatherer gatherer : gatherers) {
                schedule(random.nextLong(Math.max(1, scenario.maxListDelay)), () -> gatherer.onWorkerRestarted(this));
            }
        }

        WorkerListEntry entry() {
            return new WorkerListEntry(id, 0, 0, cell, WorkerStatus.UP, size,
                    startedAt == Absent.VALUE ? Absent.VALUE : startedAt / 1000 * 1000);
        }

        void receive(Call call) {
            if (isDown) {
                schedule(HOP_MICROS, () -> call.gatherer.onAttemptEnded(call, id, AttemptEndReason.CONNECT_FAILED));
                return;
            }
            if (isInSlowStart(now)) {
                arrivals.add(new Arrival(now, call.gatherer.position));
            }
            queue.add(call);
            startWork();
        }

        private void startWork() {
            while (busy < CORES && !queue.isEmpty()) {
                Call call = queue.poll();
                busy++;
                int currentIncarnation = incarnation;
                schedule((long) (call.work / speed / capacityShare(now)), () -> {
                    if (currentIncarnation == incarnation) {
                        busy--;
                        schedule(HOP_MICROS, () -> call.gatherer.onAttemptEnded(call, id, AttemptEndReason.OK));
                        startWork();
                    }
                });
            }
        }

        /**
         * Returns the largest excess over all windows that end with an arrival; a window counts if notified gatherers
         * sent most of it.
         */
        double excess() {
            double worst = Double.NEGATIVE_INFINITY;
            long window = settings.rules().overloadWindow();
            for (int lastIndex = 0, firstIndex = 0; lastIndex < arrivals.size(); lastIndex++) {
                long end = arrivals.get(lastIndex).at;
                while (arrivals.get(firstIndex).at <= end - window) {
                    firstIndex++;
                }
                int notified = 0;
                for (int i = firstIndex; i <= lastIndex; i++) {
                    notified += notifiedAt.getOrDefault(arrivals.get(i).gatherer, Long.MAX_VALUE) <= arrivals.get(i).at
                            ? 1 : 0;
                }
                int total = lastIndex - firstIndex + 1;
                if (notified > MIN_NOTIFIED_SHARE * total) {
                    worst = Math.max(worst, total - bound(capacityShare(end), speed));
                }
            }
            return worst;
        }
    }

    /** A policy with its environment: timers, connections, and queries of its own clients. */
    private final class SimulatedGatherer implements RoutingActions {
        final int position;
        private RoutingPolicy policy;
        private int incarnation;
        private long queryCount;
        private final Map<String, Integer> attempts = new HashMap<>();
        private final Map<Call, String> inFlight = new HashMap<>();
        private final Map<String, Long> connectedAt = new HashMap<>();

        SimulatedGatherer(int position) {
            this.position = position;
        }

        void start() {
            policy = new RoutingPolicy(settings.withGatherers(scenario.gatherers, position),
                    scenario.seed * 1_000 + position * 10L + incarnation,
                    this);
            policy.onStart(now);
            policy.onWorkerList(now, WorkerListKind.CACHED,
                    workers.values().stream().map(SimulatedWorker::entry).toList());
            policy.onRoundEnd(now);
            workers.values().stream().filter(worker -> worker.startedAt != Absent.VALUE)
                    .forEach(worker -> worker.notifiedAt.putIfAbsent(position, now));
            scheduleNextQuery(incarnation);
        }

        /**
         * Kills the gatherer. A new process replaces it half a second later, without knowledge of the parts sent
         * before.
         */
        void restart() {
            incarnation++;
            inFlight.clear();
            attempts.clear();
            connectedAt.clear();
            policy = null;
            schedule(SECOND_MICROS / 2, this::start);
        }

        void onWorkerRestarted(SimulatedWorker worker) {
            worker.notifiedAt.putIfAbsent(position, now);
            if (policy != null) {
                policy.onWorkerList(now, WorkerListKind.CHANGES, List.of(worker.entry()));
                policy.onRoundEnd(now);
            }
        }

        private void scheduleNextQuery(int currentIncarnation) {
            double queriesPerSecond = 3.0 * CORES * 1e6 / scenario.meanWork * scenario.load
                    * (inBurst() ? scenario.burst : 1) * scenario.cells * (1 + SLOW_MACHINE_SPEED) / 2
                    / scenario.gatherers / scenario.parts;
            schedule((long) (-Math.log(1 - random.nextDouble()) / queriesPerSecond * 1e6), () -> {
                if (currentIncarnation == incarnation) {
                    query();
                    scheduleNextQuery(currentIncarnation);
                }
            });
        }

        private void query() {
            String id = "q" + position + "-" + incarnation + "-" + queryCount;
            policy.onQueryArrived(now,
                    new QueryArrived(id, queryCount, 0, 0, null, now + 4 * SECOND_MICROS, Absent.VALUE, scenario.parts,
                            false, true, false));
            int firstShard = random.nextInt(settings.layout().shards());
            for (int i = 0; i < scenario.parts; i++) {
                int shard = (firstShard + i) % settings.layout().shards();
                policy.onPartArrived(now,
                        new PartArrived(id + "/" + i, queryCount, shard, 1.0 / scenario.parts, Absent.VALUE));
            }
            queryCount++;
            policy.onRoundEnd(now);
        }

        void reset(String worker) {
            connectedAt.remove(worker);
            for (Call call : List.copyOf(inFlight.keySet())) {
                if (worker.equals(inFlight.get(call))) {
                    schedule(HOP_MICROS, () -> onAttemptEnded(call, worker, AttemptEndReason.RESET));
                }
            }
        }

        void onAttemptEnded(Call call, String worker, AttemptEndReason reason) {
            if (inFlight.remove(call) != null && policy != null) {
                policy.onAttemptEnded(now, new AttemptEnded(call.part, call.number, worker, reason, now - call.sentAt,
                        reason == AttemptEndReason.OK, Map.of()));
                policy.onRoundEnd(now);
            }
        }

        @Override
        public void startAttempt(String part, String worker, long timeout, long maxStartDelay) {
            int number = attempts.merge(part, 1, Integer::sum) - 1;
            long work = (long) (scenario.meanWork * Math.exp(0.4 * random.nextGaussian() - 0.08));
            var call = new Call(this, part, number, now, work);
            inFlight.put(call, worker);
            long connectionReadyAt = connectedAt.computeIfAbsent(worker,
                    key -> now + random.nextLong(scenario.maxConnectTime + 1));
            schedule(Math.max(HOP_MICROS, connectionReadyAt - now), () -> {
                if (inFlight.containsKey(call)) {
                    workers.get(worker).receive(call);
                }
            });
            schedule(timeout, () -> onAttemptEnded(call, worker, AttemptEndReason.TIMEOUT));
        }

        @Override
        public void cancelAttempt(String part, int attempt) {
            schedule(0, () -> inFlight.keySet().stream()
                    .filter(call -> call.part.equals(part) && call.number == attempt).findFirst()
                    .ifPresent(call -> onAttemptEnded(call, inFlight.get(call), AttemptEndReason.CANCELLED)));
        }

        @Override
        public void scheduleTimer(long delay, String token) {
            int currentIncarnation = incarnation;
            schedule(delay, () -> {
                if (currentIncarnation == incarnation && policy != null) {
                    policy.onTimer(now, token);
                    policy.onRoundEnd(now);
                }
            });
        }

        @Override
        public void answer(String query, boolean complete) {
            // has no effect in this simulation
        }

        @Override
        public void reject(String query, long retryAfter) {
            // has no effect in this simulation
        }

        @Override
        public void fail(String query) {
            // has no effect in this simulation
        }

        @Override
        public void closeIdleConnections(String worker) {
            // has no effect in this simulation
        }

        @Override
        public void broadcast(byte[] message) {
            // gatherers don't communicate in this simulation
        }

        @Override
        public void watchWorkerList() {
            // lists are pushed in this simulation
        }

        @Override
        public void log(String line) {
            // has no effect in this simulation
        }
    }
}
