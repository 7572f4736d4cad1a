package wallmoor.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Discrete-event simulation of processes of any kind in one thread: one true time, a clock for each node that may drift
 * from it, and a network. The same seed and faults give the same run. It knows nothing of what its processes decide,
 * and {@code serve} never uses it. Times are microseconds.
 */
public final class SimulatedCluster {
    /** A node's process. Times are those of its own clock. */
    public interface SimulatedProcess {
        /** A message has come. */
        void onMessage(long now, int from, Object message);

        /** Time has passed. */
        void onTick(long now);
    }

    /** Observes processes, at true times. */
    public interface ProcessListener {
        /** The process has handled an event at this time, and runs on. */
        void onStep(int node, long at);

        /** The process is paused or has ended from this time on. */
        void onStopped(int node, long at);
    }

    /** {@code order} keeps events of one time in the order in which they were scheduled. */
    private record QueuedEvent(long at, long order, int to, int incarnation, int from, Object message) {}

    private static final class SimulatedHost {
        SimulatedProcess process;
        int incarnation;
        boolean up;
        double clockRate = 1;
        long clockOffset;
        long pausedUntil = Long.MIN_VALUE;
        /** What came while the process was paused. */
        final List<QueuedEvent> unread = new ArrayList<>();
    }

    private static final int ANY_INCARNATION = -1;
    private static final Object TICK = new Object();

    private final long tickMicros;
    private final RandomGenerator random;
    private final PriorityQueue<QueuedEvent> events = new PriorityQueue<>(
            Comparator.comparingLong(QueuedEvent::at).thenComparingLong(QueuedEvent::order));
    private final SimulatedHost[] hosts;
    private final ProcessListener listener;
    private GroupSimulation.NetworkLink link = GroupSimulation.RELIABLE;
    private long now;
    private long eventCount;

    /**
     * Creates hosts without processes.
     *
     * @param tickMicros between two ticks of a process
     */
    public SimulatedCluster(int hostCount, long tickMicros, long seed, ProcessListener listener) {
        this.tickMicros = tickMicros;
        this.listener = listener;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        hosts = new SimulatedHost[hostCount];
        for (int i = 0; i < hostCount; i++) {
            hosts[i] = new SimulatedHost();
        }
    }

    /** Returns the true time. */
    public long now() {
        return now;
    }

    /** Returns the source of the simulation's random draws. */
    public RandomGenerator random() {
        return random;
    }

    /** Sets what the network does with each message from now on. */
    public void setLink(GroupSimulation.NetworkLink next) {
        link = next;
    }

    /** Sets the rate of a node's clock and what it shows at true time 0; to be called before the node's first start. */
    public void setClock(int node, double rate, long offset) {
        hosts[node].clockRate = rate;
        hosts[node].clockOffset = offset;
    }

    /** Returns what a node's clock shows at a true time. */
    public long localTime(int node, long at) {
        return hosts[node].clockOffset + (long) (at * hosts[node].clockRate);
    }

    /** Returns the latest true time at which a node's clock shows this. */
    public long latestTrueTime(int node, long local) {
        return (long) Math.ceil((local - hosts[node].clockOffset) / hosts[node].clockRate);
    }

    /** Starts a process on a node, after ending the one there. The factory gets the process's incarnation. */
    public void start(int node, IntFunction<SimulatedProcess> factory) {
        SimulatedHost host = hosts[node];
        kill(node);
        host.incarnation++;
        host.up = true;
        host.pausedUntil = Long.MIN_VALUE;
        host.unread.clear();
        host.process = factory.apply(host.incarnation);
        schedule(now + 1 + random.nextLong(tickMicros), node, host.incarnation, node, TICK);
        listener.onStep(node, now);
    }

    /** Ends a process; what was on its way to it is lost. */
    public void kill(int node) {
        if (hosts[node].up) {
            hosts[node].up = false;
            listener.onStopped(node, now);
        }
    }

    /** Pauses a process for so long; its clock goes on. */
    public void pause(int node, long micros) {
        SimulatedHost host = hosts[node];
        if (host.up) {
            host.pausedUntil = Math.max(host.pausedUntil, now + micros);
            listener.onStopped(node, now);
            schedule(host.pausedUntil, node, host.incarnation, node, null); // wakes it
        }
    }

    /** Returns whether there is a process that has not ended; it may be paused. */
    public boolean isUp(int node) {
        return hosts[node].up;
    }

    /** Returns whether there is a process that is not paused. */
    public boolean isRunning(int node) {
        return hosts[node].up && now >= hosts[node].pausedUntil;
    }

    /** Returns whether a message would get through now. */
    public boolean reaches(int from, int to) {
        return from == to || link.delay(from, to, now, random) >= 0;
    }

    /** Sends a message, which the network may delay or lose. */
    public void send(int from, int to, Object message) {
        long delay = from == to ? 1 : link.delay(from, to, now, random);
        if (delay >= 0) {
            schedule(now + delay, to, ANY_INCARNATION, from, message);
        }
    }

    /** Delivers a message to a process after a time, past the network; it is lost if the process ends. */
    public void deliverLater(int node, long micros, Object message) {
        schedule(now + micros, node, hosts[node].incarnation, node, message);
    }

    private void schedule(long at, int to, int incarnation, int from, Object message) {
        events.add(new QueuedEvent(at, ++eventCount, to, incarnation, from, message));
    }

    /** Runs the simulation for so long. */
    public void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at <= end) {
            QueuedEvent event = events.poll();
            now = event.at;
            deliver(hosts[event.to], event);
        }
        now = end;
    }

    private void deliver(SimulatedHost host, QueuedEvent event) {
        if (!host.up || (event.incarnation != ANY_INCARNATION && event.incarnation != host.incarnation)) {
            return;
        }
        if (now < host.pausedUntil) {
            host.unread.add(event);
        } else if (host.unread.isEmpty()) {
            handle(host, event);
        } else {
            host.unread.add(event);
            wake(host, event.to);
        }
    }

    /** Handles what came during a pause, in an order that is drawn, as threads of a real process would have it. */
    private void wake(SimulatedHost host, int node) {
        List<QueuedEvent> late = List.copyOf(host.unread);
        host.unread.clear();
        listener.onStep(node, now); // it may act before it hears of anything
        if (random.nextBoolean()) {
            late.stream().filter(event -> event.message == TICK).forEach(event -> handle(host, event));
            late.stream().filter(event -> event.message != TICK).forEach(event -> handle(host, event));
        } else {
            late.forEach(event -> handle(host, event));
        }
    }

    private void handle(SimulatedHost host, QueuedEvent event) {
        long local = localTime(event.to, now);
        if (event.message == TICK) {
            host.process.onTick(local);
            schedule(now + tickMicros, event.to, host.incarnation, event.to, TICK);
        } else if (event.message != null) {
            host.process.onMessage(local, event.from, event.message);
        }
        listener.onStep(event.to, now);
    }
}
