package wallmoor.simulation;

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
import wallmoor.peers.GroupMembership;
import wallmoor.peers.GroupMessage;
import wallmoor.peers.GroupView;
import wallmoor.peers.MembershipParameters;
import wallmoor.peers.MembershipProtocol;

/**
 * A group of the real deciders on one clock and a network of its own, in one thread: the same seed and the same faults
 * give the same run. Never used by {@code serve}. It must not know how the deciders decide.
 */
public final class GroupSimulation {
    /** What the network does to a message. */
    public interface NetworkLink {
        /** Microseconds that it is on its way; negative where it is lost. */
        long delay(int from, int to, long now, RandomGenerator random);
    }

    /** What the network loses by what it is. */
    public interface MessageFilter {
        /** Whether this message gets lost, whatever the link does. */
        boolean loses(int from, int to, GroupMessage message);
    }

    /** A network that loses nothing and takes from one to five milliseconds. */
    public static final NetworkLink RELIABLE = (from, to, now, random) -> 1_000 + random.nextLong(4_000);

    /** Makes the decider of a member that starts. */
    public interface ProtocolFactory {
        /** The parameters are those of {@link GroupMembership#Peers}. */
        MembershipProtocol make(String name, String address, long boot, List<String> seeds, MembershipParameters rules,
                long seed,
                MembershipProtocol.Output actions);
    }

    private record ScheduledEvent(long at, long order, int to, int life, GroupMessage message) {}

    private final class SimulatedMember implements MembershipProtocol.Output {
        final int number;
        int life;
        boolean up;
        long pausedUntil;
        MembershipProtocol peers;
        /** What came while it was paused: it is read, late, as a socket's buffer would be. */
        final List<GroupMessage> unread = new ArrayList<>();
        long changes;

        SimulatedMember(int number) {
            this.number = number;
        }

        @Override
        public void send(String address, GroupMessage message) {
            int to = number(address);
            sent++;
            bytes += sizes.applyAsLong(message);
            long delay = to < members.length && !filter.loses(number, to, message) ? link.delay(number, to, now, random)
                    : -1;
            if (delay >= 0) {
                events.add(new ScheduledEvent(now + delay, ++orders, to, ANY_LIFE, message));
            }
        }

        @Override
        public void viewChanged(GroupView view, String why) {
            changes++;
        }
    }

    private static final int ANY_LIFE = -1;

    private final MembershipParameters rules;
    private final ProtocolFactory maker;
    private final RandomGenerator random;
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
                    : Long.compare(a.order, b.order));
    private final SimulatedMember[] members;
    private NetworkLink link = RELIABLE;
    private MessageFilter filter = (from, to, message) -> false;
    private long now;
    private long orders;
    private long sent;
    private long bytes;
    private ToLongFunction<GroupMessage> sizes = m -> 0;

    /** So many members, none of them started; the first two are everybody's seeds. */
    public GroupSimulation(int count, MembershipParameters rules, long seed) {
        this(count, rules, seed, GroupMembership::new);
    }

    /** The same with deciders of another kind. */
    public GroupSimulation(int count, MembershipParameters rules, long seed, ProtocolFactory maker) {
        this.rules = rules;
        this.maker = maker;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        members = IntStream.range(0, count).mapToObj(SimulatedMember::new).toArray(SimulatedMember[]::new);
    }

    /** What the network does from now on. */
    public void link(NetworkLink next) {
        link = next;
    }

    /** What the network loses by what it is from now on. */
    public void filter(MessageFilter next) {
        filter = next;
    }

    /** Starts a member with nothing kept. */
    public void start(int number) {
        SimulatedMember m = members[number];
        m.life++;
        m.up = true;
        m.pausedUntil = 0;
        m.unread.clear();
        m.peers = maker.make(name(number), "a" + number, now + m.life, List.of("a0", "a1"), rules, random.nextLong(),
                m);
        m.peers.onStart(now);
        events.add(new ScheduledEvent(now + random.nextLong(rules.tickInterval()), ++orders, number, m.life, null));
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
    public void deliver(int number, GroupMessage message) {
        members[number].peers.onMessage(now, message);
    }

    /** Lets time pass. */
    public void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at <= end) {
            ScheduledEvent e = events.poll();
            now = e.at;
            SimulatedMember m = members[e.to];
            if (!m.up || e.life != ANY_LIFE && e.life != m.life) {
                continue;
            }
            if (now < m.pausedUntil) {
                if (e.message != null) {
                    m.unread.add(e.message);
                } else {
                    events.add(new ScheduledEvent(m.pausedUntil, ++orders, e.to, e.life, null));
                }
            } else if (e.message != null) {
                m.peers.onMessage(now, e.message);
            } else {
                m.peers.onTick(now); // a process that wakes notices that before it reads
                List<GroupMessage> late = List.copyOf(m.unread);
                m.unread.clear();
                late.forEach(l -> m.peers.onMessage(now, l));
                events.add(new ScheduledEvent(now + rules.tickInterval(), ++orders, e.to, e.life, null));
            }
        }
        now = end;
    }

    /** Messages sent so far, lost ones included. */
    public long sent() {
        return sent;
    }

    /** Tells what a message takes on its way; until then nothing is counted. */
    public void measureSizes(ToLongFunction<GroupMessage> size) {
        sizes = size;
    }

    /** Bytes sent since they were weighed, lost ones included. */
    public long bytes() {
        return bytes;
    }

    /** How often a member's view has changed since its start, over all its lives. */
    public long viewChanges(int number) {
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
    public GroupView view(int number) {
        return members[number].peers.view();
    }

    /** The members that a member holds to be in this state, by name. */
    public List<String> membersIn(int number, GroupView.MemberState state) {
        return view(number).members().stream().filter(m -> m.state() == state).map(GroupView.Member::name).toList();
    }

    /** Whether all that are up hold the same members alive in the same lives, and nobody else. */
    public boolean hasConverged() {
        int up = (int) Arrays.stream(members).filter(m -> m.up).count();
        Map<String, Long> lives = null;
        for (SimulatedMember m : members) {
            if (m.up) {
                var its = new HashMap<String, Long>();
                for (GroupView.Member x : m.peers.view().members()) {
                    if (x.state() == GroupView.MemberState.ALIVE && members[number(x.name())].up) {
                        its.put(x.name(), x.incarnation());
                    } else if (x.isPresent()) {
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
    public long runUntilConverged(long most) {
        long begun = now;
        while (now - begun < most) {
            if (hasConverged()) {
                return now - begun;
            }
            run(rules.tickInterval());
        }
        return hasConverged() ? now - begun : -1;
    }
}
