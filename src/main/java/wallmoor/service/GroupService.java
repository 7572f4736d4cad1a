package wallmoor.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.config.FleetConfig;
import wallmoor.config.LaunchConfig;
import wallmoor.log.Logging;
import wallmoor.peers.GroupView;
import wallmoor.peers.GroupView.MemberState;
import wallmoor.peers.LiveMemberCount;
import wallmoor.peers.LiveMemberCount.GroupPosition;
import wallmoor.peers.MembershipParameters;
import wallmoor.peers.udp.FleetControlServer;
import wallmoor.peers.udp.GroupTransport;
import wallmoor.threads.Threads;

/** Runs this gatherer's membership in the group, and logs each change of view together with its cause. */
final class GroupService {
    private static final Logger LOG = LoggerFactory.getLogger(GroupService.class);
    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);
    private static final long MICROS_PER_MILLI = 1000;
    /**
     * A member that leaves is counted until the view has been stable for this number of intervals, because by then the
     * other members know of it too.
     */
    private static final int STABLE_INTERVALS = 10;

    private final long intervalMillis;
    private final LiveMemberCount liveMembers;
    private final Consumer<GroupPosition> positionListener;
    private final GroupTransport transport;
    /** Null if no control port is configured. */
    private final FleetControlServer control;
    private final InetSocketAddress controlAddress;
    private GroupPosition position;

    /**
     * Binds the group's sockets; {@link #start} joins the group.
     *
     * @param positionListener receives each change of this gatherer's position among those that divide shared quotas
     */
    GroupService(FleetConfig config, LaunchConfig launch, Consumer<GroupPosition> positionListener) throws IOException {
        this.positionListener = positionListener;
        intervalMillis = config.interval();
        long intervalMicros = intervalMillis * MICROS_PER_MILLI;
        var local = new GroupTransport.LocalMember(config.installation(), launch.name(), config.listen(),
                config.address(), config.seeds());
        transport = new GroupTransport(local, MembershipParameters.of(config.size(), intervalMicros), launch.seed());
        position = new GroupPosition(launch.settings().gatherers(), launch.settings().position());
        liveMembers = new LiveMemberCount(launch.name(), position, STABLE_INTERVALS * intervalMicros);
        control = config.control() == null ? null : new FleetControlServer(config.control(), launch.name(), transport);
        controlAddress = config.control();
        transport.subscribe((view, cause) -> {
            LOG.info(STATE, "view {}", format(view, cause));
            updatePosition(view);
        });
    }

    void start() {
        transport.start();
        Threads.startEssential("group-share", this::watchPosition);
        if (control != null) {
            control.start();
            LOG.info("group control port open: address={}", controlAddress);
        }
    }

    private void watchPosition() {
        try {
            while (true) {
                Thread.sleep(intervalMillis);
                updatePosition(null);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Recomputes the position and reports a change of it.
     *
     * @param changed the new view, or null if only time has passed
     */
    private synchronized void updatePosition(GroupView changed) {
        long now = GroupTransport.nowMicros();
        if (changed != null) {
            liveMembers.onView(now, changed);
        }
        GroupPosition next = liveMembers.position(now);
        if (!next.equals(position)) {
            position = next;
            LOG.info(STATE, "shares as one of {}, place {}", next.memberCount(), next.rank());
            positionListener.accept(next);
        }
    }

    /** Leaves the group and closes the control port. */
    void leave() {
        String counters = transport.counters().entrySet().stream().map(c -> c.getKey() + " " + c.getValue())
                .collect(Collectors.joining(" "));
        LOG.info("leaving the group: {}", counters);
        transport.leave();
        if (control != null) {
            control.close();
        }
    }

    /** Returns the text of a view for the log. */
    static String format(GroupView view, String cause) {
        var text = new StringBuilder().append(view.version()).append(" quorum=").append(view.hasQuorum())
                .append(" side=").append(view.side()).append(" reachable=").append(view.reachable()).append('/')
                .append(view.configuredSize());
        for (MemberState state : MemberState.values()) {
            List<String> names = view.members().stream().filter(m -> m.state() == state)
                    .map(GroupView.Member::name).toList();
            if (!names.isEmpty()) {
                text.append(' ').append(state.toString().toLowerCase(Locale.ROOT)).append('=')
                        .append(String.join(",", names));
            }
        }
        return text.append(" because ").append(cause).toString();
    }
}
