package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import wallmoor.peers.GroupView.MemberState;
import wallmoor.peers.MembershipUpdate.Announcement;

/**
 * All-to-all heartbeats, as a baseline: all members are known from the start, each sends all others a heartbeat every
 * interval, and who was not heard for five intervals is removed until it is heard again.
 */
public final class HeartbeatBaseline extends BaselineProtocol {
    private static final int TIMEOUT_INTERVALS = 5;

    private final TreeMap<String, Announcement> others = new TreeMap<>();
    private final TreeMap<String, Long> heardAt = new TreeMap<>();
    private long nextHeartbeatAt;

    /** A member that knows all others. */
    public HeartbeatBaseline(String name, String address, long bootId, List<Announcement> all,
            MembershipParameters parameters, Output output) {
        super(new Announcement(name, address, bootId, bootId, false), parameters, output);
        all.stream().filter(a -> !a.name().equals(name)).forEach(a -> others.put(a.name(), a));
    }

    @Override
    public void onStart(long now) {
        others.keySet().forEach(name -> heardAt.put(name, now));
        publish(now);
    }

    @Override
    public void onTick(long now) {
        if (now >= nextHeartbeatAt) {
            nextHeartbeatAt = now + parameters.probeInterval();
            var heartbeat = new GroupMessage(GroupMessage.MessageKind.PROBE, self, 0, null, 0, List.of(), List.of());
            others.values().forEach(other -> output.send(other.address(), heartbeat));
        }
        publish(now);
    }

    @Override
    public void onMessage(long now, GroupMessage message) {
        heardAt.put(message.sender().name(), now);
        others.put(message.sender().name(), message.sender());
    }

    private void publish(long now) {
        var members = new ArrayList<GroupView.Member>();
        others.forEach((name, other) -> {
            boolean isSilent = now - heardAt.get(name) > TIMEOUT_INTERVALS * parameters.probeInterval();
            members.add(member(other, isSilent ? MemberState.REMOVED : MemberState.ALIVE));
        });
        members.add(member(self, MemberState.ALIVE));
        publish(members);
    }

    private static GroupView.Member member(Announcement a, MemberState state) {
        return new GroupView.Member(a.name(), a.address(), a.incarnation(), state, 0, List.of());
    }
}
