package wallmoor.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import wallmoor.peers.GroupMessage.MessageKind;
import wallmoor.peers.GroupView.MemberState;
import wallmoor.peers.MembershipUpdate.Announcement;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * A baseline that implements SWIM as published (Das, Gupta, Motivala, DSN 2002): one member is probed each interval in
 * a shuffled round, three others are requested to probe a member that does not answer, a suspected member can refute
 * with a new incarnation, and it is removed after four times the decimal logarithm of the group size in intervals. All
 * members are known from the start.
 */
public final class SwimBaseline extends BaselineProtocol {
    private static final int SUSPICION_FACTOR = 4;
    private static final int RETRANSMIT_FACTOR = 3;

    private static final class Member {
        private Announcement announcement;
        private MemberState state = MemberState.ALIVE;
        private long suspectedAt;
    }

    private final Random random;
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final DisseminationQueue queue = new DisseminationQueue();
    /** Requests for indirect probes, by the sequence number of the probe that this member sent for each. */
    private final Map<Long, GroupMessage> relayed = new HashMap<>();
    private final List<String> round = new ArrayList<>();
    private long lastSequence;
    /** The member probed in this interval, or null once it has answered. */
    private String probed;
    private long probeSequence;
    private long probedAt;
    private boolean probedIndirectly;
    private boolean viewIsStale = true;

    /** Creates a member that knows all others. */
    public SwimBaseline(String name, String address, long bootId, List<Announcement> all,
            MembershipParameters parameters, long seed, Output output) {
        super(new Announcement(name, address, bootId, bootId, false), parameters, output);
        random = new Random(seed);
        all.forEach(a -> members.computeIfAbsent(a.name(), n -> new Member()).announcement = a);
        members.get(name).announcement = self;
    }

    @Override
    public void onStart(long now) {
        queue.enqueue(new DisseminationQueue.Topic(self.name(), false));
        probedAt = now - random.nextLong(parameters.probeInterval());
        publish();
    }

    @Override
    public void onTick(long now) {
        if (probed != null && !probedIndirectly && now - probedAt > parameters.probeTimeout()) {
            probeIndirectly();
        }
        if (now - probedAt >= parameters.probeInterval()) {
            beginInterval(now);
        }
        confirmSuspicions(now);
        publish();
    }

    private void probeIndirectly() {
        probedIndirectly = true;
        for (int i = 0; i < parameters.indirectProbers(); i++) {
            String helper = nextSubject();
            if (helper != null && !helper.equals(probed)) {
                send(helper, MessageKind.INDIRECT_PROBE, probeSequence, probed);
            }
        }
    }

    private void beginInterval(long now) {
        if (probed != null) {
            suspect(now, members.get(probed).announcement);
        }
        probed = nextSubject();
        probeSequence = ++lastSequence;
        probedAt = now;
        probedIndirectly = false;
        if (probed != null) {
            send(probed, MessageKind.PROBE, probeSequence, null);
        }
        relayed.clear();
    }

    private void confirmSuspicions(long now) {
        long timeout = (long) (SUSPICION_FACTOR * Math.max(1, Math.log10(members.size()))
                * parameters.probeInterval());
        for (Member m : members.values()) {
            if (m.state == MemberState.SUSPECTED && now - m.suspectedAt > timeout) {
                Announcement a = m.announcement;
                process(now, new Announcement(a.name(), a.address(), a.bootId(), a.incarnation(), true));
            }
        }
    }

    @Override
    public void onMessage(long now, GroupMessage message) {
        message.updates().forEach(update -> process(now, update));
        process(now, message.sender());
        switch (message.kind()) {
            case PROBE -> send(message.sender().name(), MessageKind.ACK, message.sequence(), null);
            case INDIRECT_PROBE -> {
                relayed.put(++lastSequence, message);
                send(message.target(), MessageKind.PROBE, lastSequence, null);
            }
            case ACK -> onAck(message);
            default -> {} // this protocol has no anti-entropy
        }
    }

    private void onAck(GroupMessage ack) {
        GroupMessage request = relayed.remove(ack.sequence());
        if (request != null) {
            send(request.sender().name(), MessageKind.ACK, request.sequence(), ack.sender().name());
        } else if (ack.sequence() == probeSequence) {
            probed = null;
        }
    }

    private String nextSubject() {
        for (int attempts = 0; attempts < 2 * members.size(); attempts++) {
            if (round.isEmpty()) {
                round.addAll(members.keySet());
                Collections.shuffle(round, random);
            }
            String name = round.remove(round.size() - 1);
            if (!name.equals(self.name()) && members.get(name).state != MemberState.REMOVED) {
                return name;
            }
        }
        return null;
    }

    private void send(String to, MessageKind kind, long sequence, String target) {
        var updates = new ArrayList<MembershipUpdate>();
        int transmissions = RETRANSMIT_FACTOR * (1 + (int) (Math.log(members.size()) / Math.log(2)));
        queue.appendTo(parameters.maxUpdateBytes(), transmissions, this::known, updates);
        output.send(members.get(to).announcement.address(),
                new GroupMessage(kind, self, sequence, target, 0, List.of(), updates));
    }

    private List<MembershipUpdate> known(DisseminationQueue.Topic topic) {
        Member m = members.get(topic.name());
        if (!topic.isSuspicion()) {
            return List.of(m.announcement);
        }
        return m.state != MemberState.SUSPECTED ? List.of()
                : List.of(new Suspicion(topic.name(), m.announcement.incarnation(), self.name(), 0, true));
    }

    private void suspect(long now, Announcement subject) {
        process(now, new Suspicion(subject.name(), subject.incarnation(), self.name(), ++lastSequence, true));
    }

    private void process(long now, MembershipUpdate update) {
        if (update.name().equals(self.name())) {
            refute(update);
        } else if (merge(now, members.get(update.name()), update)) {
            viewIsStale = true;
            queue.enqueue(new DisseminationQueue.Topic(update.name(), update instanceof Suspicion));
        }
    }

    private void refute(MembershipUpdate update) {
        boolean isAgainst = update instanceof Suspicion || (update instanceof Announcement a && a.hasLeft());
        if (isAgainst && update.incarnation() >= self.incarnation()) {
            self = new Announcement(self.name(), self.address(), self.bootId(), update.incarnation() + 1, false);
            members.get(self.name()).announcement = self;
            queue.enqueue(new DisseminationQueue.Topic(self.name(), false));
        }
    }

    /** Merges an update into the known state and returns whether it changed the state. */
    private static boolean merge(long now, Member known, MembershipUpdate update) {
        if (!(update instanceof Announcement a)) {
            boolean isNews = update.incarnation() == known.announcement.incarnation()
                    && known.state == MemberState.ALIVE;
            if (isNews) {
                known.state = MemberState.SUSPECTED;
                known.suspectedAt = now;
            }
            return isNews;
        }
        boolean isRemoval = a.hasLeft() && a.incarnation() >= known.announcement.incarnation()
                && known.state != MemberState.REMOVED;
        boolean isNewer = !a.hasLeft() && a.incarnation() > known.announcement.incarnation();
        if (isRemoval || isNewer) {
            known.state = isRemoval ? MemberState.REMOVED : MemberState.ALIVE;
            known.announcement = a;
        }
        return isRemoval || isNewer;
    }

    private void publish() {
        if (viewIsStale) {
            viewIsStale = false;
            var all = new ArrayList<GroupView.Member>();
            members.forEach((name, m) -> all.add(new GroupView.Member(name, m.announcement.address(),
                    m.announcement.incarnation(), m.state, 0, List.of())));
            publish(all);
        }
    }
}
