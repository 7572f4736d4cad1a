package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * Disseminates membership updates (SWIM, 4.1): they are piggybacked on all messages, and while any are queued, also
 * sent to one member at each tick in a message of their own (Lifeguard's dedicated gossip).
 */
final class Dissemination {
    /**
     * Each update is sent this many times the decimal logarithm of the group's size, after which all members have it
     * with high probability (SWIM, 4.1).
     */
    private static final int RETRANSMIT_FACTOR = 4;

    private final MembershipParameters parameters;
    private final MembershipTable table;
    private final LocalIdentity self;
    private final PeerSelector peers;
    private final MessageSender sender;
    private final DisseminationQueue queue = new DisseminationQueue();

    Dissemination(MembershipParameters parameters, MembershipTable table, LocalIdentity self, PeerSelector peers,
            MessageSender sender) {
        this.parameters = parameters;
        this.table = table;
        this.self = self;
        this.peers = peers;
        this.sender = sender;
    }

    /** Queues an update to be sent to others. */
    void enqueue(MembershipUpdate update) {
        queue.enqueue(new DisseminationQueue.Topic(update.name(), update instanceof Suspicion));
    }

    /**
     * Sends queued updates to one recently active member; updates to a member that can't receive them would count as
     * transmitted. If no member is active although some are suspected, it sends digests to a random member to request
     * updates: all observers of this member may be on the other side of a partition.
     */
    void onTick(long now) {
        Optional<MemberEntry> peer = peers.leastRecentlyGossiped(now);
        if (!queue.isEmpty()) {
            peer.ifPresent(entry -> {
                entry.markGossiped(now);
                sender.sendUpdates(entry.address(), updatesFor(entry.name()));
            });
        }
        if (peer.isEmpty() && !table.suspected().isEmpty()) {
            for (MemberEntry entry : peers.sample(1)) {
                sender.sendDigests(entry.address(), GroupMessage.DIGEST_REQUEST, updatesAbout(entry.name()));
            }
        }
    }

    /**
     * Returns the updates for a message to this member: the queued ones, or if it is silent only those about itself.
     */
    List<MembershipUpdate> updatesFor(long now, MemberEntry receiver) {
        return peers.isRecentlyActive(now, receiver) ? updatesFor(receiver.name()) : updatesAbout(receiver.name());
    }

    /** Returns the updates about the receiver itself, followed by the queued ones that were sent least often. */
    List<MembershipUpdate> updatesFor(String receiver) {
        return fill(updatesAbout(receiver), parameters.maxUpdateBytes());
    }

    /** Returns the queued updates that were sent least often, for a receiver whose name is not known. */
    List<MembershipUpdate> updatesForAnyone() {
        return fill(new ArrayList<>(), parameters.maxUpdateBytes());
    }

    /** Appends queued updates, least often sent first, up to {@code maxBytes} in total; returns the same list. */
    List<MembershipUpdate> fill(List<MembershipUpdate> updates, int maxBytes) {
        int maxTransmissions = (int) Math.ceil(RETRANSMIT_FACTOR * Math.max(1, Math.log10(table.size())));
        int remainingBytes = maxBytes - updates.stream().mapToInt(MembershipUpdate::encodedSize).sum();
        queue.appendTo(remainingBytes, maxTransmissions, this::currentUpdates, updates);
        return updates;
    }

    /**
     * Returns the updates that a member must get about itself in order to refute them: a suspicion of it, or the
     * announcement with which it left or was removed (Lifeguard's buddy system).
     */
    List<MembershipUpdate> updatesAbout(String name) {
        var updates = new ArrayList<MembershipUpdate>();
        MemberEntry entry = table.get(name);
        if (entry == null) {
            return updates;
        }
        if (entry.isRemoved() || entry.announcement().hasLeft()) {
            // The suspicion is this member's own, as the other observers may have withdrawn theirs meanwhile.
            updates.add(entry.announcement());
            updates.add(new Suspicion(name, entry.announcement().incarnation(), self.name(), self.nextSequence(),
                    true));
        } else {
            entry.suspicions().stream().filter(Suspicion::isActive).limit(1).forEach(updates::add);
        }
        return updates;
    }

    private List<MembershipUpdate> currentUpdates(DisseminationQueue.Topic topic) {
        MemberEntry entry = table.get(topic.name());
        if (entry == null) {
            return List.of();
        }
        if (!topic.isSuspicion()) {
            return List.of(entry.announcement());
        }
        Set<String> observers = table.rings().observers(entry.name()); // suspicions by other members don't count
        return entry.suspicions().stream().filter(s -> observers.contains(s.observer()))
                .map(s -> (MembershipUpdate) s).toList();
    }
}
