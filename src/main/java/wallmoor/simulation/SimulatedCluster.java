package wallmoor.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Nodes of any kind on one true time, each with a clock that may run apart from it, and a network; in one thread: the
 * same seed and the same faults give the same run. Never used by {@code serve}. It must not know what its nodes decide.
 */
public final class SimulatedCluster {
    /** A node's process. Times are those of its own clock, microseconds. */
    public interface SimulatedProcess {
        /** A message has come. */
        void onMessage(long now, int from, Object message);

        /** Time goes on. */
        void onTick(long now);
    }

    /** What is told of a node's process, at true times. */
    public interface ProcessListener {
        /** It has done what it did at this time, and goes on. */
        void onStep(int node, long at);

        /** It stands still, or is dead, from this time on. */
        void onStopped(int node, long at);
    }

    private record Event(long at, long order, int to, int incarnation, int from, Object message) {}

    private static final class SimulatedHost {
        SimulatedProcess node;
        int incarnation;
        boolean up;
        double clockRate = 1;
        long clockOffset;
        long pausedUntil = Long.MIN_VALUE;
        final List<Event> unread = new ArrayList<>();
    }

    private static final int ANY_INCARNATION = -1;
    private static final Object TICK = new Object();

    private final long tickMicros;
    private final RandomGenerator random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
            : Long.compare(a.order, b.order));
    private final SimulatedHost[] hosts;
    private final ProcessListener watcher;
    private GroupSimulation.NetworkLink setLink = GroupSimulation.RELIABLE;
    private long now;
    private long eventCount;

    /** So many places without a node. {@code tick} is the time between two ticks of a node. */
    public SimulatedCluster(int count, long tick, long seed, ProcessListener watcher) {
        this.tickMicros = tick;
        this.watcher = watcher;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        hosts = new SimulatedHost[count];
        for (int i = 0; i < count; i++) {
            hosts[i] = new SimulatedHost();
        }
    }

    /** True time. */
    public long now() {
        return now;
    }

    /** The world's own draws. */
    public RandomGenerator random() {
        return random;
    }

    /** What the network does from now on. */
    public void setLink(GroupSimulation.NetworkLink next) {
        setLink = next;
    }

    /** How fast a node's clock runs, and what it shows at true time 0; before the node's first start. */
    public void setClock(int node, double rate, long offset) {
        hosts[node].clockRate = rate;
        hosts[node].clockOffset = offset;
    }

    /** What a node's clock shows at a true time. */
    public long localTime(int node, long at) {
        return hosts[node].clockOffset + (long) (at * hosts[node].clockRate);
    }

    /** The true time at which a node's clock shows this, at the latest. */
    public long latestTrueTime(int node, long local) {
        return (long) Math.ceil((local - hosts[node].clockOffset) / hosts[node].clockRate);
    }

    /** Starts a process at a place. The maker is handed its life, which no other process there has. */
    public void start(int node, IntFunction<SimulatedProcess> maker) {
        SimulatedHost p = hosts[node];
        kill(node);
        p.incarnation++;
        p.up = true;
        p.pausedUntil = Long.MIN_VALUE;
        p.unread.clear();
        p.node = maker.apply(p.incarnation);
        events.add(new Event(now + 1 + random.nextLong(tickMicros), ++eventCount, node, p.incarnation, node, TICK));
        watcher.onStep(node, now);
    }

    /** A process ends: what was on its way to it is lost. */
    public void kill(int node) {
        if (hosts[node].up) {
            hosts[node].up = false;
            watcher.onStopped(node, now);
        }
    }

    /** A process stands still for so long; its clock goes on. */
    public void pause(int node, long micros) {
        if (isUp(node)) {
            hosts[node].pausedUntil = Math.max(hosts[node].pausedUntil, now + micros);
            watcher.onStopped(node, now);
            events.add(new Event(hosts[node].pausedUntil, ++eventCount, node, hosts[node].incarnation, node, null));
        }
    }

    /** Whether there is a process that has not ended. */
    public boolean isUp(int node) {
        return hosts[node].up;
    }

    /** Whether it runs now. */
    public boolean isRunning(int node) {
        return hosts[node].up && now >= hosts[node].pausedUntil;
    }

    /** Whether a message would get through now. */
    public boolean reaches(int from, int to) {
        return from == to || setLink.delay(from, to, now, random) >= 0;
    }

    /** Sends a message. */
    public void send(int from, int to, Object message) {
        long delay = from == to ? 1 : setLink.delay(from, to, now, random);
        if (delay >= 0) {
            events.add(new Event(now + delay, ++eventCount, to, ANY_INCARNATION, from, message));
        }
    }

    /** Hands a process a message at a later time, come what may of the network; it is lost if the process ends. */
    public void deliverLater(int node, long micros, Object message) {
        events.add(new Event(now + micros, ++eventCount, node, hosts[node].incarnation, node, message));
    }

    /** Lets time pass. */
    public void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = e.at;
            SimulatedHost p = hosts[e.to];
            if (!p.up || e.incarnation != ANY_INCARNATION && e.incarnation != p.incarnation) {
                continue;
            }
            if (now < p.pausedUntil) {
                p.unread.add(e);
            } else if (!p.unread.isEmpty()) { // it wakes: what it does first is drawn, as threads would have it
                p.unread.add(e);
                List<Event> late = List.copyOf(p.unread);
                p.unread.clear();
                watcher.onStep(e.to, now); // before it hears of anything
                if (random.nextBoolean()) {
                    late.stream().filter(l -> l.message == TICK).forEach(l -> handle(p, l));
                    late.stream().filter(l -> l.message != TICK).forEach(l -> handle(p, l));
                } else {
                    late.forEach(l -> handle(p, l));
                }
            } else {
                handle(p, e);
            }
        }
        now = end;
    }

    private void handle(SimulatedHost p, Event e) {
        long local = localTime(e.to, now);
        if (e.message == TICK) {
            p.node.onTick(local);
            events.add(new Event(now + tickMicros, ++eventCount, e.to, p.incarnation, e.to, TICK));
        } else if (e.message != null) {
            p.node.onMessage(local, e.from, e.message);
        }
        watcher.onStep(e.to, now);
    }
}
