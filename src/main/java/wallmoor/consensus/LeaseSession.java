package wallmoor.consensus;

import java.util.List;
import wallmoor.rules.LeaseHolder;
import wallmoor.rules.LeaseMessage;

/**
 * This gatherer's session with the leader: sends the lease holder's requests to the voting member that is presumed to
 * lead, follows redirects, and tries the next one where no answer came. Control thread.
 */
final class LeaseSession {
    /** Sends a lease request to a voting member, or has the one of this process answer it. */
    interface RequestSender {
        void send(String voter, LeaseMessage.LeaseRequest request);
    }

    /** A request is forwarded so often at most: two members may each take the other for the leader. */
    private static final int MAX_REDIRECTS = 2;

    private final List<String> voters;
    private final LeaseHolder holder;
    private final RequestSender sender;
    private String presumedLeader;
    private LeaseMessage.LeaseRequest lastRequest;
    private boolean answered = true;
    private int redirects;

    /** Begins with the voting member that the seed falls on, so that gatherers spread over them. */
    LeaseSession(List<String> voters, LeaseHolder holder, RequestSender sender, long seed) {
        this.voters = voters;
        this.holder = holder;
        this.sender = sender;
        presumedLeader = voters.get(Math.floorMod(seed, voters.size()));
    }

    /** The voting member that requests are sent to. */
    String presumedLeader() {
        return presumedLeader;
    }

    /** Time passes: renews the lease where that is due. */
    void tick(long nowMicros) {
        LeaseMessage.LeaseRequest request = holder.onTick(nowMicros);
        if (request == null) {
            return;
        }
        if (!answered) { // since the last renewal
            presumedLeader = voters.get((voters.indexOf(presumedLeader) + 1) % voters.size());
        }
        send(request);
    }

    /** Takes a leader's message; gives the request that it calls for, or null. */
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
     * The member that was asked does not lead: the last request goes to the one that does. A late copy does no harm.
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
