package wallmoor.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * A single-threaded discrete-event simulation of processes of any kind: one true time, a clock for each node that may
 * drift from it, and a network. The same seed and faults give the same run. It does not depend on the logic of its
 * processes, and {@code serve} never uses it. Times are microseconds.
 */
public final class SimulatedCluster {
    /** A node's process. Its times are those of the node's own clock. */
    public interface SimulatedProcess {
        /** Handles a message that arrives. */
        void onMessage(long now, int from, Object message);

        /** Handles a tick, which comes at a regular interval. */
        void onTick(long now);
    }

    /** Observes processes, at true times. */
    public interface ProcessListener {
        /** Called when a process has started, has handled an event, or is about to handle the events of a pause. */
        void onStep(int node, long at);

        /** Called when a process has been paused or has ended. */
        void onStopped(int node, long at);
    }

    /**
     * An event that is scheduled for a true time.
     *
     * @param order the rank among events of the same time, which is the order of scheduling
     */
    private record QueuedEvent(long at, long order, int to, int incarnation, int from, Object message) {}

    private static final class SimulatedHost {
        SimulatedProcess process;
        int incarnation;
        boolean isUp;
        double clockRate = 1;
        long clockOffset;
        long pausedUntil = Long.MIN_VALUE;
        /** The events that arrived while the process was paused. */
        final List<QueuedEvent> unreadEvents = new ArrayList<>();
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
    private long scheduledCount;

    /**
     * Creates hosts without processes.
     *
     * @param tickMicros microseconds between two ticks of a process
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

    /** Sets the delay and loss of messages from now on. */
    public void setLink(GroupSimulation.NetworkLink newLink) {
        link = newLink;
    }

    /** Sets the rate of a node's clock and its time at true time 0. To be called before the node's first start. */
    public void setClock(int node, double rate, long offset) {
        hosts[node].clockRate = rate;
        hosts[node].clockOffset = offset;
    }

    /** Returns the time of a node's clock at a true time. */
    public long localTime(int node, long at) {
        return hosts[node].clockOffset + (long) (at * hosts[node].clockRate);
    }

    /** Returns the latest true time that corresponds to a time of a node's clock. */
    public long latestTrueTime(int node, long local) {
        return (long) Math.ceil((local - hosts[node].clockOffset) / hosts[node].clockRate);
    }

    /** Starts a process on a node, after ending the one that runs. The factory receives the process's incarnation. */
    public void start(int node, IntFunction<SimulatedProcess> factory) {
        SimulatedHost host = hosts[node];
        kill(node);
        host.incarnation++;
        host.isUp = true;
        host.pausedUntil = Long.MIN_VALUE;
        host.unreadEvents.clear();
        host.process = factory.apply(host.incarnation);
        schedule(now + 1 + random.nextLong(tickMicros), node, host.incarnation, node, TICK);
        listener.onStep(node, now);
    }

    /** Ends a process. Messages that arrive before the next start are lost. */
    public void kill(int node) {
        if (hosts[node].isUp) {
            hosts[node].isUp = false;
            listener.onStopped(node, now);
        }
    }

    /** Pauses a process for a time; its clock goes on. */
    public void pause(int node, long micros) {
        SimulatedHost host = hosts[node];
        if (host.isUp) {
            host.pausedUntil = Math.max(host.pausedUntil, now + micros);
            listener.onStopped(node, now);
            // an event without a message resumes the process
            schedule(host.pausedUntil, node, host.incarnation, node, null);
        }
    }

    /** Returns whether a node has a process; it may be paused. */
    public boolean isUp(int node) {
        return hosts[node].isUp;
    }

    /** Returns whether a node has a process that is not paused. */
    public boolean isRunning(int node) {
        return hosts[node].isUp && now >= hosts[node].pausedUntil;
    }

    /** Returns whether the network would deliver a message now; draws a random delay or loss for it. */
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

    /** Delivers a message to a process after a time, without the network. It is lost if the process ends before. */
    public void deliverLater(int node, long micros, Object message) {
        schedule(now + micros, node, hosts[node].incarnation, node, message);
    }

    private void schedule(long at, int to, int incarnation, int from, Object message) {
        events.add(new QueuedEvent(at, ++scheduledCount, to, incarnation, from, message));
    }

    /** Runs the simulation for a time. */
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
        if (!host.isUp || (event.incarnation != ANY_INCARNATION && event.incarnation != host.incarnation)) {
            return;
        }
        if (now < host.pausedUntil) {
            host.unreadEvents.add(event);
        } else if (host.unreadEvents.isEmpty()) {
            handle(host, event);
        } else {
            host.unreadEvents.add(event);
            resume(host, event.to);
        }
    }

    /** Handles the events of a pause in a random order, as the threads of a real process may. */
    private void resume(SimulatedHost host, int node) {
        List<QueuedEvent> pausedEvents = List.copyOf(host.unreadEvents);
        host.unreadEvents.clear();
        listener.onStep(node, now); // the process may act before it handles an event
        if (random.nextBoolean()) {
            pausedEvents.stream().filter(event -> event.message == TICK).forEach(event -> handle(host, event));
            pausedEvents.stream().filter(event -> event.message != TICK).forEach(event -> handle(host, event));
        } else {
            pausedEvents.forEach(event -> handle(host, event));
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
