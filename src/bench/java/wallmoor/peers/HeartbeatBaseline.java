package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The plainest way, as a baseline: all members are known from the start, each tells all others every interval that it
 * is there, and who was not heard for five intervals is removed until it is heard again.
 */
public final class HeartbeatBaseline extends BaselineProtocol {
    private static final int PATIENCE = 5;

    private final TreeMap<String, MembershipUpdate.Announcement> others = new TreeMap<>();
    private final TreeMap<String, Long> heard = new TreeMap<>();
    private long beatAt;

    public HeartbeatBaseline(String name, String address, long boot, List<MembershipUpdate.Announcement> all,
            MembershipParameters rules, Output actions) {
        super(new MembershipUpdate.Announcement(name, address, boot, boot, false), rules, actions);
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
            beatAt = now + rules.probeInterval();
            others.values().forEach(t -> actions.send(t.address(),
                    new GroupMessage(GroupMessage.MessageKind.PROBE, self, 0, null, 0, List.of(), List.of())));
        }
        look(now);
    }

    @Override
    public void onMessage(long now, GroupMessage m) {
        heard.put(m.sender().name(), now);
        others.put(m.sender().name(), m.sender());
    }

    private void look(long now) {
        var members = new ArrayList<GroupView.Member>();
        others.forEach((n, t) -> members.add(new GroupView.Member(n, t.address(), t.incarnation(),
                now - heard.get(n) > PATIENCE * rules.probeInterval() ? GroupView.MemberState.REMOVED
                        : GroupView.MemberState.ALIVE,
                0,
                List.of())));
        members.add(new GroupView.Member(self.name(), self.address(), self.incarnation(), GroupView.MemberState.ALIVE,
                0, List.of()));
        hold(members);
    }
}
