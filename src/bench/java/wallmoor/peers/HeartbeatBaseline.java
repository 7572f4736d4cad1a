package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import wallmoor.peers.GroupView.MemberState;
import wallmoor.peers.MembershipUpdate.Announcement;

/**
 * A baseline with all-to-all heartbeats: all members are known from the start, each sends all others a heartbeat every
 * interval, and a member without a heartbeat for five intervals counts as removed until the next one arrives.
 */
public final class HeartbeatBaseline extends BaselineProtocol {
    private static final int TIMEOUT_INTERVALS = 5;

    private final TreeMap<String, Announcement> others = new TreeMap<>();
    private final TreeMap<String, Long> lastHeartbeatAt = new TreeMap<>();
    private long nextHeartbeatAt;

    /** Creates a member that knows all others. */
    public HeartbeatBaseline(String name, String address, long bootId, List<Announcement> all,
            MembershipParameters parameters, Output output) {
        super(new Announcement(name, address, bootId, bootId, false), parameters, output);
        all.stream().filter(announcement -> !announcement.name().equals(name))
                .forEach(announcement -> others.put(announcement.name(), announcement));
    }

    @Override
    public void onStart(long now) {
        others.keySet().forEach(name -> lastHeartbeatAt.put(name, now));
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
        lastHeartbeatAt.put(message.sender().name(), now);
        others.put(message.sender().name(), message.sender());
    }

    private void publish(long now) {
        var members = new ArrayList<GroupView.Member>();
        others.forEach((name, other) -> {
            boolean isSilent = now - lastHeartbeatAt.get(name) > TIMEOUT_INTERVALS * parameters.probeInterval();
            members.add(member(other, isSilent ? MemberState.REMOVED : MemberState.ALIVE));
        });
        members.add(member(self, MemberState.ALIVE));
        publish(members);
    }

    private static GroupView.Member member(Announcement announcement, MemberState state) {
        return new GroupView.Member(announcement.name(), announcement.address(), announcement.incarnation(), state, 0,
                List.of());
    }
}
