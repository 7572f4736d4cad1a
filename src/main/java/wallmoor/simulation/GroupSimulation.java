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
 * A group of the real protocol's members on one clock and a network of its own, in one thread: a discrete-event
 * simulation in which the same seed and the same faults give the same run. Never used by {@code serve}. It must not
 * know how the protocol decides. Times are microseconds.
 */
public final class GroupSimulation {
    /** What the network does to a message. */
    public interface NetworkLink {
        /** Microseconds that it is on its way; negative where it is lost. */
        long delay(int from, int to, long now, RandomGenerator random);
    }

    /** What the network loses by its content. */
    public interface MessageFilter {
        /** Whether this message gets lost, whatever the link does. */
        boolean loses(int from, int to, GroupMessage message);
    }

    /** A network that loses nothing and takes from one to five milliseconds. */
    public static final NetworkLink RELIABLE = (from, to, now, random) -> 1_000 + random.nextLong(4_000);

    /** Makes the protocol of a member that starts. */
    public interface ProtocolFactory {
        /** The parameters are those of {@link GroupMembership#GroupMembership}. */
        MembershipProtocol make(String name, String address, long bootId, List<String> seeds,
                MembershipParameters parameters, long seed, MembershipProtocol.Output output);
    }

    /**
     * Something that happens at a time.
     *
     * @param order   of events at the same time
     * @param process the member's process that it is for, or {@link #ANY_PROCESS}
     * @param message that arrives, or null for a tick
     */
    private record ScheduledEvent(long at, long order, int to, int process, GroupMessage message)
            implements
                Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final class SimulatedMember implements MembershipProtocol.Output {
        private final int number;
        /** Counts its processes, one after another. */
        private int process;
        private boolean isUp;
        private long pausedUntil;
        private MembershipProtocol protocol;
        /** What came while it was paused: it is read, late, as a socket's buffer would be. */
        private final List<GroupMessage> unread = new ArrayList<>();
        private long viewChanges;

        SimulatedMember(int number) {
            this.number = number;
        }

        @Override
        public void send(String address, GroupMessage message) {
            int to = number(address);
            sent++;
            bytes += sizes.applyAsLong(message);
            boolean isLost = to >= members.length || filter.loses(number, to, message);
            long delay = isLost ? LOST : link.delay(number, to, now, random);
            if (delay >= 0) {
                schedule(now + delay, to, ANY_PROCESS, message);
            }
        }

        @Override
        public void viewChanged(GroupView view, String why) {
            viewChanges++;
        }
    }

    private static final int ANY_PROCESS = -1;
    private static final long LOST = -1;
    private static final long NOT_CONVERGED = -1;
    private static final List<String> SEEDS = List.of(address(0), address(1));

    private final MembershipParameters parameters;
    private final ProtocolFactory factory;
    private final RandomGenerator random;
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
    private final SimulatedMember[] members;
    private NetworkLink link = RELIABLE;
    private MessageFilter filter = (from, to, message) -> false;
    private long now;
    private long scheduled;
    private long sent;
    private long bytes;
    private ToLongFunction<GroupMessage> sizes = m -> 0;

    /** So many members, none of them started; the first two are everybody's seeds. */
    public GroupSimulation(int count, MembershipParameters parameters, long seed) {
        this(count, parameters, seed, GroupMembership::new);
    }

    /** The same with another protocol. */
    public GroupSimulation(int count, MembershipParameters parameters, long seed, ProtocolFactory factory) {
        this.parameters = parameters;
        this.factory = factory;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        members = IntStream.range(0, count).mapToObj(SimulatedMember::new).toArray(SimulatedMember[]::new);
    }

    private void schedule(long at, int to, int process, GroupMessage message) {
        scheduled++;
        events.add(new ScheduledEvent(at, scheduled, to, process, message));
    }

    /** What the network does from now on. */
    public void setLink(NetworkLink next) {
        link = next;
    }

    /** What the network loses by its content from now on. */
    public void setFilter(MessageFilter next) {
        filter = next;
    }

    /** Starts a member with nothing kept. */
    public void start(int number) {
        SimulatedMember member = members[number];
        member.process++;
        member.isUp = true;
        member.pausedUntil = 0;
        member.unread.clear();
        member.protocol = factory.make(name(number), address(number), now + member.process, SEEDS, parameters,
                random.nextLong(), member);
        member.protocol.onStart(now);
        schedule(now + random.nextLong(parameters.tickInterval()), number, member.process, null);
    }

    /** Starts all of them at once. */
    public void startAll() {
        IntStream.range(0, members.length).forEach(this::start);
    }

    /** Kills a member: it says nothing more, and nothing of it is kept. */
    public void kill(int number) {
        members[number].isUp = false;
        members[number].process++;
    }

    /** A member is paused for so long. */
    public void pause(int number, long micros) {
        members[number].pausedUntil = now + micros;
    }

    /** A member leaves with notice. */
    public void leave(int number) {
        members[number].protocol.leave(now);
        kill(number);
    }

    /** Hands a member a message that was made elsewhere, now. */
    public void deliver(int number, GroupMessage message) {
        members[number].protocol.onMessage(now, message);
    }

    /** Lets time pass. */
    public void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at <= end) {
            ScheduledEvent event = events.poll();
            now = event.at;
            SimulatedMember member = members[event.to];
            boolean isForProcess = event.process == ANY_PROCESS || event.process == member.process;
            if (member.isUp && isForProcess) {
                handle(member, event);
            }
        }
        now = end;
    }

    private void handle(SimulatedMember member, ScheduledEvent event) {
        boolean isPaused = now < member.pausedUntil;
        if (isPaused && event.message != null) {
            member.unread.add(event.message);
        } else if (isPaused) {
            schedule(member.pausedUntil, event.to, event.process, null);
        } else if (event.message != null) {
            member.protocol.onMessage(now, event.message);
        } else {
            member.protocol.onTick(now); // a process that wakes notices that before it reads
            List<GroupMessage> late = List.copyOf(member.unread);
            member.unread.clear();
            late.forEach(message -> member.protocol.onMessage(now, message));
            schedule(now + parameters.tickInterval(), event.to, event.process, null);
        }
    }

    /** Messages sent so far, lost ones included. */
    public long sent() {
        return sent;
    }

    /** What a message takes on its way; until then nothing is counted. */
    public void measureSizes(ToLongFunction<GroupMessage> size) {
        sizes = size;
    }

    /** Bytes sent since they were measured, lost ones included. */
    public long bytes() {
        return bytes;
    }

    /** How often a member's view has changed since its start, over all its processes. */
    public long viewChanges(int number) {
        return members[number].viewChanges;
    }

    /** The name of a member. */
    public static String name(int number) {
        return "m" + number;
    }

    private static String address(int number) {
        return "a" + number;
    }

    /** The number of the member that has this name, or this address. */
    public static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    /** A member's view. */
    public GroupView view(int number) {
        return members[number].protocol.view();
    }

    /** The members that a member holds to be in this state, by name. */
    public List<String> membersIn(int number, GroupView.MemberState state) {
        return view(number).members().stream().filter(m -> m.state() == state).map(GroupView.Member::name).toList();
    }

    /** Whether all that are up hold the same members alive in the same incarnations, and nobody else. */
    public boolean hasConverged() {
        Map<String, Long> agreed = null;
        for (SimulatedMember member : members) {
            if (!member.isUp) {
                continue;
            }
            Map<String, Long> incarnations = incarnationsOfAllUp(member.protocol.view());
            if (incarnations == null || (agreed != null && !agreed.equals(incarnations))) {
                return false;
            }
            agreed = incarnations;
        }
        return true;
    }

    /** Incarnations by name, or null where the view does not hold just those alive that are up. */
    private Map<String, Long> incarnationsOfAllUp(GroupView view) {
        var incarnations = new HashMap<String, Long>();
        for (GroupView.Member seen : view.members()) {
            if (seen.state() == GroupView.MemberState.ALIVE && members[number(seen.name())].isUp) {
                incarnations.put(seen.name(), seen.incarnation());
            } else if (seen.isPresent()) {
                return null;
            }
        }
        long up = Arrays.stream(members).filter(m -> m.isUp).count();
        return incarnations.size() == up ? incarnations : null;
    }

    /** Runs until all agree, for at most so long; the time it took, or -1. */
    public long runUntilConverged(long most) {
        long begun = now;
        while (now - begun < most) {
            if (hasConverged()) {
                return now - begun;
            }
            run(parameters.tickInterval());
        }
        return hasConverged() ? now - begun : NOT_CONVERGED;
    }
}
