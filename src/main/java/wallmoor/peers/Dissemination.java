package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * Dissemination of membership updates (SWIM, 4.1): they are piggybacked on all messages, and while there are any, also
 * sent each tick to one member by themselves (Lifeguard's dedicated gossip).
 */
final class Dissemination {
    /** Each update is sent so many times the decimal logarithm of the group's size: all have it then (SWIM, 4.1). */
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

    /** Queues an update for others. */
    void enqueue(MembershipUpdate update) {
        queue.enqueue(new DisseminationQueue.Topic(update.name(), update instanceof Suspicion));
    }

    /**
     * Gossips with one that was heard recently, as what goes to one that does not hear would count as told. A member
     * that hears nobody may be observed by none of those on its side of a partition: it asks others what they know.
     */
    void onTick(long now) {
        Optional<MemberEntry> peer = peers.leastRecentlyGossiped(now);
        if (!queue.isEmpty()) {
            peer.ifPresent(entry -> {
                entry.gossiped(now);
                sender.sendUpdates(entry.address(), updatesFor(entry.name()));
            });
        }
        if (peer.isEmpty() && !table.suspected().isEmpty()) {
            for (MemberEntry entry : peers.sample(1)) {
                sender.sendDigests(entry.address(), GroupMessage.DIGEST_REQUEST, updatesAbout(entry.name()));
            }
        }
    }

    /** What goes with a message to this member: updates, or if it is silent only what it must know of itself. */
    List<MembershipUpdate> updatesFor(long now, MemberEntry receiver) {
        return peers.wasHeardRecently(now, receiver) ? updatesFor(receiver.name()) : updatesAbout(receiver.name());
    }

    /** The updates that were sent least, after what the receiver must know of itself. */
    List<MembershipUpdate> updatesFor(String receiver) {
        return fill(updatesAbout(receiver), parameters.maxUpdateBytes());
    }

    /** The updates that were sent least, to a receiver whose name is not known. */
    List<MembershipUpdate> updatesForAnyone() {
        return fill(new ArrayList<>(), parameters.maxUpdateBytes());
    }

    /** Adds the updates that were sent least, as many as so many bytes hold together with the first ones. */
    List<MembershipUpdate> fill(List<MembershipUpdate> updates, int bytes) {
        int transmissions = (int) Math.ceil(RETRANSMIT_FACTOR * Math.max(1, Math.log10(table.size())));
        int room = bytes - updates.stream().mapToInt(MembershipUpdate::encodedSize).sum();
        queue.appendTo(room, transmissions, this::known, updates);
        return updates;
    }

    /**
     * What a member must know of itself: a suspicion of it, or its incarnation as known here, which it refutes if it is
     * there to do so (Lifeguard's buddy system).
     */
    List<MembershipUpdate> updatesAbout(String name) {
        var updates = new ArrayList<MembershipUpdate>();
        MemberEntry entry = table.get(name);
        if (entry == null) {
            return updates;
        }
        if (entry.isRemoved() || entry.announcement().left()) {
            // by this one's own word: others may have heard it again meanwhile
            updates.add(entry.announcement());
            updates.add(new Suspicion(name, entry.announcement().incarnation(), self.name(), self.nextSequence(),
                    true));
        } else {
            entry.suspicions().stream().filter(Suspicion::isActive).limit(1).forEach(updates::add);
        }
        return updates;
    }

    private List<MembershipUpdate> known(DisseminationQueue.Topic topic) {
        MemberEntry entry = table.get(topic.name());
        if (entry == null) {
            return List.of();
        }
        if (!topic.suspicions()) {
            return List.of(entry.announcement());
        }
        Set<String> observers = table.rings().observers(entry.name()); // others' word does not count
        return entry.suspicions().stream().filter(s -> observers.contains(s.observer()))
                .map(s -> (MembershipUpdate) s).toList();
    }
}
