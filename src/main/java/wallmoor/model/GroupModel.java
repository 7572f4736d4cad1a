package wallmoor.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import wallmoor.peers.Decider;
import wallmoor.peers.Message;
import wallmoor.peers.Peers;
import wallmoor.peers.Rules;
import wallmoor.peers.View;

/**
 * A group of the real deciders on one clock and a network of its own, in one thread: the same seed and the same faults
 * give the same run. Never used by {@code serve}. It must not know how the deciders decide.
 */
public final class GroupModel {
    /** What the network does to a message. */
    public interface Link {
        /** Microseconds that it is on its way; negative where it is lost. */
        long delay(int from, int to, long now, RandomGenerator random);
    }

    /** What the network loses by what it is. */
    public interface Filter {
        /** Whether this message gets lost, whatever the link does. */
        boolean loses(int from, int to, Message message);
    }

    /** A network that loses nothing and takes from one to five milliseconds. */
    public static final Link SOUND = (from, to, now, random) -> 1_000 + random.nextLong(4_000);

    /** Makes the decider of a member that starts. */
    public interface Maker {
        /** The parameters are those of {@link Peers#Peers}. */
        Decider make(String name, String address, long boot, List<String> seeds, Rules rules, long seed,
                Decider.Actions actions);
    }

    private record Event(long at, long order, int to, int life, Message message) {}

    private final class Member implements Decider.Actions {
        final int number;
        int life;
        boolean up;
        long pausedUntil;
        Decider peers;
        /** What came while it was paused: it is read, late, as a socket's buffer would be. */
        final List<Message> unread = new ArrayList<>();
        long changes;

        Member(int number) {
            this.number = number;
        }

        @Override
        public void send(String address, Message message) {
            int to = number(address);
            sent++;
            bytes += sizes.applyAsLong(message);
            long delay = to < members.length && !filter.loses(number, to, message) ? link.delay(number, to, now, random)
                    : -1;
            if (delay >= 0) {
                events.add(new Event(now + delay, ++orders, to, ANY_LIFE, message));
            }
        }

        @Override
        public void changed(View view, String why) {
            changes++;
        }
    }

    private static final int ANY_LIFE = -1;

    private final Rules rules;
    private final Maker maker;
    private final RandomGenerator random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
            : Long.compare(a.order, b.order));
    private final Member[] members;
    private Link link = SOUND;
    private Filter filter = (from, to, message) -> false;
    private long now;
    private long orders;
    private long sent;
    private long bytes;
    private ToLongFunction<Message> sizes = m -> 0;

    /** So many members, none of them started; the first two are everybody's seeds. */
    public GroupModel(int count, Rules rules, long seed) {
        this(count, rules, seed, Peers::new);
    }

    /** The same with deciders of another kind. */
    public GroupModel(int count, Rules rules, long seed, Maker maker) {
        this.rules = rules;
        this.maker = maker;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        members = IntStream.range(0, count).mapToObj(Member::new).toArray(Member[]::new);
    }

    /** What the network does from now on. */
    public void link(Link next) {
        link = next;
    }

    /** What the network loses by what it is from now on. */
    public void filter(Filter next) {
        filter = next;
    }

    /** Starts a member with nothing kept. */
    public void start(int number) {
        Member m = members[number];
        m.life++;
        m.up = true;
        m.pausedUntil = 0;
        m.unread.clear();
        m.peers = maker.make(name(number), "a" + number, now + m.life, List.of("a0", "a1"), rules, random.nextLong(),
                m);
        m.peers.onStart(now);
        events.add(new Event(now + random.nextLong(rules.tick()), ++orders, number, m.life, null));
    }

    /** Starts all of them at once. */
    public void startAll() {
        IntStream.range(0, members.length).forEach(this::start);
    }

    /** Kills a member: it says nothing more, and nothing of it is kept. */
    public void kill(int number) {
        members[number].up = false;
        members[number].life++;
    }

    /** A member stands still for so long. */
    public void pause(int number, long micros) {
        members[number].pausedUntil = now + micros;
    }

    /** A member leaves with notice. */
    public void leave(int number) {
        members[number].peers.leave(now);
        kill(number);
    }

    /** Hands a member a message that was made elsewhere, now. */
    public void inject(int number, Message message) {
        members[number].peers.onMessage(now, message);
    }

    /** Lets time pass. */
    public void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = e.at;
            Member m = members[e.to];
            if (!m.up || e.life != ANY_LIFE && e.life != m.life) {
                continue;
            }
            if (now < m.pausedUntil) {
                if (e.message != null) {
                    m.unread.add(e.message);
                } else {
                    events.add(new Event(m.pausedUntil, ++orders, e.to, e.life, null));
                }
            } else if (e.message != null) {
                m.peers.onMessage(now, e.message);
            } else {
                m.peers.onTick(now); // a process that wakes notices that before it reads
                List<Message> late = List.copyOf(m.unread);
                m.unread.clear();
                late.forEach(l -> m.peers.onMessage(now, l));
                events.add(new Event(now + rules.tick(), ++orders, e.to, e.life, null));
            }
        }
        now = end;
    }

    /** Messages sent so far, lost ones included. */
    public long sent() {
        return sent;
    }

    /** Tells what a message takes on its way; until then nothing is counted. */
    public void weigh(ToLongFunction<Message> size) {
        sizes = size;
    }

    /** Bytes sent since they were weighed, lost ones included. */
    public long bytes() {
        return bytes;
    }

    /** How often a member's view has changed since its start, over all its lives. */
    public long changes(int number) {
        return members[number].changes;
    }

    /** The name of a member. */
    public static String name(int number) {
        return "m" + number;
    }

    /** The number of the member that has this name, or this address. */
    public static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    /** A member's view. */
    public View view(int number) {
        return members[number].peers.view();
    }

    /** The members that a member holds to be in this state, by name. */
    public List<String> in(int number, View.State state) {
        return view(number).members().stream().filter(m -> m.state() == state).map(View.Member::name).toList();
    }

    /** Whether all that are up hold the same members alive in the same lives, and nobody else. */
    public boolean agreed() {
        int up = (int) Arrays.stream(members).filter(m -> m.up).count();
        Map<String, Long> lives = null;
        for (Member m : members) {
            if (m.up) {
                var its = new HashMap<String, Long>();
                for (View.Member x : m.peers.view().members()) {
                    if (x.state() == View.State.ALIVE && members[number(x.name())].up) {
                        its.put(x.name(), x.incarnation());
                    } else if (x.isThere()) {
                        return false;
                    }
                }
                if (its.size() != up || lives != null && !lives.equals(its)) {
                    return false;
                }
                lives = its;
            }
        }
        return true;
    }

    /** Runs until all agree, for at most so long; the time it took, or -1. */
    public long untilAgreed(long most) {
        long begun = now;
        while (now - begun < most) {
            if (agreed()) {
                return now - begun;
            }
            run(rules.tick());
        }
        return agreed() ? now - begun : -1;
    }
}
