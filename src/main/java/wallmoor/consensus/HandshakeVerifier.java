package wallmoor.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Verifies handshakes. A peer must belong to the same group and have the name that was dialled. A process of a voting
 * member must not be older than the last one seen, so that a process that lost its state is the only one that acts for
 * the member. Runs on the transport thread.
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

    /**
     * Returns whether the peer is accepted; logs the reason if not.
     *
     * @param dialledVoter the voter that was dialled; null for an accepted connection
     */
    boolean verify(String dialledVoter, Packet.Handshake handshake) {
        String name = handshake.name();
        if (!handshake.group().equals(group)) {
            LOG.warn(
                    "rules: peer rejected, its voters or term differ: peer={} peer_group=\"{}\" own_group=\"{}\""
                            + "; set the same rules.voters and rules.term on all gatherers",
                    name, handshake.group(), group);
            return false;
        }
        if (dialledVoter != null && !dialledVoter.equals(name)) {
            LOG.warn("rules: peer rejected, wrong name at the address of a voter: voter={} peer={}; "
                    + "correct rules.voters", dialledVoter, name);
            return false;
        }
        if (voters.contains(name) && handshake.incarnation() < lastIncarnation(name)) {
            LOG.warn("rules: peer rejected, older incarnation than the last one seen: peer={} incarnation={} last={}; "
                    + "if this process is the current one, its clock went back after it lost its state: set its clock",
                    name, handshake.incarnation(), lastIncarnation(name));
            return false;
        }
        return true;
    }

    /**
     * Records the incarnation of the peer, and returns whether it is a voting member's process newer than any seen
     * before.
     */
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
