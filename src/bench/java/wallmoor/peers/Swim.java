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
public final class Swim extends Baseline {
    private static final int SUSPICION = 4;
    private static final int SPREAD = 3;

    private static final class Member {
        News.Told told;
        View.State state = View.State.ALIVE;
        long suspectedAt;
    }

    private final Random random;
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final Gossip gossip = new Gossip();
    private final Map<Long, Message> asked = new HashMap<>();
    private final List<String> round = new ArrayList<>();
    private long seq;
    private String probed;
    private long probedSeq;
    private long probedAt;
    private boolean helped;
    private boolean dirty = true;

    public Swim(String name, String address, long boot, List<News.Told> all, Rules rules, long seed, Actions actions) {
        super(new News.Told(name, address, boot, boot, false), rules, actions);
        random = new Random(seed);
        all.forEach(t -> members.computeIfAbsent(t.name(), n -> new Member()).told = t);
        members.get(name).told = self;
    }

    @Override
    public void onStart(long now) {
        gossip.put(new Gossip.Piece(self.name(), false));
        probedAt = now - random.nextLong(rules.interval());
        look();
    }

    @Override
    public void onTick(long now) {
        if (probed != null && !helped && now - probedAt > rules.timeout()) {
            helped = true;
            for (int i = 0; i < rules.helpers(); i++) {
                String helper = next();
                if (helper != null && !helper.equals(probed)) {
                    send(helper, Message.Kind.ASK, probedSeq, probed);
                }
            }
        }
        if (now - probedAt >= rules.interval()) {
            if (probed != null) {
                suspect(now, members.get(probed).told);
            }
            probed = next();
            probedSeq = ++seq;
            probedAt = now;
            helped = false;
            if (probed != null) {
                send(probed, Message.Kind.PROBE, probedSeq, null);
            }
            asked.clear();
        }
        long patience = (long) (SUSPICION * Math.max(1, Math.log10(members.size())) * rules.interval());
        for (Member m : members.values()) {
            if (m.state == View.State.SUSPECTED && now - m.suspectedAt > patience) {
                News.Told t = m.told;
                take(now, new News.Told(t.name(), t.address(), t.boot(), t.incarnation(), true));
            }
        }
        look();
    }

    @Override
    public void onMessage(long now, Message m) {
        m.news().forEach(n -> take(now, n));
        take(now, m.from());
        switch (m.kind()) {
            case PROBE -> send(m.from().name(), Message.Kind.ACK, m.seq(), null);
            case ASK -> {
                asked.put(++seq, m);
                send(m.about(), Message.Kind.PROBE, seq, null);
            }
            case ACK -> {
                Message origin = asked.remove(m.seq());
                if (origin != null) {
                    send(origin.from().name(), Message.Kind.ACK, origin.seq(), m.from().name());
                } else if (m.seq() == probedSeq) {
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
            if (!name.equals(self.name()) && members.get(name).state != View.State.REMOVED) {
                return name;
            }
        }
        return null;
    }

    private void send(String to, Message.Kind kind, long number, String about) {
        var news = new ArrayList<News>();
        gossip.take(rules.news(), SPREAD * (1 + (int) (Math.log(members.size()) / Math.log(2))), this::known, news);
        actions.send(members.get(to).told.address(), new Message(kind, self, number, about, 0, List.of(), news));
    }

    private List<News> known(Gossip.Piece piece) {
        Member m = members.get(piece.name());
        return !piece.doubts() ? List.of(m.told) : m.state != View.State.SUSPECTED ? List.of()
                : List.of(new News.Doubt(piece.name(), m.told.incarnation(), self.name(), 0, true));
    }

    private void suspect(long now, News.Told t) {
        take(now, new News.Doubt(t.name(), t.incarnation(), self.name(), ++seq, true));
    }

    private void take(long now, News n) {
        Member m = members.get(n.name());
        if (n.name().equals(self.name())) {
            if ((n instanceof News.Doubt || n instanceof News.Told t && t.left())
                    && n.incarnation() >= self.incarnation()) {
                self = new News.Told(self.name(), self.address(), self.boot(), n.incarnation() + 1, false);
                m.told = self;
                gossip.put(new Gossip.Piece(self.name(), false));
            }
            return;
        }
        boolean told = false;
        if (n instanceof News.Told t) {
            if (t.left() && t.incarnation() >= m.told.incarnation() && m.state != View.State.REMOVED) {
                m.state = View.State.REMOVED;
                m.told = t;
                told = true;
            } else if (!t.left() && t.incarnation() > m.told.incarnation()) {
                m.state = View.State.ALIVE;
                m.told = t;
                told = true;
            }
        } else if (n.incarnation() == m.told.incarnation() && m.state == View.State.ALIVE) {
            m.state = View.State.SUSPECTED;
            m.suspectedAt = now;
            told = true;
        }
        if (told) {
            dirty = true;
            gossip.put(new Gossip.Piece(n.name(), n instanceof News.Doubt));
        }
    }

    private void look() {
        if (dirty) {
            dirty = false;
            var all = new ArrayList<View.Member>();
            members.forEach((name, m) -> all.add(
                    new View.Member(name, m.told.address(), m.told.incarnation(), m.state, 0, List.of())));
            hold(all);
        }
    }
}
