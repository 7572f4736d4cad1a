package wallmoor.service;

import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.config.FleetConfig;
import wallmoor.config.LaunchConfig;
import wallmoor.http.Threads;
import wallmoor.log.Logging;
import wallmoor.peers.GroupView;
import wallmoor.peers.LiveMemberCount;
import wallmoor.peers.MembershipParameters;
import wallmoor.peers.udp.FleetControlServer;
import wallmoor.peers.udp.GroupTransport;

/** This gatherer's part in the group, and its log: one line for each change of view, with its evidence. */
final class GroupService {
    private static final long MICROS = 1000;

    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);
    /** Who goes counts on until the view has stayed as it is for so many intervals: by then the others know it too. */
    private static final int STEADY = 10;

    private final Logger log = LoggerFactory.getLogger(GroupService.class);
    private final LiveMemberCount live;
    private final Consumer<LiveMemberCount.GroupPosition> sharing;
    private LiveMemberCount.GroupPosition share;
    private final GroupTransport socket;
    private final FleetControlServer control;
    private final FleetConfig config;

    /** {@code sharing} is told among how many what is shared is shared, whenever that changes. */
    GroupService(FleetConfig config, LaunchConfig launch, Consumer<LiveMemberCount.GroupPosition> sharing)
            throws IOException {
        this.config = config;
        var place = new GroupTransport.LocalMember(config.installation(), launch.name(), config.listen(),
                config.address(),
                config.seeds());
        socket = new GroupTransport(place, MembershipParameters.of(config.size(), config.interval() * MICROS),
                launch.seed(), log::warn);
        this.sharing = sharing;
        share = new LiveMemberCount.GroupPosition(launch.settings().gatherers(), launch.settings().position());
        live = new LiveMemberCount(launch.name(), share, STEADY * config.interval() * MICROS);
        control = config.control() == null ? null : new FleetControlServer(config.control(), launch.name(), socket);
        socket.subscribe((view, why) -> {
            log.info(STATE, "view {}", line(view, why));
            count(view);
        });
    }

    void start() {
        socket.start();
        Threads.start("group-share", this::share);
        if (control != null) {
            control.start();
            log.info("telling of the group on {}", config.control());
        }
    }

    private void share() {
        try {
            while (true) {
                Thread.sleep(config.interval());
                count(null);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The view has changed, or time has gone on since. */
    private synchronized void count(GroupView changed) {
        long now = GroupTransport.nowMicros();
        if (changed != null) {
            live.onView(now, changed);
        }
        LiveMemberCount.GroupPosition next = live.position(now);
        if (!next.equals(share)) {
            share = next;
            log.info(STATE, "shares as one of {}, place {}", next.memberCount(), next.rank());
            sharing.accept(next);
        }
    }

    void leave() {
        log.info("leaving the group: {}",
                socket.counters().entrySet().stream().map(c -> c.getKey() + " " + c.getValue())
                        .collect(java.util.stream.Collectors.joining(" ")));
        socket.leave();
        if (control != null) {
            control.close();
        }
    }

    /** A view as the log has it. */
    static String line(GroupView view, String why) {
        var text = new StringBuilder().append(view.version()).append(" quorum=").append(view.hasQuorum())
                .append(" side=")
                .append(view.side()).append(" reachable=").append(view.reachable()).append('/')
                .append(view.configuredSize());
        for (GroupView.MemberState state : GroupView.MemberState.values()) {
            var names = view.members().stream().filter(m -> m.state() == state).map(GroupView.Member::name).toList();
            if (!names.isEmpty()) {
                text.append(' ').append(state.toString().toLowerCase(java.util.Locale.ROOT)).append('=')
                        .append(String.join(",", names));
            }
        }
        return text.append(" because ").append(why).toString();
    }
}
