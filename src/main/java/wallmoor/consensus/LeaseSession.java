package wallmoor.consensus;

import java.util.List;
import wallmoor.rules.LeaseHolder;
import wallmoor.rules.LeaseMessage;

/**
 * The lease session of this gatherer: sends the lease holder's requests to the voting member that is presumed to lead,
 * follows redirects, and tries the next member if no response arrives. Runs on the control thread.
 */
final class LeaseSession {
    /** Sends a lease request to a voting member, or passes it to the voting member of this process. */
    interface RequestSender {
        void send(String voter, LeaseMessage.LeaseRequest request);
    }

    /** Limit of redirects per request, as two members may each take the other for the leader. */
    private static final int MAX_REDIRECTS = 2;

    private final List<String> voters;
    private final LeaseHolder holder;
    private final RequestSender sender;
    private String presumedLeader;
    private LeaseMessage.LeaseRequest lastRequest;
    private boolean answered = true;
    private int redirects;

    /**
     * Creates a session that starts with the voting member selected by the seed, so that gatherers spread over the
     * members.
     */
    LeaseSession(List<String> voters, LeaseHolder holder, RequestSender sender, long seed) {
        this.voters = voters;
        this.holder = holder;
        this.sender = sender;
        presumedLeader = voters.get(Math.floorMod(seed, voters.size()));
    }

    /** Returns the voting member that requests are sent to. */
    String presumedLeader() {
        return presumedLeader;
    }

    /** Renews the lease when due. */
    void tick(long nowMicros) {
        LeaseMessage.LeaseRequest request = holder.onTick(nowMicros);
        if (request == null) {
            return;
        }
        if (!answered) { // the request of the last renewal
            presumedLeader = voters.get((voters.indexOf(presumedLeader) + 1) % voters.size());
        }
        send(request);
    }

    /** Handles a message of the leader, and returns the request to send next, or null. */
    LeaseMessage.LeaseRequest onMessage(long nowMicros, LeaseMessage message) {
        LeaseMessage.LeaseRequest next = null;
        if (message instanceof LeaseMessage.LeaseGrant grant) {
            answered = true;
            next = holder.onGrant(nowMicros, grant);
        } else if (message instanceof LeaseMessage.VersionUpdate update) {
            next = holder.onVersionUpdate(nowMicros, update);
        } else if (message instanceof LeaseMessage.LeaseDenial denial) {
            answered = true;
            holder.onDenial(denial);
        }
        return next;
    }

    /** Sends a request to the presumed leader. */
    void send(LeaseMessage.LeaseRequest request) {
        answered = false;
        redirects = 0;
        lastRequest = request;
        sender.send(presumedLeader, request);
    }

    /**
     * Sends the last request to the reported leader, after the member that received it reported that it does not lead.
     * A duplicate request has no effect.
     */
    void redirect(String leader) {
        boolean other = voters.contains(leader) && !leader.equals(presumedLeader);
        if (other && redirects < MAX_REDIRECTS && lastRequest != null) {
            redirects++;
            presumedLeader = leader;
            sender.send(leader, lastRequest);
        }
    }
}
