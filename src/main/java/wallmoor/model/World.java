package wallmoor.model;

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
public final class World {
    /** A node's process. Times are those of its own clock, microseconds. */
    public interface Node {
        /** A message has come. */
        void onMessage(long now, int from, Object message);

        /** Time goes on. */
        void onTick(long now);
    }

    /** What is told of a node's process, at true times. */
    public interface Watcher {
        /** It has done what it did at this time, and goes on. */
        void did(int node, long at);

        /** It stands still, or is dead, from this time on. */
        void stopped(int node, long at);
    }

    private record Event(long at, long order, int to, int life, int from, Object message) {}

    private static final class Place {
        Node node;
        int life;
        boolean up;
        double rate = 1;
        long offset;
        long pausedUntil = Long.MIN_VALUE;
        final List<Event> unread = new ArrayList<>();
    }

    private static final int NO_LIFE = -1;
    private static final Object TICK = new Object();

    private final long tick;
    private final RandomGenerator random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
            : Long.compare(a.order, b.order));
    private final Place[] places;
    private final Watcher watcher;
    private GroupModel.Link link = GroupModel.SOUND;
    private long now;
    private long orders;

    /** So many places without a node. {@code tick} is the time between two ticks of a node. */
    public World(int count, long tick, long seed, Watcher watcher) {
        this.tick = tick;
        this.watcher = watcher;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        places = new Place[count];
        for (int i = 0; i < count; i++) {
            places[i] = new Place();
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
    public void link(GroupModel.Link next) {
        link = next;
    }

    /** How fast a node's clock runs, and what it shows at true time 0; before the node's first start. */
    public void clock(int node, double rate, long offset) {
        places[node].rate = rate;
        places[node].offset = offset;
    }

    /** What a node's clock shows at a true time. */
    public long local(int node, long at) {
        return places[node].offset + (long) (at * places[node].rate);
    }

    /** The true time at which a node's clock shows this, at the latest. */
    public long truly(int node, long local) {
        return (long) Math.ceil((local - places[node].offset) / places[node].rate);
    }

    /** Starts a process at a place. The maker is handed its life, which no other process there has. */
    public void start(int node, IntFunction<Node> maker) {
        Place p = places[node];
        kill(node);
        p.life++;
        p.up = true;
        p.pausedUntil = Long.MIN_VALUE;
        p.unread.clear();
        p.node = maker.apply(p.life);
        events.add(new Event(now + 1 + random.nextLong(tick), ++orders, node, p.life, node, TICK));
        watcher.did(node, now);
    }

    /** A process ends: what was on its way to it is lost. */
    public void kill(int node) {
        if (places[node].up) {
            places[node].up = false;
            watcher.stopped(node, now);
        }
    }

    /** A process stands still for so long; its clock goes on. */
    public void pause(int node, long micros) {
        if (isUp(node)) {
            places[node].pausedUntil = Math.max(places[node].pausedUntil, now + micros);
            watcher.stopped(node, now);
            events.add(new Event(places[node].pausedUntil, ++orders, node, places[node].life, node, null));
        }
    }

    /** Whether there is a process that has not ended. */
    public boolean isUp(int node) {
        return places[node].up;
    }

    /** Whether it runs now. */
    public boolean runs(int node) {
        return places[node].up && now >= places[node].pausedUntil;
    }

    /** Whether a message would get through now. */
    public boolean reaches(int from, int to) {
        return from == to || link.delay(from, to, now, random) >= 0;
    }

    /** Sends a message. */
    public void send(int from, int to, Object message) {
        long delay = from == to ? 1 : link.delay(from, to, now, random);
        if (delay >= 0) {
            events.add(new Event(now + delay, ++orders, to, NO_LIFE, from, message));
        }
    }

    /** Hands a process a message at a later time, come what may of the network; it is lost if the process ends. */
    public void later(int node, long micros, Object message) {
        events.add(new Event(now + micros, ++orders, node, places[node].life, node, message));
    }

    /** Lets time pass. */
    public void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = e.at;
            Place p = places[e.to];
            if (!p.up || e.life != NO_LIFE && e.life != p.life) {
                continue;
            }
            if (now < p.pausedUntil) {
                p.unread.add(e);
            } else if (!p.unread.isEmpty()) { // it wakes: what it does first is drawn, as threads would have it
                p.unread.add(e);
                List<Event> late = List.copyOf(p.unread);
                p.unread.clear();
                watcher.did(e.to, now); // before it hears of anything
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

    private void handle(Place p, Event e) {
        long local = local(e.to, now);
        if (e.message == TICK) {
            p.node.onTick(local);
            events.add(new Event(now + tick, ++orders, e.to, p.life, e.to, TICK));
        } else if (e.message != null) {
            p.node.onMessage(local, e.from, e.message);
        }
        watcher.did(e.to, now);
    }
}
