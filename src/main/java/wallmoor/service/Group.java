package wallmoor.service;

import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.config.FleetConfig;
import wallmoor.config.Launch;
import wallmoor.log.Logging;
import wallmoor.peers.Rules;
import wallmoor.peers.View;
import wallmoor.peers.udp.PeerSocket;

/** This gatherer's part in the group, and its log: one line for each change of view, with its evidence. */
final class Group {
    private static final long MICROS = 1000;

    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);

    private final Logger log = LoggerFactory.getLogger(Group.class);
    private final PeerSocket socket;

    Group(FleetConfig config, Launch launch) throws IOException {
        var place = new PeerSocket.Place(config.installation(), launch.name(), config.listen(), config.address(), config.seeds());
        socket = new PeerSocket(place, Rules.of(config.size(), config.interval() * MICROS), launch.seed(), log::warn);
        socket.subscribe((view, why) -> log.info(STATE, "view {}", line(view, why)));
    }

    void start() {
        socket.start();
    }

    void leave() {
        log.info("leaving the group: {}", socket.counters());
        socket.leave();
    }

    /** A view as the log has it. */
    static String line(View view, String why) {
        var text = new StringBuilder().append(view.version()).append(" quorum=").append(view.quorum()).append(" side=")
                .append(view.standing()).append(" reachable=").append(view.reachable()).append('/').append(view.size());
        for (View.State state : View.State.values()) {
            var names = view.members().stream().filter(m -> m.state() == state).map(View.Member::name).toList();
            if (!names.isEmpty()) {
                text.append(' ').append(state.toString().toLowerCase(java.util.Locale.ROOT)).append('=').append(String.join(",", names));
            }
        }
        return text.append(" because ").append(why).toString();
    }
}
