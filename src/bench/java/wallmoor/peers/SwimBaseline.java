package wallmoor.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * SWIM as its paper has it (Das, Gupta, Motivala, DSN 2002), as a baseline: one member probed an interval in a shuffled
 * round, three others asked where it does not answer, suspicion that it may refute by a new incarnation, and removal
 * after four times the decimal logarithm of the group's size in intervals. All members are known from the start.
 */
public final class SwimBaseline extends BaselineProtocol {
    private static final int SUSPICION = 4;
    private static final int SPREAD = 3;

    private static final class Member {
        MembershipUpdate.Announcement told;
        GroupView.MemberState state = GroupView.MemberState.ALIVE;
        long suspectedAt;
    }

    private final Random random;
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final DisseminationQueue gossip = new DisseminationQueue();
    private final Map<Long, GroupMessage> asked = new HashMap<>();
    private final List<String> round = new ArrayList<>();
    private long seq;
    private String probed;
    private long probedSeq;
    private long probedAt;
    private boolean helped;
    private boolean dirty = true;

    public SwimBaseline(String name, String address, long boot, List<MembershipUpdate.Announcement> all,
            MembershipParameters rules, long seed, Output actions) {
        super(new MembershipUpdate.Announcement(name, address, boot, boot, false), rules, actions);
        random = new Random(seed);
        all.forEach(t -> members.computeIfAbsent(t.name(), n -> new Member()).told = t);
        members.get(name).told = self;
    }

    @Override
    public void onStart(long now) {
        gossip.enqueue(new DisseminationQueue.Topic(self.name(), false));
        probedAt = now - random.nextLong(rules.probeInterval());
        look();
    }

    @Override
    public void onTick(long now) {
        if (probed != null && !helped && now - probedAt > rules.probeTimeout()) {
            helped = true;
            for (int i = 0; i < rules.indirectProbers(); i++) {
                String helper = next();
                if (helper != null && !helper.equals(probed)) {
                    send(helper, GroupMessage.MessageKind.INDIRECT_PROBE, probedSeq, probed);
                }
            }
        }
        if (now - probedAt >= rules.probeInterval()) {
            if (probed != null) {
                suspect(now, members.get(probed).told);
            }
            probed = next();
            probedSeq = ++seq;
            probedAt = now;
            helped = false;
            if (probed != null) {
                send(probed, GroupMessage.MessageKind.PROBE, probedSeq, null);
            }
            asked.clear();
        }
        long patience = (long) (SUSPICION * Math.max(1, Math.log10(members.size())) * rules.probeInterval());
        for (Member m : members.values()) {
            if (m.state == GroupView.MemberState.SUSPECTED && now - m.suspectedAt > patience) {
                MembershipUpdate.Announcement t = m.told;
                take(now, new MembershipUpdate.Announcement(t.name(), t.address(), t.bootId(), t.incarnation(), true));
            }
        }
        look();
    }

    @Override
    public void onMessage(long now, GroupMessage m) {
        m.updates().forEach(n -> take(now, n));
        take(now, m.sender());
        switch (m.kind()) {
            case PROBE -> send(m.sender().name(), GroupMessage.MessageKind.ACK, m.sequence(), null);
            case INDIRECT_PROBE -> {
                asked.put(++seq, m);
                send(m.target(), GroupMessage.MessageKind.PROBE, seq, null);
            }
            case ACK -> {
                GroupMessage origin = asked.remove(m.sequence());
                if (origin != null) {
                    send(origin.sender().name(), GroupMessage.MessageKind.ACK, origin.sequence(), m.sender().name());
                } else if (m.sequence() == probedSeq) {
                    probed = null;
                }
            }
            default -> {}
        }
    }

    private String next() {
        for (int tries = 0; tries < 2 * members.size(); tries++) {
            if (round.isEmpty()) {
                round.addAll(members.keySet());
                Collections.shuffle(round, random);
            }
            String name = round.remove(round.size() - 1);
            if (!name.equals(self.name()) && members.get(name).state != GroupView.MemberState.REMOVED) {
                return name;
            }
        }
        return null;
    }

    private void send(String to, GroupMessage.MessageKind kind, long number, String about) {
        var news = new ArrayList<MembershipUpdate>();
        gossip.appendTo(rules.maxUpdateBytes(), SPREAD * (1 + (int) (Math.log(members.size()) / Math.log(2))),
                this::known, news);
        actions.send(members.get(to).told.address(), new GroupMessage(kind, self, number, about, 0, List.of(), news));
    }

    private List<MembershipUpdate> known(DisseminationQueue.Topic piece) {
        Member m = members.get(piece.name());
        return !piece.suspicions() ? List.of(m.told) : m.state != GroupView.MemberState.SUSPECTED ? List.of()
                : List.of(new MembershipUpdate.Suspicion(piece.name(), m.told.incarnation(), self.name(), 0, true));
    }

    private void suspect(long now, MembershipUpdate.Announcement t) {
        take(now, new MembershipUpdate.Suspicion(t.name(), t.incarnation(), self.name(), ++seq, true));
    }

    private void take(long now, MembershipUpdate n) {
        Member m = members.get(n.name());
        if (n.name().equals(self.name())) {
            if ((n instanceof MembershipUpdate.Suspicion || n instanceof MembershipUpdate.Announcement t && t.left())
                    && n.incarnation() >= self.incarnation()) {
                self = new MembershipUpdate.Announcement(self.name(), self.address(), self.bootId(),
                        n.incarnation() + 1, false);
                m.told = self;
                gossip.enqueue(new DisseminationQueue.Topic(self.name(), false));
            }
            return;
        }
        boolean told = false;
        if (n instanceof MembershipUpdate.Announcement t) {
            if (t.left() && t.incarnation() >= m.told.incarnation() && m.state != GroupView.MemberState.REMOVED) {
                m.state = GroupView.MemberState.REMOVED;
                m.told = t;
                told = true;
            } else if (!t.left() && t.incarnation() > m.told.incarnation()) {
                m.state = GroupView.MemberState.ALIVE;
                m.told = t;
                told = true;
            }
        } else if (n.incarnation() == m.told.incarnation() && m.state == GroupView.MemberState.ALIVE) {
            m.state = GroupView.MemberState.SUSPECTED;
            m.suspectedAt = now;
            told = true;
        }
        if (told) {
            dirty = true;
            gossip.enqueue(new DisseminationQueue.Topic(n.name(), n instanceof MembershipUpdate.Suspicion));
        }
    }

    private void look() {
        if (dirty) {
            dirty = false;
            var all = new ArrayList<GroupView.Member>();
            members.forEach((name, m) -> all.add(
                    new GroupView.Member(name, m.told.address(), m.told.incarnation(), m.state, 0, List.of())));
            hold(all);
        }
    }
}
