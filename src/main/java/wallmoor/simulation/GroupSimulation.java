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
 * A single-threaded discrete-event simulation of a group whose members run the real membership protocol, with one clock
 * and a simulated network. The same seed and faults give the same run. It does not depend on how the protocol decides,
 * and {@code serve} never uses it. Times are microseconds.
 */
public final class GroupSimulation {
    /** Decides the delay or loss of each message in the network. */
    public interface NetworkLink {
        /** Returns the delay of a message in microseconds; negative if it is lost. */
        long delay(int from, int to, long now, RandomGenerator random);
    }

    /** Decides which messages the network loses because of their content. */
    public interface MessageFilter {
        /** Returns whether a message is lost, regardless of the link. */
        boolean loses(int from, int to, GroupMessage message);
    }

    /** A network without loss, with delays from one to five milliseconds. */
    public static final NetworkLink RELIABLE = (from, to, now, random) -> 1_000 + random.nextLong(4_000);

    /** Creates the protocol instance of a member that starts. */
    public interface ProtocolFactory {
        /** Creates an instance; the parameters are those of {@link GroupMembership#GroupMembership}. */
        MembershipProtocol create(String name, String address, long bootId, List<String> seeds,
                MembershipParameters parameters, long seed, MembershipProtocol.Output output);
    }

    /**
     * An event that is scheduled for a time.
     *
     * @param order   the rank among events at the same time
     * @param to      the number of the member that receives it
     * @param process the process of the member that receives it, or {@link #ANY_PROCESS}
     * @param message the message that arrives, or null for a tick
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
        /** The number of the member's current process; each start and each kill increments it. */
        private int process;
        private boolean isUp;
        private long pausedUntil;
        private MembershipProtocol protocol;
        /** The messages that arrived during a pause; they are read after it, as from a socket's buffer. */
        private final List<GroupMessage> unreadMessages = new ArrayList<>();
        private long viewChanges;

        SimulatedMember(int number) {
            this.number = number;
        }

        @Override
        public void send(String address, GroupMessage message) {
            int to = number(address);
            sent++;
            bytes += messageSizes.applyAsLong(message);
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
    private long scheduledCount;
    private long sent;
    private long bytes;
    private ToLongFunction<GroupMessage> messageSizes = m -> 0;

    /** Creates a simulation of members that are not started; the first two are the seeds of all. */
    public GroupSimulation(int count, MembershipParameters parameters, long seed) {
        this(count, parameters, seed, GroupMembership::new);
    }

    /** Creates a simulation as the other constructor does, with another protocol. */
    public GroupSimulation(int count, MembershipParameters parameters, long seed, ProtocolFactory factory) {
        this.parameters = parameters;
        this.factory = factory;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        members = IntStream.range(0, count).mapToObj(SimulatedMember::new).toArray(SimulatedMember[]::new);
    }

    private void schedule(long at, int to, int process, GroupMessage message) {
        scheduledCount++;
        events.add(new ScheduledEvent(at, scheduledCount, to, process, message));
    }

    /** Sets the delay and loss of messages from now on. */
    public void setLink(NetworkLink newLink) {
        link = newLink;
    }

    /** Sets which messages are lost because of their content from now on. */
    public void setFilter(MessageFilter newFilter) {
        filter = newFilter;
    }

    /** Starts a new process of a member, without any state of an earlier one. */
    public void start(int number) {
        SimulatedMember member = members[number];
        member.process++;
        member.isUp = true;
        member.pausedUntil = 0;
        member.unreadMessages.clear();
        member.protocol = factory.create(name(number), address(number), now + member.process, SEEDS, parameters,
                random.nextLong(), member);
        member.protocol.onStart(now);
        schedule(now + random.nextLong(parameters.tickInterval()), number, member.process, null);
    }

    /** Starts all members at once. */
    public void startAll() {
        IntStream.range(0, members.length).forEach(this::start);
    }

    /** Kills a member's process: it sends nothing more, and its state is lost. */
    public void kill(int number) {
        members[number].isUp = false;
        members[number].process++;
    }

    /** Pauses a member for a time. */
    public void pause(int number, long micros) {
        members[number].pausedUntil = now + micros;
    }

    /** Makes a member leave the group with an announcement. */
    public void leave(int number) {
        members[number].protocol.leave(now);
        kill(number);
    }

    /** Delivers a message that was created outside the simulation to a member now. */
    public void deliver(int number, GroupMessage message) {
        members[number].protocol.onMessage(now, message);
    }

    /** Runs the simulation for a time. */
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
            member.unreadMessages.add(event.message);
        } else if (isPaused) {
            schedule(member.pausedUntil, event.to, event.process, null);
        } else if (event.message != null) {
            member.protocol.onMessage(now, event.message);
        } else {
            member.protocol.onTick(now); // a resumed process notices its pause before it reads messages
            List<GroupMessage> lateMessages = List.copyOf(member.unreadMessages);
            member.unreadMessages.clear();
            lateMessages.forEach(message -> member.protocol.onMessage(now, message));
            schedule(now + parameters.tickInterval(), event.to, event.process, null);
        }
    }

    /** Returns the number of messages sent so far, lost ones included. */
    public long sent() {
        return sent;
    }

    /** Sets the size of a message in bytes; {@link #bytes} counts from then on. */
    public void measureSizes(ToLongFunction<GroupMessage> size) {
        messageSizes = size;
    }

    /** Returns the bytes sent since {@link #measureSizes}, lost messages included. */
    public long bytes() {
        return bytes;
    }

    /** Returns the number of changes of a member's view, over all its processes. */
    public long viewChanges(int number) {
        return members[number].viewChanges;
    }

    /** Returns the name of a member. */
    public static String name(int number) {
        return "m" + number;
    }

    private static String address(int number) {
        return "a" + number;
    }

    /** Returns the number of the member with a name or an address. */
    public static int number(String nameOrAddress) {
        return Integer.parseInt(nameOrAddress.substring(1));
    }

    /** Returns a member's view of the group. */
    public GroupView view(int number) {
        return members[number].protocol.view();
    }

    /** Returns the names of the members that are in a state according to a member's view. */
    public List<String> membersIn(int number, GroupView.MemberState state) {
        return view(number).members().stream().filter(m -> m.state() == state).map(GroupView.Member::name).toList();
    }

    /** Returns whether the views of all running members hold exactly these members alive, with equal incarnations. */
    public boolean hasConverged() {
        Map<String, Long> commonIncarnations = null;
        for (SimulatedMember member : members) {
            if (!member.isUp) {
                continue;
            }
            Map<String, Long> incarnations = incarnationsOfMembersUp(member.protocol.view());
            if (incarnations == null || (commonIncarnations != null && !commonIncarnations.equals(incarnations))) {
                return false;
            }
            commonIncarnations = incarnations;
        }
        return true;
    }

    /** Returns incarnations by name, or null unless the view holds exactly the running members alive. */
    private Map<String, Long> incarnationsOfMembersUp(GroupView view) {
        var incarnations = new HashMap<String, Long>();
        for (GroupView.Member other : view.members()) {
            if (other.state() == GroupView.MemberState.ALIVE && members[number(other.name())].isUp) {
                incarnations.put(other.name(), other.incarnation());
            } else if (other.isPresent()) {
                return null;
            }
        }
        long up = Arrays.stream(members).filter(m -> m.isUp).count();
        return incarnations.size() == up ? incarnations : null;
    }

    /** Runs until {@link #hasConverged}, for at most {@code maxMicros}; returns the time that it took, or -1. */
    public long runUntilConverged(long maxMicros) {
        long startedAt = now;
        while (now - startedAt < maxMicros) {
            if (hasConverged()) {
                return now - startedAt;
            }
            run(parameters.tickInterval());
        }
        return hasConverged() ? now - startedAt : NOT_CONVERGED;
    }
}
