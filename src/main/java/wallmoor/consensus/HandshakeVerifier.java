package wallmoor.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which peers may talk: those of the same group, under the name that was dialled, and of a voting member no process
 * older than the last one heard, so that one that lost its state speaks for the member alone. The transport's thread.
 */
final class HandshakeVerifier {
    private static final Logger LOG = LoggerFactory.getLogger(HandshakeVerifier.class);

    private final String group;
    private final Set<String> voters;
    private final Map<String, Long> incarnations = new HashMap<>();

    HandshakeVerifier(String group, Set<String> voters) {
        this.group = group;
        this.voters = voters;
    }

    /** Whether the peer may go on; says why where it may not. {@code dialledVoter} is null where it has dialled. */
    boolean verify(String dialledVoter, Packet.Handshake handshake) {
        String name = handshake.name();
        if (!handshake.group().equals(group)) {
            LOG.warn(
                    "rules: {} has other voters or another term: {}; here {}: set rules.voters and rules.term the same "
                            + "everywhere",
                    name, handshake.group(), group);
            return false;
        }
        if (dialledVoter != null && !dialledVoter.equals(name)) {
            LOG.warn("rules: at {}'s address answers {}: correct rules.voters", dialledVoter, name);
            return false;
        }
        if (voters.contains(name) && handshake.incarnation() < lastIncarnation(name)) {
            LOG.warn("rules: a process of {} is older than one that was heard already, and is not heard: "
                    + "where it is not, its clock went back after it lost what it kept; set it", name);
            return false;
        }
        return true;
    }

    /** Remembers the peer's process; whether it is a later one of its voting member than any before. */
    boolean recordIncarnation(Packet.Handshake handshake) {
        String name = handshake.name();
        boolean later = voters.contains(name) && handshake.incarnation() > lastIncarnation(name);
        if (later) {
            incarnations.put(name, handshake.incarnation());
        }
        return later;
    }

    private long lastIncarnation(String voter) {
        return incarnations.getOrDefault(voter, Long.MIN_VALUE);
    }
}
