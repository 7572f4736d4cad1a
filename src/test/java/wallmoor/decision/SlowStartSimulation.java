package wallmoor.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Many modules and the workers that they share on one simulated clock. The workers of the first cell die together and
 * come back in slow start, so that all demand for their shards waits for what the modules send them. Each worker keeps
 * the times at which parts reached it, and {@link #worstExcess} holds them against the bound that the settings state.
 */
final class SlowStartSimulation {
    static final long MS = 1000;
    static final long SECOND = 1_000 * MS;
    private static final int CORES = 2;
    /** Speed of the slow kind of machines, half of all. */
    private static final double SLOW = 0.75;
    /** Sizes in lists are rough: off by at most so much. */
    private static final double ROUGH = 0.1;
    private static final long HOP = 1 * MS;
    /** Calls from which the slack of the bound is 2 x the square root + 2; below it is 3 x the square root + 3. */
    private static final int FEW_CALLS = 30;
    /** The rule is broken where more than this share of what reached the worker came from modules told of its start. */
    private static final double TOLD_SHARE = 2.0 / 3;

    /**
     * One simulated day.
     *
     * @param gatherers        modules side by side
     * @param cells        cells of three workers each; those of the first are restarted
     * @param parts        parts of a query
     * @param work         mean work of a part on a fast warm core (microseconds)
     * @param load         demand over capacity before the burst
     * @param burst        demand during the burst, over that before it
     * @param restarted    share of the modules that are restarted while workers are in slow start
     * @param dialLasts    a first connection to a worker takes up to this (microseconds)
     * @param toldAfter    lists tell of a start so late at the most (microseconds)
     */
    record Scenario(long seed, int gatherers, int cells, int parts, long work, double load, double burst,
            double restarted,
            long dialLasts,
            long toldAfter) {}

    private record Event(long at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private record Arrival(long at, int gatherer) {}

    private record Call(SimulatedGatherer gatherer, String part, int number, long sentAt, long work) {}

    private final Scenario day;
    private final Random random;
    private final RoutingSettings settings;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SimulatedGatherer> gatherers = new ArrayList<>();
    private final Map<String, SimulatedWorker> machines = new HashMap<>();
    private long order;
    private long now = 1_700_000_000 * SECOND;
    private final long begun = now;

    SlowStartSimulation(Scenario day, RoutingSettings settings) {
        this.day = day;
        this.settings = settings;
        random = new Random(day.seed);
        for (int i = 0; i < 3 * day.cells; i++) {
            machines.put("w" + i, new SimulatedWorker("w" + i, i % day.cells, random.nextBoolean() ? 1 : SLOW));
        }
        for (int i = 0; i < day.gatherers; i++) {
            gatherers.add(new SimulatedGatherer(i));
        }
    }

    /**
     * Plays the day to its end: the first cell dies at 10 s, is back at 11 to 12 s, and the burst lasts from 11 to 18
     * s.
     */
    SlowStartSimulation play() {
        gatherers.forEach(SimulatedGatherer::begin);
        machines.values().stream().filter(m -> m.cell == 0).forEach(m -> {
            in(10 * SECOND, m::crash);
            in(11 * SECOND + random.nextLong(SECOND), m::comeBack);
        });
        for (SimulatedGatherer gatherer : gatherers) {
            if (random.nextDouble() < day.restarted) {
                in(12 * SECOND + random.nextLong(8 * SECOND), gatherer::restart);
            }
        }
        long end = begun + 24 * SECOND;
        while (!events.isEmpty() && events.peek().at < end) {
            Event event = events.poll();
            now = event.at;
            event.what.run();
        }
        return this;
    }

    private void in(long after, Runnable what) {
        events.add(new Event(now + after, order++, what));
    }

    private boolean inBurst() {
        return now >= begun + 11 * SECOND && now < begun + 18 * SECOND;
    }

    /**
     * The most by which any window at a worker in slow start lies above what the bound allows then; 0 or less where
     * none does.
     */
    double worstExcess() {
        return machines.values().stream().mapToDouble(SimulatedWorker::excess).max().orElse(0);
    }

    /** Parts that reached workers while they were in slow start. */
    int sentCold() {
        return machines.values().stream().mapToInt(m -> m.arrivals.size()).sum();
    }

    /** What a worker of this warmth may get within the window, with the slack. */
    private double bound(double warmth, double speed) {
        PlatformRules rules = settings.rules();
        double perSecond = CORES * speed * 1e6 / day.work;
        double calls = rules.overloadMultiple() * warmth * perSecond * rules.overloadWindow() / 1e6;
        return calls + (calls < FEW_CALLS ? 3 * Math.sqrt(calls) + 3 : 2 * Math.sqrt(calls) + 2);
    }

    /** A worker: cores that work, a queue before them, and a process that may be gone. */
    private final class SimulatedWorker {
        final String id;
        final int cell;
        final double speed;
        private final double size;
        final List<Arrival> arrivals = new ArrayList<>();
        final Map<Integer, Long> toldAt = new HashMap<>();
        private final ArrayDeque<Call> queue = new ArrayDeque<>();
        private int busy;
        private boolean away;
        private int incarnation;
        private long startedAt = Absent.VALUE;

        SimulatedWorker(String id, int cell, double speed) {
            this.id = id;
            this.cell = cell;
            this.speed = speed;
            size = speed * (1 - ROUGH + 2 * ROUGH * random.nextDouble());
        }

        double warmth(long at) {
            PlatformRules rules = settings.rules();
            return startedAt == Absent.VALUE || at - startedAt >= rules.slowStartWindow() ? 1
                    : rules.slowStartShare()
                            + (1 - rules.slowStartShare()) * (at - startedAt) / rules.slowStartWindow();
        }

        private boolean isInSlowStart(long at) {
            return startedAt != Absent.VALUE && at - startedAt < settings.rules().slowStartWindow();
        }

        void crash() {
            away = true;
            incarnation++;
            busy = 0;
            queue.clear();
            for (SimulatedGatherer gatherer : gatherers) {
                gatherer.reset(id);
            }
        }

        void comeBack() {
            away = false;
            startedAt = now;
            arrivals.clear();
            for (SimulatedGatherer gatherer : gatherers) {
                in(random.nextLong(Math.max(1, day.toldAfter)), () -> gatherer.told(this));
            }
        }

        WorkerListEntry entry() {
            return new WorkerListEntry(id, 0, 0, cell, WorkerStatus.UP, size,
                    startedAt == Absent.VALUE ? Absent.VALUE : startedAt / 1000 * 1000);
        }

        void take(Call call) {
            if (away) {
                in(HOP, () -> call.gatherer.ends(call, id, AttemptEndReason.CONNECT_FAILED));
                return;
            }
            if (isInSlowStart(now)) {
                arrivals.add(new Arrival(now, call.gatherer.place));
            }
            queue.add(call);
            work();
        }

        private void work() {
            while (busy < CORES && !queue.isEmpty()) {
                Call call = queue.poll();
                busy++;
                int mine = incarnation;
                in((long) (call.work / speed / warmth(now)), () -> {
                    if (mine == incarnation) {
                        busy--;
                        in(HOP, () -> call.gatherer.ends(call, id, AttemptEndReason.OK));
                        work();
                    }
                });
            }
        }

        /** Over all windows that end with an arrival, counted where modules had been told sent most of it. */
        double excess() {
            double worst = Double.NEGATIVE_INFINITY;
            long window = settings.rules().overloadWindow();
            for (int last = 0, first = 0; last < arrivals.size(); last++) {
                long end = arrivals.get(last).at;
                while (arrivals.get(first).at <= end - window) {
                    first++;
                }
                int told = 0;
                for (int i = first; i <= last; i++) {
                    told += toldAt.getOrDefault(arrivals.get(i).gatherer, Long.MAX_VALUE) <= arrivals.get(i).at ? 1 : 0;
                }
                int all = last - first + 1;
                if (told > TOLD_SHARE * all) {
                    worst = Math.max(worst, all - bound(warmth(end), speed));
                }
            }
            return worst;
        }
    }

    /** A module with what stands round it: timers, connections, queries of its own clients. */
    private final class SimulatedGatherer implements RoutingActions {
        final int place;
        private RoutingPolicy brain;
        private int incarnation;
        private long numbers;
        private final Map<String, Integer> attempts = new HashMap<>();
        private final Map<Call, String> out = new HashMap<>();
        private final Map<String, Long> connected = new HashMap<>();

        SimulatedGatherer(int place) {
            this.place = place;
        }

        void begin() {
            brain = new RoutingPolicy(settings.amongGatherers(day.gatherers, place),
                    day.seed * 1_000 + place * 10L + incarnation,
                    this);
            brain.onStart(now);
            brain.onWorkerList(now, WorkerListKind.CACHED,
                    machines.values().stream().map(SimulatedWorker::entry).toList());
            brain.onRoundEnd(now);
            machines.values().stream().filter(m -> m.startedAt != Absent.VALUE)
                    .forEach(m -> m.toldAt.putIfAbsent(place, now));
            next(incarnation);
        }

        /** Killed; a new process takes its place a moment later, and knows nothing of what was sent. */
        void restart() {
            incarnation++;
            out.clear();
            attempts.clear();
            connected.clear();
            brain = null;
            in(SECOND / 2, this::begin);
        }

        void told(SimulatedWorker machine) {
            machine.toldAt.putIfAbsent(place, now);
            if (brain != null) {
                brain.onWorkerList(now, WorkerListKind.CHANGES, List.of(machine.entry()));
                brain.onRoundEnd(now);
            }
        }

        private void next(int mine) {
            double each = 3.0 * CORES * 1e6 / day.work * day.load * (inBurst() ? day.burst : 1) * day.cells * (1 + SLOW)
                    / 2
                    / day.gatherers / day.parts;
            in((long) (-Math.log(1 - random.nextDouble()) / each * 1e6), () -> {
                if (mine == incarnation) {
                    query();
                    next(mine);
                }
            });
        }

        private void query() {
            String id = "q" + place + "-" + incarnation + "-" + numbers;
            brain.onQueryArrived(now,
                    new QueryArrived(id, numbers, 0, 0, null, now + 4 * SECOND, Absent.VALUE, day.parts,
                            false));
            int first = random.nextInt(settings.layout().shards());
            for (int i = 0; i < day.parts; i++) {
                int shard = (first + i) % settings.layout().shards();
                brain.onPartArrived(now,
                        new PartArrived(id + "/" + i, numbers, shard, 1.0 / day.parts, Absent.VALUE));
            }
            numbers++;
            brain.onRoundEnd(now);
        }

        void reset(String worker) {
            connected.remove(worker);
            for (Call call : List.copyOf(out.keySet())) {
                if (worker.equals(out.get(call))) {
                    in(HOP, () -> ends(call, worker, AttemptEndReason.RESET));
                }
            }
        }

        void ends(Call call, String worker, AttemptEndReason outcome) {
            if (out.remove(call) != null && brain != null) {
                brain.onAttemptEnded(now, new AttemptEnded(call.part, call.number, worker, outcome, now - call.sentAt,
                        outcome == AttemptEndReason.OK, Map.of()));
                brain.onRoundEnd(now);
            }
        }

        @Override
        public void startAttempt(String part, String worker, long giveUpAfter, long beginWithin) {
            int number = attempts.merge(part, 1, Integer::sum) - 1;
            long work = (long) (day.work * Math.exp(0.4 * random.nextGaussian() - 0.08));
            var call = new Call(this, part, number, now, work);
            out.put(call, worker);
            long up = connected.computeIfAbsent(worker, l -> now + random.nextLong(day.dialLasts + 1));
            in(Math.max(HOP, up - now), () -> {
                if (out.containsKey(call)) {
                    machines.get(worker).take(call);
                }
            });
            in(giveUpAfter, () -> ends(call, worker, AttemptEndReason.TIMEOUT));
        }

        @Override
        public void cancelAttempt(String part, int attempt) {
            in(0, () -> out.keySet().stream().filter(c -> c.part.equals(part) && c.number == attempt).findFirst()
                    .ifPresent(c -> ends(c, out.get(c), AttemptEndReason.CANCELLED)));
        }

        @Override
        public void scheduleTimer(long in, String token) {
            int mine = incarnation;
            in(in, () -> {
                if (mine == incarnation && brain != null) {
                    brain.onTimer(now, token);
                    brain.onRoundEnd(now);
                }
            });
        }

        @Override
        public void answer(String query, boolean whole) {
            // the client is content
        }

        @Override
        public void reject(String query, long comeBackAfter) {
            // the client goes away
        }

        @Override
        public void fail(String query) {
            // the client goes away
        }

        @Override
        public void closeIdleConnections(String worker) {
            // connections stay
        }

        @Override
        public void broadcast(byte[] contents) {
            // they don't talk
        }

        @Override
        public void watchWorkerList() {
            // lists come by themselves
        }

        @Override
        public void log(String line) {
            // nobody reads it
        }
    }
}
