package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The plainest way, as a baseline: all members are known from the start, each tells all others every interval that it
 * is there, and who was not heard for five intervals is removed until it is heard again.
 */
public final class Heartbeat extends Baseline {
    private static final int PATIENCE = 5;

    private final TreeMap<String, News.Told> others = new TreeMap<>();
    private final TreeMap<String, Long> heard = new TreeMap<>();
    private long beatAt;

    public Heartbeat(String name, String address, long boot, List<News.Told> all, Rules rules, Actions actions) {
        super(new News.Told(name, address, boot, boot, false), rules, actions);
        all.stream().filter(t -> !t.name().equals(name)).forEach(t -> others.put(t.name(), t));
    }

    @Override
    public void onStart(long now) {
        others.keySet().forEach(n -> heard.put(n, now));
        look(now);
    }

    @Override
    public void onTick(long now) {
        if (now >= beatAt) {
            beatAt = now + rules.interval();
            others.values().forEach(t -> actions.send(t.address(),
                    new Message(Message.Kind.PROBE, self, 0, null, 0, List.of(), List.of())));
        }
        look(now);
    }

    @Override
    public void onMessage(long now, Message m) {
        heard.put(m.from().name(), now);
        others.put(m.from().name(), m.from());
    }

    private void look(long now) {
        var members = new ArrayList<View.Member>();
        others.forEach((n, t) -> members.add(new View.Member(n, t.address(), t.incarnation(),
                now - heard.get(n) > PATIENCE * rules.interval() ? View.State.REMOVED : View.State.ALIVE, 0,
                List.of())));
        members.add(new View.Member(self.name(), self.address(), self.incarnation(), View.State.ALIVE, 0, List.of()));
        hold(members);
    }
}
