package wallmoor.service;

import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.config.FleetConfig;
import wallmoor.config.Launch;
import wallmoor.http.Threads;
import wallmoor.log.Logging;
import wallmoor.peers.LiveCount;
import wallmoor.peers.Rules;
import wallmoor.peers.View;
import wallmoor.peers.udp.Control;
import wallmoor.peers.udp.PeerSocket;

/** This gatherer's part in the group, and its log: one line for each change of view, with its evidence. */
final class Group {
    private static final long MICROS = 1000;

    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);
    /** Who goes counts on until the view has stayed as it is for so many intervals: by then the others know it too. */
    private static final int STEADY = 10;

    private final Logger log = LoggerFactory.getLogger(Group.class);
    private final LiveCount live;
    private final Consumer<LiveCount.Share> sharing;
    private LiveCount.Share share;
    private final PeerSocket socket;
    private final Control control;
    private final FleetConfig config;

    /** {@code sharing} is told among how many what is shared is shared, whenever that changes. */
    Group(FleetConfig config, Launch launch, Consumer<LiveCount.Share> sharing) throws IOException {
        this.config = config;
        var place = new PeerSocket.Place(config.installation(), launch.name(), config.listen(), config.address(),
                config.seeds());
        socket = new PeerSocket(place, Rules.of(config.size(), config.interval() * MICROS), launch.seed(), log::warn);
        this.sharing = sharing;
        share = new LiveCount.Share(launch.settings().roots(), launch.settings().position());
        live = new LiveCount(launch.name(), share, STEADY * config.interval() * MICROS);
        control = config.control() == null ? null : new Control(config.control(), launch.name(), socket);
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
    private synchronized void count(View changed) {
        long now = PeerSocket.now();
        if (changed != null) {
            live.onView(now, changed);
        }
        LiveCount.Share next = live.share(now);
        if (!next.equals(share)) {
            share = next;
            log.info(STATE, "shares as one of {}, place {}", next.count(), next.place());
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
    static String line(View view, String why) {
        var text = new StringBuilder().append(view.version()).append(" quorum=").append(view.quorum()).append(" side=")
                .append(view.standing()).append(" reachable=").append(view.reachable()).append('/').append(view.size());
        for (View.State state : View.State.values()) {
            var names = view.members().stream().filter(m -> m.state() == state).map(View.Member::name).toList();
            if (!names.isEmpty()) {
                text.append(' ').append(state.toString().toLowerCase(java.util.Locale.ROOT)).append('=')
                        .append(String.join(",", names));
            }
        }
        return text.append(" because ").append(why).toString();
    }
}
